/// Ends a coroutine from outside, such as when its caller has gone or its deadline has passed.
///
/// This does what a race of coroutines would do, with one coroutine and plain completion handlers, which matters on the
/// path of each request. Watches hold the source by a shared pointer, since their handlers may run after the coroutine.
#pragma once

#include "net/neterror.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>

#include <sys/socket.h>

#include <exception>
#include <memory>
#include <optional>

namespace shallotrelay
{

/// Why a coroutine was ended.
enum class StopReason {
    None, ///< It was not.
    PeerGone, ///< The other side closed its connection.
    Deadline, ///< Its time was over.
};

/// Runs one coroutine and ends it on demand. Used on one event loop only.
class StopSource : public std::enable_shared_from_this<StopSource>
{
public:
    /// Runs the coroutine; returns its result, or nothing if it was ended by stop().
    template<class Result>
    asio::awaitable<std::optional<Result>> run(asio::awaitable<Result> main)
    {
        const auto executor = co_await asio::this_coro::executor;
        auto token = asio::bind_cancellation_slot(m_signal.slot(), AsTuple);
        auto [error, result] = co_await asio::co_spawn(executor, std::move(main), std::move(token));
        m_done = true;
        if (m_reason != StopReason::None) {
            co_return std::nullopt;
        }
        if (error) {
            std::rethrow_exception(error);
        }
        co_return std::optional<Result>(std::move(result));
    }

    /// Ends the coroutine unless it is over.
    void stop(StopReason reason)
    {
        if (m_done || m_reason != StopReason::None) {
            return;
        }
        m_reason = reason;
        m_signal.emit(asio::cancellation_type::terminal);
    }

    /// Returns whether the coroutine is over.
    bool done() const
    {
        return m_done;
    }

    /// Returns why the coroutine was ended.
    StopReason reason() const
    {
        return m_reason;
    }

    /// Stops with PeerGone once the other side has closed the connection; data that arrives ends the watch. Cancel the
    /// operations of the socket when the coroutine is over.
    void watchPeer(tcp::socket &socket)
    {
        const int handle = socket.native_handle();
        socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), handle](boost::system::error_code ec) {
            if (ec || self->m_done) {
                return;
            }
            char byte = 0;
            if (::recv(handle, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) <= 0) {
                self->stop(StopReason::PeerGone);
            }
        });
    }

private:
    asio::cancellation_signal m_signal;
    StopReason m_reason = StopReason::None;
    bool m_done = false;
};

}
