/// UDP socket through which nodes send each other the load of their targets and crash notices, and exchange datagrams
/// with the leader of the control VMs.
#pragma once

#include "net/framestream.h"
#include "net/neterror.h"
#include "shallotrelay/messages.h"

#include <functional>
#include <memory>

namespace shallotrelay
{

/// Largest datagram, in bytes; fits into one packet.
inline constexpr std::size_t MaxBeaconBytes = 1400;

/// Sends and receives load beacons, requests for them, and notices about crashes. Used on one event loop only.
class BeaconSocket
{
public:
    /// Callbacks for received datagrams, one per message type.
    struct Hooks {
        std::function<void(const LoadBeacon &beacon)> onLoad; ///< A node reports the load of a target.
        std::function<void(const LoadInterest &interest)> onInterest; ///< A node requests load beacons.
        std::function<void(const CrashNotice &notice)> onCrash; ///< A target crashed.
        std::function<void(const CleanRunNotice &notice)> onCleanRun; ///< A request ran without a crash.
        std::function<void(const Frame &datagram)> onOther{}; ///< A datagram of any other type, not decoded.
    };

    BeaconSocket(asio::io_context &loop, Hooks hooks);
    ~BeaconSocket();

    /// Binds the address and starts receiving; returns an error if the address cannot be bound.
    absl::Status start(const Address &address);

    /// Sends an encoded message to another process; a datagram that cannot be sent is discarded.
    void send(const std::string &encoded, const Address &to);

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
