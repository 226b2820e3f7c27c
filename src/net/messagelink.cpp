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

/// Time limit for a connection attempt; a round trip between data centres takes a few milliseconds.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// Pause after a failed connection attempt; frames sent during the pause are dropped.
constexpr Duration ReconnectDelay = std::chrono::milliseconds(50);
/// Time limit for writing a batch of frames to the connection.
constexpr Duration WriteTimeout = std::chrono::milliseconds(1000);
/// Maximum size of the send queue in bytes; two states of the largest size fit.
constexpr std::size_t MaxPendingBytes = 16 * 1024 * 1024;

}

struct MessageLink::Impl : std::enable_shared_from_this<MessageLink::Impl> {
    Impl(asio::io_context &loop, Address a)
        : executor(loop.get_executor())
        , address(std::move(a))
        , writeTimer(loop)
    {
    }

    asio::any_io_executor executor;
    Address address;
    asio::steady_timer writeTimer;
    std::optional<tcp::socket> socket;
    std::string pending;
    bool running = false;
    bool stopped = false;

    void send(std::string frame)
    {
        if (pending.size() + frame.size() > MaxPendingBytes) {
            return;
        }
        pending.append(frame);
        if (!running) {
            running = true;
            asio::co_spawn(executor, run(shared_from_this()), asio::detached);
        }
    }

    static asio::awaitable<void> run(std::shared_ptr<Impl> self)
    {
        while (!self->pending.empty() && !self->stopped) {
            if (!self->socket || isStale(*self->socket)) {
                self->socket.reset();
                auto opened = co_await connectTo(self->executor, self->address, ConnectTimeout);
                if (!opened.ok()) {
                    self->pending.clear();
                    co_await sleepFor(ReconnectDelay);
                    self->pending.clear();
                    break;
                }
                self->socket = *std::move(opened);
            }
            co_await self->writePending();
        }
        self->running = false;
    }

    asio::awaitable<void> writePending()
    {
        const std::string batch = std::exchange(pending, {});
        writeTimer.expires_after(WriteTimeout);
        writeTimer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self && self->socket) {
                boost::system::error_code ignored;
                self->socket->close(ignored);
            }
        });
        const auto [ec, n] = co_await asio::async_write(*socket, asio::buffer(batch), AsTuple);
        writeTimer.cancel();
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
