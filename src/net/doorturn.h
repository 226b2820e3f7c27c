/// One request of a caller's connection, from its head to the last byte of its answer. Internal to the door.
///
/// Requests of a connection may run at the same time; their answers go out in the order of the requests. An answer that
/// is ready before its turn is held; one that is too large to be held stops the reading of its target.
#pragma once

#include "net/door.h"
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

/// What all sessions of a door share.
struct DoorContext {
    DoorContext(const Clock &c, DoorOptions o, Door::Dispatch d)
        : clock(c)
        , options(std::move(o))
        , dispatch(std::move(d))
    {
    }

    DoorContext(DoorContext &&other) noexcept
        : clock(other.clock)
        , options(std::move(other.options))
        , dispatch(std::move(other.dispatch))
    {
    }

    const Clock &clock;
    DoorOptions options;
    Door::Dispatch dispatch;
    std::atomic<bool> draining = false;
    std::atomic<bool> refusing = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> inProgress = 0;
    std::atomic<std::size_t> ahead = 0; // unanswered requests behind others on their connections
};

class DoorTurn;

/// Bytes of a caller's input that are held: the largest head and one read of a body. A chunk's size line with
/// extensions and the fields after the last chunk must fit.
inline constexpr std::size_t MaxBufferedBytes = 192 * 1024;

/// A caller's connection and the requests on it that are not answered in full, oldest first.
struct DoorConnection {
    DoorConnection(DoorContext &c, tcp::socket socket)
        : context(c)
        , stream(std::move(socket))
        , buffer(MaxBufferedBytes)
        , changed(stream.get_executor())
    {
    }

    DoorContext &context;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::deque<std::shared_ptr<DoorTurn>> turns;
    asio::steady_timer changed; // cancelled when a turn has ended or its body was read
    bool closing = false; // no further request is read
    bool gone = false; // the caller has gone, or an answer was cut off
    bool cutOff = false; // an answer without a length was cut off
    bool watching = false; // the session waits for input and may be woken

    /// Makes the session look again at what it waits for.
    void wake();

    /// Ends all requests; nothing more is written.
    void abandon();
};

/// Runs one request and writes its answer.
class DoorTurn : public std::enable_shared_from_this<DoorTurn>
{
public:
    using Parser = http::request_parser<http::buffer_body>;

    explicit DoorTurn(DoorConnection &connection);

    /// Returns what the head is read with.
    Parser &parser();

    /// Checks the head and finds where the request goes; a request that cannot go on is answered by run().
    void prepare();

    /// Returns whether the request may run more than once, or only needs an answer of the door itself.
    bool startsAhead() const;

    /// Runs the request, answers it, and takes it off the connection.
    static asio::awaitable<void> run(std::shared_ptr<DoorTurn> self);

    /// Cancels the request since its caller has gone.
    void stop();

    /// Lets the answer go out if it is the first of those that are due.
    void noteFirst();

    /// Returns whether the body was read to its end, so that the next request follows.
    bool bodyRead() const;

    /// Returns whether the request was answered or given up.
    bool over() const;

private:
    class Source;
    class Sink;

    absl::Status toRequest();
    asio::awaitable<void> serve();
    asio::awaitable<ExchangeResult> dispatch(Source &source, Sink &sink);
    asio::awaitable<bool> untilFirst();
    bool isLast() const;

    DoorConnection &m_connection;
    std::unique_ptr<Parser> m_parser;
    CallerRequest m_request;
    absl::Status m_refusal;
    std::shared_ptr<StopSource> m_stop;
    asio::steady_timer m_first; // cancelled when the answer may go out
    bool m_over = false;
};

/// Returns the text of an answer that the door makes itself, for input that is no request.
std::string badInputText(std::uint16_t status, std::string reason, bool fractionalRetryAfter);

}
