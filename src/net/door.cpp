#include "net/door.h"

#include "base/text.h"
#include "net/doorsession.h"
#include "shallotrelay/base/random.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace shallotrelay
{
namespace
{

constexpr std::string_view TooManyCallers = "HTTP/1.1 503 Service Unavailable\r\nShallotrelay-Execution: not-run\r\n"
                                            "Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

}

struct Door::Impl : std::enable_shared_from_this<Door::Impl> {
    Impl(Runtime &r, DoorContext c)
        : runtime(r)
        , context(std::move(c))
    {
    }

    Runtime &runtime;
    DoorContext context;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::uint16_t port = 0;

    asio::awaitable<void> acceptAll()
    {
        for (;;) {
            asio::io_context &loop = runtime.next();
            auto [ec, socket] = co_await acceptor->async_accept(loop, AsTuple);
            if (ec == asio::error::operation_aborted) {
                co_return;
            }
            if (ec) {
                co_await sleepFor(std::chrono::milliseconds(10));
                continue;
            }
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            if (context.connections >= context.options.maxCallers) {
                asio::write(socket, asio::buffer(TooManyCallers), ignored);
                continue;
            }
            asio::co_spawn(loop, serve(shared_from_this(), std::move(socket)), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        ++self->context.connections;
        {
            DoorSession session(self->context, std::move(socket));
            co_await session.run();
        }
        --self->context.connections;
    }
};

Door::Door(Runtime &runtime, const Clock &clock, DoorOptions options, Dispatch dispatch)
    : m_impl(std::make_shared<Impl>(runtime, DoorContext(clock, options, std::move(dispatch))))
{
}

Door::~Door()
{
    drain();
}

absl::Status Door::start(const Address &address)
{
    asio::io_context &loop = m_impl->runtime.shard(0);
    auto acceptor = listenOn(loop, address);
    if (!acceptor.ok()) {
        return acceptor.status();
    }
    m_impl->port = acceptor->local_endpoint().port();
    m_impl->acceptor = std::make_unique<tcp::acceptor>(*std::move(acceptor));
    auto run = [](std::shared_ptr<Impl> impl) -> asio::awaitable<void> { co_await impl->acceptAll(); };
    asio::co_spawn(loop, run(m_impl), asio::detached);
    return absl::OkStatus();
}

std::uint16_t Door::port() const
{
    return m_impl->port;
}

void Door::drain()
{
    m_impl->context.draining = true;
    asio::post(m_impl->runtime.shard(0), [impl = m_impl] {
        if (impl->acceptor) {
            impl->acceptor->close();
        }
    });
}

std::size_t Door::inProgress() const
{
    return m_impl->context.inProgress;
}

std::size_t Door::connections() const
{
    return m_impl->context.connections;
}

}
