#include "net/doorsession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace shallotrelay
{
namespace
{

constexpr std::size_t ReadAheadBytes = 8 * 1024;
constexpr std::size_t LingerBytes = 1024 * 1024;
constexpr Duration LingerBound = std::chrono::seconds(1);

std::uint16_t statusOf(const boost::system::error_code &ec)
{
    if (ec == boost::beast::error::timeout) {
        return 408;
    }
    return ec == http::error::header_limit ? 431 : 400;
}

}

DoorSession::DoorSession(DoorContext &context, tcp::socket socket)
    : m_connection(context, std::move(socket))
{
}

asio::awaitable<void> DoorSession::run()
{
    for (;;) {
        bool goesOn = co_await waitForRequest();
        if (!goesOn) {
            break;
        }
        const auto turn = std::make_shared<DoorTurn>(m_connection);
        goesOn = co_await readHead(*turn);
        if (!goesOn) {
            break;
        }
        m_served = true;
        co_await start(turn);
    }
    co_await untilAnswered();
    co_await lingerAndClose();
}

PipelineLoad DoorSession::load() const
{
    PipelineLoad out;
    out.unanswered = m_connection.turns.size();
    out.pipelinedOnNode = m_connection.context.ahead;
    out.closes = m_connection.closing || (m_connection.context.draining && m_served);
    return out;
}

/// Waits for the first byte of a request that may be read; returns false if there will be none.
asio::awaitable<bool> DoorSession::waitForRequest()
{
    for (;;) {
        const bool mayRead = mayReadPipelined({}, load());
        const bool idle = m_connection.turns.empty();
        if (m_connection.gone || (idle && !mayRead)) {
            co_return false;
        }
        if (mayRead && m_connection.buffer.size() > 0) {
            co_return true;
        }
        if (!idle) {
            co_await watchWhileBusy(mayRead);
            continue;
        }
        m_inputWaits = false;
        m_connection.buffer.shrink_to_fit();
        m_connection.stream.expires_after(m_connection.context.options.idleTimeout);
        const auto [ec, n]
            = co_await m_connection.stream.async_read_some(m_connection.buffer.prepare(ReadAheadBytes), AsTuple);
        m_connection.stream.expires_never();
        m_connection.buffer.commit(n);
        co_return !ec;
    }
}

/// Waits until input arrives or a request ends, and ends all requests if the caller has gone. Input that may not be
/// read yet keeps the caller from being watched.
asio::awaitable<void> DoorSession::watchWhileBusy(bool mayRead)
{
    if (m_connection.buffer.size() > 0 || (m_inputWaits && !mayRead)) {
        co_await untilChanged();
        co_return;
    }
    m_connection.watching = true;
    const auto [ec] = co_await m_connection.stream.socket().async_wait(tcp::socket::wait_read, AsTuple);
    m_connection.watching = false;
    if (ec || m_connection.gone) {
        co_return;
    }
    m_inputWaits = !mayRead;
    char byte = 0;
    if (::recv(m_connection.stream.socket().native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) <= 0) {
        m_connection.abandon();
    } else if (mayRead) {
        const auto [error, n]
            = co_await m_connection.stream.async_read_some(m_connection.buffer.prepare(ReadAheadBytes), AsTuple);
        m_connection.buffer.commit(n);
    }
}

asio::awaitable<bool> DoorSession::readHead(DoorTurn &turn)
{
    boost::system::error_code ec;
    for (;;) {
        const bool busy = !m_connection.turns.empty();
        if (!busy) {
            // The time is bounded once nothing is in progress, since a timeout closes the connection.
            m_connection.stream.expires_after(m_connection.context.options.headTimeout);
        }
        m_connection.watching = busy;
        std::tie(ec, std::ignore)
            = co_await http::async_read_header(m_connection.stream, m_connection.buffer, turn.parser(), AsTuple);
        m_connection.watching = false;
        m_connection.stream.expires_never();
        if (!ec) {
            co_return true;
        }
        const bool woken = busy && ec == asio::error::operation_aborted && m_connection.stream.socket().is_open();
        if (!woken || m_connection.gone) {
            break;
        }
    }
    const bool closed = ec == http::error::end_of_stream || ec.category() == boost::system::system_category();
    if (closed) {
        m_connection.abandon();
        co_return false;
    }
    m_connection.closing = true;
    co_await untilAnswered();
    const std::string text
        = badInputText(statusOf(ec), ec.message(), m_connection.context.options.fractionalRetryAfter);
    // A connection that timed out is closed already; what cannot be written is lost with it.
    m_connection.stream.expires_after(m_connection.context.options.headTimeout);
    co_await asio::async_write(m_connection.stream, asio::buffer(text), AsTuple);
    co_return false;
}

/// Starts a request as soon as it may run, and returns once the next one can be read.
asio::awaitable<void> DoorSession::start(std::shared_ptr<DoorTurn> turn)
{
    turn->prepare();
    while (!m_connection.gone && !mayStartPipelined(load(), turn->startsAhead())) {
        co_await watchWhileBusy(false);
    }
    if (m_connection.gone) {
        co_return;
    }
    m_connection.turns.push_back(turn);
    asio::co_spawn(m_connection.stream.get_executor(), DoorTurn::run(turn), asio::detached);
    while (!turn->bodyRead() && !turn->over()) {
        co_await untilChanged();
    }
}

asio::awaitable<void> DoorSession::untilChanged()
{
    m_connection.changed.expires_at(asio::steady_timer::time_point::max());
    co_await m_connection.changed.async_wait(AsTuple);
}

/// Waits until all requests are over.
asio::awaitable<void> DoorSession::untilAnswered()
{
    while (!m_connection.turns.empty()) {
        if (m_connection.gone) {
            co_await untilChanged();
        } else {
            co_await watchWhileBusy(false);
        }
    }
}

/// Lets the caller read the last answer: a connection that is closed with unread input would be reset. An answer that
/// was cut off and has no length is reset, since an orderly end would make it look whole.
asio::awaitable<void> DoorSession::lingerAndClose()
{
    boost::system::error_code ec;
    tcp::socket &socket = m_connection.stream.socket();
    if (m_connection.cutOff) {
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
        co_return;
    }
    socket.shutdown(tcp::socket::shutdown_send, ec);
    m_connection.stream.expires_after(LingerBound);
    std::string scrap(ReadAheadBytes, '\0');
    std::size_t total = 0;
    while (!ec && total < LingerBytes) {
        std::size_t n = 0;
        std::tie(ec, n) = co_await m_connection.stream.async_read_some(asio::buffer(scrap), AsTuple);
        total += n;
    }
}

}
