/// Cancellation of a coroutine from outside, for example when its caller disconnects or its deadline expires.
///
/// This replaces a race between several coroutines by one coroutine and plain completion handlers, which are cheaper;
/// the code runs for every request. Handlers keep the source alive by a shared pointer, since they may run after the
/// coroutine has finished.
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

/// Why a coroutine was cancelled.
enum class StopReason {
    None, ///< It was not cancelled.
    PeerDisconnected, ///< The peer closed its connection.
    Deadline, ///< Its deadline expired.
};

/// Runs one coroutine and cancels it on request. Used on one event loop only.
class StopSource : public std::enable_shared_from_this<StopSource>
{
public:
    /// Runs the coroutine; returns its result, or nothing if stop() cancelled it. Rethrows its exception.
    template<class Result>
    asio::awaitable<std::optional<Result>> run(asio::awaitable<Result> coroutine)
    {
        const auto executor = co_await asio::this_coro::executor;
        auto token = asio::bind_cancellation_slot(m_signal.slot(), AsTuple);
        auto [error, result] = co_await asio::co_spawn(executor, std::move(coroutine), std::move(token));
        m_done = true;
        if (m_reason != StopReason::None) {
            co_return std::nullopt;
        }
        if (error) {
            std::rethrow_exception(error);
        }
        co_return std::optional<Result>(std::move(result));
    }

    /// Cancels the coroutine unless it has finished or was already cancelled.
    void stop(StopReason reason)
    {
        if (m_done || m_reason != StopReason::None) {
            return;
        }
        m_reason = reason;
        m_signal.emit(asio::cancellation_type::terminal);
    }

    /// Returns whether the coroutine has finished.
    bool done() const
    {
        return m_done;
    }

    /// Returns why the coroutine was cancelled.
    StopReason reason() const
    {
        return m_reason;
    }

    /// Cancels the coroutine with PeerDisconnected once the peer closes the connection; received data ends the
    /// monitoring. Cancel the operations of the socket when the coroutine has finished.
    void watchPeer(tcp::socket &socket)
    {
        const int handle = socket.native_handle();
        socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), handle](boost::system::error_code ec) {
            if (ec || self->m_done) {
                return;
            }
            char byte = 0;
            if (::recv(handle, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) <= 0) {
                self->stop(StopReason::PeerDisconnected);
            }
        });
    }

private:
    asio::cancellation_signal m_signal;
    StopReason m_reason = StopReason::None;
    bool m_done = false;
};

}
