/// Datagrams in which nodes tell each other the load of their targets and what they learnt of crashes.
#pragma once

#include "net/neterror.h"
#include "shallotrelay/messages.h"

#include <functional>
#include <memory>

namespace shallotrelay
{

/// Largest datagram, in bytes; it fits one packet.
inline constexpr std::size_t MaxBeaconBytes = 1400;

/// Sends and receives such datagrams. Used on one event loop only.
class BeaconSocket
{
public:
    /// Called for each datagram that arrives.
    struct Hooks {
        std::function<void(const LoadBeacon &beacon)> onLoad; ///< The load of a target.
        std::function<void(const LoadInterest &interest)> onInterest; ///< A node asks to be told the load.
        std::function<void(const CrashNotice &notice)> onCrash; ///< A target crashed.
        std::function<void(const CleanRunNotice &notice)> onCleanRun; ///< A request ran to its end.
    };

    BeaconSocket(asio::io_context &loop, Hooks hooks);
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
