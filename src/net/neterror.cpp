#include "net/neterror.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/system/system_error.hpp>
#include <fmt/format.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shallotrelay
{
namespace
{

/// Time after which unacknowledged data closes the connection; longer than several round trips with packet loss.
constexpr std::chrono::milliseconds UnacknowledgedDataTimeout(1500);

}

absl::Status toStatus(const boost::system::error_code &ec, std::string_view what)
{
    if (!ec) {
        return absl::OkStatus();
    }
    const std::string text = fmt::format("{}: {}", what, ec.message());
    if (ec == asio::error::operation_aborted) {
        return absl::CancelledError(text);
    }
    if (ec == boost::beast::error::timeout || ec == asio::error::timed_out) {
        return absl::DeadlineExceededError(text);
    }
    if (ec == asio::error::connection_refused) {
        return absl::FailedPreconditionError(text);
    }
    return absl::UnavailableError(text);
}

bool isConnectionRefused(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kFailedPrecondition;
}

tcp::endpoint toEndpoint(const Address &address)
{
    return {asio::ip::make_address(address.host), address.port};
}

absl::StatusOr<tcp::acceptor> listenOn(asio::io_context &loop, const Address &address)
{
    const tcp::endpoint endpoint = toEndpoint(address);
    tcp::acceptor acceptor(loop);
    boost::system::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return absl::UnavailableError(fmt::format("cannot listen on {}: {}", address.text(), ec.message()));
    }
    return acceptor;
}

asio::awaitable<absl::StatusOr<tcp::socket>> connectTo(asio::any_io_executor executor, Address address,
                                                       Duration timeout)
{
    using namespace asio::experimental::awaitable_operators;
    tcp::socket socket(executor);
    const auto outcome = co_await (socket.async_connect(toEndpoint(address), AsTuple) || sleepFor(timeout));
    if (outcome.index() == 1) {
        co_return absl::DeadlineExceededError("connect to " + address.text() + ": timed out");
    }
    const auto [ec] = std::get<0>(outcome);
    if (ec) {
        co_return toStatus(ec, "connect to " + address.text());
    }
    setSocketDefaults(socket.native_handle());
    co_return socket;
}

void setSocketDefaults(int handle)
{
    const int on = 1;
    const auto userTimeout = static_cast<int>(UnacknowledgedDataTimeout.count());
    // Failures are ignored: without an option the socket still works, but a dead connection is closed later.
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof userTimeout);
}

asio::awaitable<void> sleepFor(Duration span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(span));
    co_await timer.async_wait(AsTuple);
}

asio::awaitable<void> sleepForever()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_at(asio::steady_timer::time_point::max());
    co_await timer.async_wait(AsTuple);
}

asio::awaitable<void> throwIfCancelled()
{
    const asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
    if (state.cancelled() != asio::cancellation_type::none) {
        throw boost::system::system_error(asio::error::operation_aborted);
    }
}

bool isStale(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t n = ::recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    const bool noData = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return !noData;
}

}
