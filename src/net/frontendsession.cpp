#include "net/frontendsession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace shallotrelay
{
namespace
{

constexpr std::size_t ReadBufferBytes = 8 * 1024;
constexpr std::size_t LingerBytes = 1024 * 1024;
constexpr Duration LingerTimeout = std::chrono::seconds(1);

std::uint16_t statusOf(const boost::system::error_code &ec)
{
    if (ec == boost::beast::error::timeout) {
        return 408;
    }
    return ec == http::error::header_limit ? 431 : 400;
}

}

FrontendSession::FrontendSession(FrontendContext &context, tcp::socket socket)
    : m_connection(context, std::move(socket))
{
}

asio::awaitable<void> FrontendSession::run()
{
    for (;;) {
        bool proceed = co_await waitForRequest();
        if (!proceed) {
            break;
        }
        const auto exchange = std::make_shared<FrontendExchange>(m_connection);
        proceed = co_await readHead(*exchange);
        if (!proceed) {
            break;
        }
        m_served = true;
        co_await start(exchange);
    }
    co_await waitUntilIdle();
    co_await lingerAndClose();
}

PipelineLoad FrontendSession::load() const
{
    PipelineLoad out;
    out.unanswered = m_connection.exchanges.size();
    out.pipelinedOnNode = m_connection.context.pipelined;
    out.closes = m_connection.closing || (m_connection.context.draining && m_served);
    return out;
}

/// Waits until data of a request that may be read is available; returns false if no further request will be read.
asio::awaitable<bool> FrontendSession::waitForRequest()
{
    for (;;) {
        const bool mayRead = mayReadPipelined({}, load());
        const bool idle = m_connection.exchanges.empty();
        if (m_connection.abandoned || (idle && !mayRead)) {
            co_return false;
        }
        if (mayRead && m_connection.buffer.size() > 0) {
            co_return true;
        }
        if (!idle) {
            co_await waitForInputOrChange(mayRead);
            continue;
        }
        m_inputPending = false;
        m_connection.buffer.shrink_to_fit();
        m_connection.stream.expires_after(m_connection.context.options.idleTimeout);
        const auto [ec, n]
            = co_await m_connection.stream.async_read_some(m_connection.buffer.prepare(ReadBufferBytes), AsTuple);
        m_connection.stream.expires_never();
        m_connection.buffer.commit(n);
        co_return !ec;
    }
}

/// Waits until input arrives or an exchange changes, and cancels all requests if the caller disconnects. While input
/// is pending that must not be read yet, a disconnect cannot be detected.
asio::awaitable<void> FrontendSession::waitForInputOrChange(bool mayRead)
{
    if (m_connection.buffer.size() > 0 || (m_inputPending && !mayRead)) {
        co_await waitForChange();
        co_return;
    }
    m_connection.waitingForInput = true;
    const auto [ec] = co_await m_connection.stream.socket().async_wait(tcp::socket::wait_read, AsTuple);
    m_connection.waitingForInput = false;
    if (ec || m_connection.abandoned) {
        co_return;
    }
    m_inputPending = !mayRead;
    char byte = 0;
    if (::recv(m_connection.stream.socket().native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) <= 0) {
        m_connection.abandon();
    } else if (mayRead) {
        const auto [error, n]
            = co_await m_connection.stream.async_read_some(m_connection.buffer.prepare(ReadBufferBytes), AsTuple);
        m_connection.buffer.commit(n);
    }
}

asio::awaitable<bool> FrontendSession::readHead(FrontendExchange &exchange)
{
    boost::system::error_code ec;
    for (;;) {
        const bool busy = !m_connection.exchanges.empty();
        if (!busy) {
            // The head timeout closes the connection, so it applies only while no request is in progress.
            m_connection.stream.expires_after(m_connection.context.options.headTimeout);
        }
        m_connection.waitingForInput = busy;
        std::tie(ec, std::ignore)
            = co_await http::async_read_header(m_connection.stream, m_connection.buffer, exchange.parser(), AsTuple);
        m_connection.waitingForInput = false;
        m_connection.stream.expires_never();
        if (!ec) {
            co_return true;
        }
        const bool woken = busy && ec == asio::error::operation_aborted && m_connection.stream.socket().is_open();
        if (!woken || m_connection.abandoned) {
            break;
        }
    }
    const bool closed = ec == http::error::end_of_stream || ec.category() == boost::system::system_category();
    if (closed) {
        m_connection.abandon();
        co_return false;
    }
    m_connection.closing = true;
    co_await waitUntilIdle();
    const std::string text
        = errorResponseText(statusOf(ec), ec.message(), m_connection.context.options.fractionalRetryAfter);
    // After a timeout the connection is already closed; the response is then lost.
    m_connection.stream.expires_after(m_connection.context.options.headTimeout);
    co_await asio::async_write(m_connection.stream, asio::buffer(text), AsTuple);
    co_return false;
}

/// Starts a request as soon as pipelining permits; returns once its body has been read and the next head follows.
asio::awaitable<void> FrontendSession::start(std::shared_ptr<FrontendExchange> exchange)
{
    exchange->prepare();
    while (!m_connection.abandoned && !mayStartPipelined(load(), exchange->mayRunPipelined())) {
        co_await waitForInputOrChange(false);
    }
    if (m_connection.abandoned) {
        co_return;
    }
    m_connection.exchanges.push_back(exchange);
    asio::co_spawn(m_connection.stream.get_executor(), FrontendExchange::run(exchange), asio::detached);
    while (!exchange->bodyComplete() && !exchange->finished()) {
        co_await waitForChange();
    }
}

asio::awaitable<void> FrontendSession::waitForChange()
{
    m_connection.changed.expires_at(asio::steady_timer::time_point::max());
    co_await m_connection.changed.async_wait(AsTuple);
}

/// Waits until no request is in progress.
asio::awaitable<void> FrontendSession::waitUntilIdle()
{
    while (!m_connection.exchanges.empty()) {
        if (m_connection.abandoned) {
            co_await waitForChange();
        } else {
            co_await waitForInputOrChange(false);
        }
    }
}

/// Reads and discards input for a while before closing: closing a socket with unread input would reset the connection,
/// and the caller might lose the last response. A truncated response without a length is reset deliberately, since an
/// orderly close would make it look complete.
asio::awaitable<void> FrontendSession::lingerAndClose()
{
    boost::system::error_code ec;
    tcp::socket &socket = m_connection.stream.socket();
    if (m_connection.truncated) {
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
        co_return;
    }
    socket.shutdown(tcp::socket::shutdown_send, ec);
    m_connection.stream.expires_after(LingerTimeout);
    std::string discarded(ReadBufferBytes, '\0');
    std::size_t total = 0;
    while (!ec && total < LingerBytes) {
        std::size_t n = 0;
        std::tie(ec, n) = co_await m_connection.stream.async_read_some(asio::buffer(discarded), AsTuple);
        total += n;
    }
}

}
