/// One request on a caller's connection and its response. Internal to the HTTP front end.
///
/// Pipelined requests may run concurrently; their responses are sent in the order of the requests. A response that is
/// ready early is buffered; when its buffer is full, no more is read from its target.
#pragma once

#include "net/httpfrontend.h"
#include "net/stopsource.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace shallotrelay
{

/// State that all sessions of a front end share.
struct FrontendContext {
    FrontendContext(const Clock &c, FrontendOptions o, HttpFrontend::Dispatch d)
        : clock(c)
        , options(std::move(o))
        , dispatch(std::move(d))
    {
    }

    FrontendContext(FrontendContext &&other) noexcept
        : clock(other.clock)
        , options(std::move(other.options))
        , dispatch(std::move(other.dispatch))
    {
    }

    const Clock &clock;
    FrontendOptions options;
    HttpFrontend::Dispatch dispatch;
    std::atomic<bool> draining = false;
    std::atomic<bool> rejecting = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> inProgress = 0;
    std::atomic<std::size_t> pipelined = 0; // pipelined requests in progress on all connections
};

class FrontendExchange;

/// Limit in bytes for buffered input of a caller: the largest head and one read of a body. A chunk's size line with
/// extensions and the trailer fields must fit.
inline constexpr std::size_t MaxBufferedBytes = 192 * 1024;

/// A caller's connection and its exchanges in progress, oldest first.
struct FrontendConnection {
    FrontendConnection(FrontendContext &c, tcp::socket socket)
        : context(c)
        , stream(std::move(socket))
        , buffer(MaxBufferedBytes)
        , changed(stream.get_executor())
    {
    }

    FrontendContext &context;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::deque<std::shared_ptr<FrontendExchange>> exchanges;
    asio::steady_timer changed; // cancelled when an exchange has finished or its request body has been read
    bool closing = false; // no further request is read
    bool abandoned = false; // the caller disconnected, or a response was truncated
    bool truncated = false; // a close-delimited response was truncated, so the connection is reset
    bool waitingForInput = false; // the session waits for input; wake() cancels the wait

    /// Makes the session check its wait condition again.
    void wake();

    /// Cancels all requests; nothing more is written.
    void abandon();
};

/// Runs one request and writes its response.
class FrontendExchange : public std::enable_shared_from_this<FrontendExchange>
{
public:
    using Parser = http::request_parser<http::buffer_body>;

    explicit FrontendExchange(FrontendConnection &connection);

    /// Returns the parser for the request.
    Parser &parser();

    /// Validates the head and resolves the service; if this fails, run() sends an error response.
    void prepare();

    /// Returns whether the request may start before earlier ones are complete: it is repeatable or was rejected by
    /// prepare().
    bool mayRunPipelined() const;

    /// Runs the request, writes the response, and removes the exchange from the connection.
    static asio::awaitable<void> run(std::shared_ptr<FrontendExchange> self);

    /// Cancels the request because its caller disconnected.
    void stop();

    /// Signals that this exchange is now the first of its connection, so that its response may be written.
    void notifyFirst();

    /// Returns whether the request body has been read completely, so that the next request can be read.
    bool bodyComplete() const;

    /// Returns whether the exchange is complete or was abandoned.
    bool finished() const;

private:
    class Source;
    class Sink;

    absl::Status buildRequest();
    asio::awaitable<void> serve();
    asio::awaitable<ExchangeResult> dispatch(Source &source, Sink &sink);
    asio::awaitable<bool> waitUntilFirst();
    bool isLast() const;

    FrontendConnection &m_connection;
    std::unique_ptr<Parser> m_parser;
    CallerRequest m_request;
    absl::Status m_refusal;
    std::shared_ptr<StopSource> m_stopSource;
    asio::steady_timer m_becameFirst; // cancelled when the response may be written
    bool m_finished = false;
};

/// Returns an error response with head and body for input that cannot be parsed as a request.
std::string errorResponseText(std::uint16_t status, std::string reason, bool fractionalRetryAfter);

}
