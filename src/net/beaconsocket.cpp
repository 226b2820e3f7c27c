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

/// Largest beacon, in bytes; it fits one packet.
constexpr std::size_t MaxBeaconBytes = 1400;

}

struct BeaconSocket::Impl {
    Impl(asio::io_context &l, OnBeacon hook)
        : loop(l)
        , onBeacon(std::move(hook))
        , socket(l)
    {
    }

    asio::io_context &loop;
    OnBeacon onBeacon;
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
                self->take(std::string_view(buf).substr(0, n));
            }
        }
    }

    void take(std::string_view datagram)
    {
        const auto header = parseFrameHeader(datagram.substr(0, FrameHeaderBytes), MaxBeaconBytes);
        if (!header.ok() || header->type != LoadBeacon::FrameType) {
            return;
        }
        const auto beacon = decodeMessage<LoadBeacon>(datagram.substr(FrameHeaderBytes));
        if (beacon.ok()) {
            onBeacon(*beacon);
        }
    }
};

BeaconSocket::BeaconSocket(asio::io_context &loop, OnBeacon onBeacon)
    : m_impl(std::make_shared<Impl>(loop, std::move(onBeacon)))
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
