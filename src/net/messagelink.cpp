#include "net/messagelink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <utility>

namespace shallotrelay
{
namespace
{

/// Time for a connection; a round trip between data centres takes a few milliseconds.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// Pause after a failed connection; frames that come meanwhile are dropped.
constexpr Duration ReconnectDelay = std::chrono::milliseconds(50);
/// Longest time for a batch of frames to be taken by the connection.
constexpr Duration WriteTimeout = std::chrono::milliseconds(1000);
/// Most bytes that wait; a state of the largest size fits twice.
constexpr std::size_t MaxWaitingBytes = 16 * 1024 * 1024;

}

struct MessageLink::Impl : std::enable_shared_from_this<MessageLink::Impl> {
    Impl(asio::io_context &loop, Address a)
        : executor(loop.get_executor())
        , address(std::move(a))
        , bound(loop)
    {
    }

    asio::any_io_executor executor;
    Address address;
    asio::steady_timer bound;
    std::optional<tcp::socket> socket;
    std::string waiting;
    bool running = false;
    bool stopped = false;

    void send(std::string frame)
    {
        if (waiting.size() + frame.size() > MaxWaitingBytes) {
            return;
        }
        waiting.append(frame);
        if (!running) {
            running = true;
            asio::co_spawn(executor, run(shared_from_this()), asio::detached);
        }
    }

    static asio::awaitable<void> run(std::shared_ptr<Impl> self)
    {
        while (!self->waiting.empty() && !self->stopped) {
            if (!self->socket || isStale(*self->socket)) {
                self->socket.reset();
                auto opened = co_await connectTo(self->executor, self->address, ConnectTimeout);
                if (!opened.ok()) {
                    self->waiting.clear();
                    co_await sleepFor(ReconnectDelay);
                    self->waiting.clear();
                    break;
                }
                self->socket = *std::move(opened);
            }
            co_await self->writeWaiting();
        }
        self->running = false;
    }

    asio::awaitable<void> writeWaiting()
    {
        const std::string batch = std::exchange(waiting, {});
        bound.expires_after(WriteTimeout);
        bound.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self && self->socket) {
                boost::system::error_code ignored;
                self->socket->close(ignored);
            }
        });
        const auto [ec, n] = co_await asio::async_write(*socket, asio::buffer(batch), AsTuple);
        bound.cancel();
        if (ec) {
            socket.reset();
        }
    }
};

MessageLink::MessageLink(asio::io_context &loop, Address address)
    : m_impl(std::make_shared<Impl>(loop, std::move(address)))
{
}

MessageLink::~MessageLink()
{
    m_impl->stopped = true;
}

void MessageLink::send(std::string frame)
{
    m_impl->send(std::move(frame));
}

}
