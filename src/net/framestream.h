/// Reads and writes frames on a TCP connection, with a maximum payload size and timeouts for reads.
#pragma once

#include "net/neterror.h"
#include "wire/frame.h"

#include <memory>
#include <string>

namespace shallotrelay
{

class StopSource;

/// One received frame.
struct Frame {
    std::uint8_t type = 0; ///< The type byte.
    std::string payload; ///< The encoded message.
};

/// Reads and writes frames. One coroutine may read while others write.
class FrameStream
{
public:
    /// Takes over a connected socket; reading a frame with a larger payload fails.
    FrameStream(tcp::socket socket, std::size_t maxPayloadBytes);
    ~FrameStream();

    /// Reads the next frame; fails if its header does not arrive within the idle timeout.
    asio::awaitable<absl::StatusOr<Frame>> read(Duration idleTimeout);

    /// Appends a message to the output buffer; flush() sends it.
    template<class Message>
    void queue(const Message &message)
    {
        queueBytes(encodeFrame(message));
    }

    /// Sends all queued messages.
    asio::awaitable<absl::Status> flush();

    /// Stops the coroutine of the stop source when the peer closes the connection.
    void watchPeer(const std::shared_ptr<StopSource> &stop);

    /// Ends watchPeer(); no other operation may be in progress on the connection.
    void stopWatchingPeer();

    /// Returns whether an idle connection was closed or received unexpected data.
    bool stale();

    /// Returns whether received input is buffered that was not read yet.
    bool hasBufferedInput() const;

    /// Returns the executor of the connection.
    asio::any_io_executor executor();

private:
    struct Impl;
    class WriteInProgress;

    void queueBytes(std::string bytes);

    std::unique_ptr<Impl> m_impl;
};

/// Decodes a frame as a message of the given type; a frame of any other type is an error.
template<class Message>
absl::StatusOr<Message> decodeAs(const Frame &frame)
{
    if (frame.type != Message::FrameType) {
        return absl::InvalidArgumentError("the received frame is not of the expected type");
    }
    return decodeMessage<Message>(frame.payload);
}

}
