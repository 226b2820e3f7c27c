#include "net/door.h"

#include "base/text.h"
#include "net/doorsession.h"
#include "net/listener.h"
#include "shallotrelay/base/random.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace shallotrelay
{
namespace
{

constexpr std::string_view TooManyCallers = "HTTP/1.1 503 Service Unavailable\r\nShallotrelay-Execution: not-run\r\n"
                                            "Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

}

struct Door::Impl : std::enable_shared_from_this<Door::Impl> {
    Impl(Runtime &runtime, DoorContext c)
        : context(std::move(c))
        , listener(runtime,
                   [this](asio::io_context &loop, tcp::socket socket) { onConnection(loop, std::move(socket)); })
    {
    }

    void onConnection(asio::io_context &loop, tcp::socket socket)
    {
        if (context.connections >= context.options.maxCallers) {
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(TooManyCallers), ignored);
            return;
        }
        asio::co_spawn(loop, serve(shared_from_this(), std::move(socket)), asio::detached);
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

    DoorContext context;
    Listener listener;
};

Door::Door(Runtime &runtime, const Clock &clock, DoorOptions options, Dispatch dispatch)
    : m_impl(std::make_shared<Impl>(runtime, DoorContext(clock, std::move(options), std::move(dispatch))))
{
}

Door::~Door()
{
    drain();
}

absl::Status Door::start(const Address &address)
{
    return m_impl->listener.start(address);
}

std::uint16_t Door::port() const
{
    return m_impl->listener.address().port;
}

void Door::wind()
{
    m_impl->context.draining = true;
}

void Door::refuseNew()
{
    m_impl->context.rejecting = true;
}

void Door::drain()
{
    wind();
    m_impl->listener.stop();
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
