/// One HTTP/1.1 connection to a target and the reading of an answer from it.
#pragma once

#include "net/exchange.h"
#include "net/httpfields.h"
#include "net/neterror.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace shallotrelay
{

/// A connection to a target; counts itself while it is open.
class TargetConnection
{
public:
    TargetConnection(tcp::socket socket, std::shared_ptr<std::atomic<std::size_t>> openCount);
    ~TargetConnection();

    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /// Returns the executor that the connection belongs to.
    asio::any_io_executor executor();

    /// Sends bytes within the time.
    asio::awaitable<absl::Status> write(std::string bytes, Duration timeout);

    /// Reads the head of the answer; the caller bounds the time by cancelling.
    asio::awaitable<absl::StatusOr<ResponseHead>> readHead(bool answersHead);

    /// Reads the head of the answer to a GET within the time.
    asio::awaitable<absl::StatusOr<ResponseHead>> readHeadWithin(Duration timeout);

    /// Reads the next part of the body, empty at the end.
    asio::awaitable<absl::StatusOr<std::string>> readBody(Duration timeout);

    /// Returns whether the answer was read to its end.
    bool answerDone() const;

    /// Returns whether a part of the body was received already.
    bool hasBuffered() const;

    /// Returns whether the connection can carry another exchange.
    bool reusable() const;

    /// Gives up the memory of the last exchange before the connection is kept idle.
    void releaseMemory();

    /// Returns whether an idle connection was closed by the target.
    bool stale();

    /// Closes the sending side, which tells the target to cancel, and waits until the target ends its side.
    asio::awaitable<void> cancelAndWait(Duration bound);

private:
    using Parser = http::response_parser<http::buffer_body>;

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::shared_ptr<std::atomic<std::size_t>> m_openCount;
};

}
