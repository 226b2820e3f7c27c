#include "net/beaconsocket.h"

#include "wire/frame.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>

namespace shallotrelay
{
namespace
{

using boost::asio::ip::udp;

/// Decodes a datagram and calls the callback; a datagram that cannot be decoded is ignored, like a lost one.
template<class Message>
void decodeAndCall(std::string_view payload, const std::function<void(const Message &)> &callback)
{
    const auto message = decodeMessage<Message>(payload);
    if (message.ok() && callback) {
        callback(*message);
    }
}

}

struct BeaconSocket::Impl {
    Impl(asio::io_context &l, Hooks h)
        : loop(l)
        , hooks(std::move(h))
        , socket(l)
    {
    }

    asio::io_context &loop;
    Hooks hooks;
    udp::socket socket;

    static asio::awaitable<void> receive(std::shared_ptr<Impl> self)
    {
        std::string buf(MaxBeaconBytes, '\0');
        while (self->socket.is_open()) {
            udp::endpoint from;
            const auto [ec, n] = co_await self->socket.async_receive_from(asio::buffer(buf), from, AsTuple);
            if (ec == asio::error::operation_aborted) {
                co_return;
            }
            if (!ec) {
                self->handleDatagram(std::string_view(buf).substr(0, n));
            }
        }
    }

    void handleDatagram(std::string_view datagram)
    {
        const auto header = parseFrameHeader(datagram.substr(0, FrameHeaderBytes), MaxBeaconBytes);
        if (!header.ok()) {
            return;
        }
        const std::string_view payload = datagram.substr(FrameHeaderBytes);
        if (header->type == LoadBeacon::FrameType) {
            decodeAndCall(payload, hooks.onLoad);
        } else if (header->type == LoadInterest::FrameType) {
            decodeAndCall(payload, hooks.onInterest);
        } else if (header->type == CrashNotice::FrameType) {
            decodeAndCall(payload, hooks.onCrash);
        } else if (header->type == CleanRunNotice::FrameType) {
            decodeAndCall(payload, hooks.onCleanRun);
        } else if (hooks.onOther) {
            hooks.onOther({header->type, std::string(payload)});
        }
    }
};

BeaconSocket::BeaconSocket(asio::io_context &loop, Hooks hooks)
    : m_impl(std::make_shared<Impl>(loop, std::move(hooks)))
{
}

BeaconSocket::~BeaconSocket()
{
    boost::system::error_code ignored;
    m_impl->socket.close(ignored);
}

absl::Status BeaconSocket::start(const Address &address)
{
    boost::system::error_code ec;
    const udp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    m_impl->socket.open(endpoint.protocol(), ec);
    if (!ec) {
        m_impl->socket.bind(endpoint, ec);
    }
    if (!ec) {
        m_impl->socket.non_blocking(true, ec);
    }
    if (ec) {
        return toStatus(ec, "bind " + address.text());
    }
    asio::co_spawn(m_impl->loop, Impl::receive(m_impl), asio::detached);
    return absl::OkStatus();
}

void BeaconSocket::send(const std::string &encoded, const Address &to)
{
    boost::system::error_code ignored;
    const udp::endpoint endpoint(asio::ip::make_address(to.host), to.port);
    m_impl->socket.send_to(asio::buffer(encoded), endpoint, 0, ignored);
}

}
