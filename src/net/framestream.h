/// Frames on a TCP connection, with bounded sizes and a time bound on each step.
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
    /// Takes over a connected socket; payloads above the bound end the connection.
    FrameStream(tcp::socket socket, std::size_t maxPayloadBytes);
    ~FrameStream();

    /// Reads the next frame; waits for its first byte for the idle time at most.
    asio::awaitable<absl::StatusOr<Frame>> read(Duration idle);

    /// Appends a message to the output; flush() sends it.
    template<class Message>
    void queue(const Message &message)
    {
        queueBytes(encodeFrame(message));
    }

    /// Sends all that is queued.
    asio::awaitable<absl::Status> flush();

    /// Ends the coroutine of the source once the other side has closed the connection.
    void watchPeer(const std::shared_ptr<StopSource> &stop);

    /// Ends the watch that watchPeer() began; nothing else may be in progress on the connection.
    void endWatch();

    /// Returns whether an idle connection was closed or got data that nobody asked for.
    bool stale();

    /// Returns whether more input was received already.
    bool buffered() const;

    /// Returns the executor that the connection belongs to.
    asio::any_io_executor executor();

private:
    struct Impl;
    class WriteTurn;

    void queueBytes(std::string bytes);

    std::unique_ptr<Impl> m_impl;
};

/// Reads the next frame and decodes it as the one message that may come.
template<class Message>
absl::StatusOr<Message> decodeAs(const Frame &frame)
{
    if (frame.type != Message::FrameType) {
        return absl::InvalidArgumentError("a frame of another type was expected");
    }
    return decodeMessage<Message>(frame.payload);
}

}
