/// Errors of the network layer and small helpers on Asio that its parts share.
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

/// Completion token that makes an operation return its error code with its result.
inline constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Turns an error code into a status: Unavailable, DeadlineExceeded, Cancelled, or FailedPrecondition where nothing
/// listens.
absl::Status toStatus(const boost::system::error_code &ec, std::string_view what);

/// Returns whether a connection was refused since nothing listens at the address.
bool nothingListens(const absl::Status &status);

/// Returns the endpoint of a checked address.
tcp::endpoint toEndpoint(const Address &address);

/// Opens, binds and listens.
absl::StatusOr<tcp::acceptor> listenOn(asio::io_context &loop, const Address &address);

/// Connects within a time; sets TCP_NODELAY.
asio::awaitable<absl::StatusOr<tcp::socket>> connectTo(asio::any_io_executor executor, Address address,
                                                       Duration timeout);

/// Waits for a span of time.
asio::awaitable<void> sleepFor(Duration span);

/// Waits until the coroutine is cancelled.
asio::awaitable<void> sleepForever();

/// Throws if the coroutine was cancelled; call it where a failed operation must not be taken for a fault of the peer.
asio::awaitable<void> throwIfCancelled();

/// Sets what all connections have: no delay of small writes, and an end when data goes unacknowledged for a while.
void setSocketDefaults(int handle);

/// Returns whether the other side closed an idle connection or sent something on it.
bool isStale(tcp::socket &socket);

}
