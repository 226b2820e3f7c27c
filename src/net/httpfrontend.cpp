#include "net/httpfrontend.h"

#include "base/text.h"
#include "net/frontendsession.h"
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

struct HttpFrontend::Impl : std::enable_shared_from_this<HttpFrontend::Impl> {
    Impl(Runtime &runtime, FrontendContext c)
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
            FrontendSession session(self->context, std::move(socket));
            co_await session.run();
        }
        --self->context.connections;
    }

    FrontendContext context;
    Listener listener;
};

HttpFrontend::HttpFrontend(Runtime &runtime, const Clock &clock, FrontendOptions options, Dispatch dispatch)
    : m_impl(std::make_shared<Impl>(runtime, FrontendContext(clock, std::move(options), std::move(dispatch))))
{
}

HttpFrontend::~HttpFrontend()
{
    drain();
}

absl::Status HttpFrontend::start(const Address &address)
{
    return m_impl->listener.start(address);
}

std::uint16_t HttpFrontend::port() const
{
    return m_impl->listener.address().port;
}

void HttpFrontend::disableKeepAlive()
{
    m_impl->context.draining = true;
}

void HttpFrontend::rejectNewRequests()
{
    m_impl->context.rejecting = true;
}

void HttpFrontend::drain()
{
    disableKeepAlive();
    m_impl->listener.stop();
}

std::size_t HttpFrontend::inProgress() const
{
    return m_impl->context.inProgress;
}

std::size_t HttpFrontend::connections() const
{
    return m_impl->context.connections;
}

}
