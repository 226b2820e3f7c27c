/// Datagrams in which the guards tell each other their load.
#pragma once

#include "net/neterror.h"
#include "shallotrelay/messages.h"

#include <functional>
#include <memory>

namespace shallotrelay
{

/// Sends and receives load beacons. Used on one event loop only.
class BeaconSocket
{
public:
    /// Called for each beacon that arrives.
    using OnBeacon = std::function<void(const LoadBeacon &beacon)>;

    BeaconSocket(asio::io_context &loop, OnBeacon onBeacon);
    ~BeaconSocket();

    /// Binds the address and starts to receive.
    absl::Status start(const Address &address);

    /// Sends a beacon to another process; a datagram that cannot be sent is lost.
    void send(const std::string &encoded, const Address &to);

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
