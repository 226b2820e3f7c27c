/// Error conversion and small Asio helpers for the network layer.
#pragma once

#include "cli/settingvalue.h"
#include "shallotrelay/base/clock.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <string_view>

namespace shallotrelay
{

namespace asio = boost::asio;
using boost::asio::ip::tcp;

/// Completion token that makes an operation return its error code together with its result instead of throwing.
inline constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Converts an error code to a status: Cancelled, DeadlineExceeded, FailedPrecondition if the connection was refused,
/// else Unavailable. The text starts with the failed operation.
absl::Status toStatus(const boost::system::error_code &ec, std::string_view what);

/// Returns whether the connection was refused because no process listens at the address.
bool isConnectionRefused(const absl::Status &status);

/// Returns the endpoint of an address whose host is a valid IP address.
tcp::endpoint toEndpoint(const Address &address);

/// Returns an acceptor that listens on the address, or Unavailable if the address cannot be bound.
absl::StatusOr<tcp::acceptor> listenOn(asio::io_context &loop, const Address &address);

/// Connects to the address and sets the default socket options; DeadlineExceeded if the timeout expires.
asio::awaitable<absl::StatusOr<tcp::socket>> connectTo(asio::any_io_executor executor, Address address,
                                                       Duration timeout);

/// Waits for the given time.
asio::awaitable<void> sleepFor(Duration span);

/// Waits until the coroutine is cancelled.
asio::awaitable<void> sleepForever();

/// Throws operation_aborted if the coroutine was cancelled; call it after a failed operation, so that cancellation is
/// not mistaken for a failure of the peer.
asio::awaitable<void> throwIfCancelled();

/// Sets the options of all connections: TCP_NODELAY, and TCP_USER_TIMEOUT to close a connection whose data is not
/// acknowledged.
void setSocketDefaults(int handle);

/// Returns whether the peer closed an idle connection or sent unexpected data on it.
bool isStale(tcp::socket &socket);

}
