/// Provides one HTTP/1.1 connection to a target; used to send a request and to read the response in parts.
#pragma once

#include "net/exchange.h"
#include "net/httpfields.h"
#include "net/neterror.h"
#include "shallotrelay/retry/rejectionproof.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace shallotrelay
{

/// A connection to a target, included in the counter of open connections during its lifetime.
class TargetConnection
{
public:
    TargetConnection(tcp::socket socket, std::shared_ptr<std::atomic<std::size_t>> openCount);
    ~TargetConnection();

    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /// Returns the executor of the connection.
    asio::any_io_executor executor();

    /// Sends the bytes; fails if that takes longer than the timeout.
    asio::awaitable<absl::Status> write(std::string bytes, Duration timeout);

    /// Reads the response head; has no timeout of its own, so the caller cancels it at the deadline.
    asio::awaitable<absl::StatusOr<ResponseHead>> readHead(bool isHeadRequest);

    /// Reads the head of the response to a GET request; fails if that takes longer than the timeout.
    asio::awaitable<absl::StatusOr<ResponseHead>> readHeadWithin(Duration timeout);

    /// Reads the next part of the body, which is empty at the end; fails after the timeout without progress. The end of
    /// the connection ends a response without a length only if no write has failed.
    asio::awaitable<absl::StatusOr<std::string>> readBody(Duration timeout);

    /// Reads and discards the rest of the body; fails after the timeout without progress, or once more than the maximum
    /// number of bytes was discarded.
    asio::awaitable<absl::Status> discardBody(std::size_t maxBytes, Duration timeout);

    /// Returns whether the complete response was read.
    bool responseComplete() const;

    /// Returns whether received data is buffered that was not parsed yet.
    bool hasBufferedData() const;

    /// Returns whether the connection can be reused for another exchange.
    bool reusable() const;

    /// Releases the parser and buffer memory of the last exchange before the connection becomes idle.
    void releaseMemory();

    /// Returns whether the target has closed the idle connection.
    bool stale();

    /// Half-closes the connection to make the target cancel its work, and waits until the target closes its side or the
    /// timeout expires.
    asio::awaitable<void> cancelAndWait(Duration timeout);

    /// The rejections that the target has sent on this connection.
    RejectionProof rejections;

private:
    using Parser = http::response_parser<http::buffer_body>;

    asio::awaitable<bool> writeHasFailed();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    bool m_writeFailed = false;
    std::shared_ptr<std::atomic<std::size_t>> m_openCount;
};

}
