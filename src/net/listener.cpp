#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace shallotrelay
{
namespace
{

/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(10);

}

struct Listener::Impl {
    Impl(Runtime &r, OnConnection callback)
        : runtime(r)
        , onConnection(std::move(callback))
    {
    }

    static asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> self)
    {
        for (;;) {
            asio::io_context &loop = self->runtime.next();
            auto [ec, socket] = co_await self->acceptor->async_accept(loop, AsTuple);
            if (ec == asio::error::operation_aborted) {
                co_return;
            }
            if (ec) {
                co_await sleepFor(AcceptRetryDelay);
                continue;
            }
            setSocketDefaults(socket.native_handle());
            self->onConnection(loop, std::move(socket));
        }
    }

    Runtime &runtime;
    OnConnection onConnection;
    std::unique_ptr<tcp::acceptor> acceptor;
    Address address;
};

Listener::Listener(Runtime &runtime, OnConnection onConnection)
    : m_impl(std::make_shared<Impl>(runtime, std::move(onConnection)))
{
}

Listener::~Listener()
{
    stop();
}

absl::Status Listener::start(const Address &address)
{
    asio::io_context &loop = m_impl->runtime.shard(0);
    auto acceptor = listenOn(loop, address);
    if (!acceptor.ok()) {
        return acceptor.status();
    }
    m_impl->address = {address.host, acceptor->local_endpoint().port()};
    m_impl->acceptor = std::make_unique<tcp::acceptor>(*std::move(acceptor));
    asio::co_spawn(loop, Impl::acceptLoop(m_impl), asio::detached);
    return absl::OkStatus();
}

const Address &Listener::address() const
{
    return m_impl->address;
}

void Listener::stop()
{
    asio::post(m_impl->runtime.shard(0), [impl = m_impl] {
        if (impl->acceptor) {
            impl->acceptor->close();
        }
    });
}

}
