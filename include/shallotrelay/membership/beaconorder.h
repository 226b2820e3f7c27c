/// Decides which load beacons are newer than those received before.
///
/// Load pattern: a node restarts beside a running target while clocks are being corrected. The incarnation of a node
/// comes from its clock, so the later one may be the smaller one.
///
///     BeaconOrder order;
///     if (order.accept(beacon, now)) { apply(beacon); }
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <map>
#include <string>

namespace shallotrelay
{

/// Remembers the last beacon of each target.
class BeaconOrder
{
public:
    /// Returns whether a beacon is newer than the last accepted one of its target. A smaller incarnation counts as
    /// newer once the greater one has been silent for longer than its interval and than a datagram may be delayed.
    bool accept(const LoadBeacon &beacon, TimePoint now);

    /// Forgets targets without a beacon for a minute; call it every few seconds.
    void expire(TimePoint now);

private:
    struct Last {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint receivedAt;
        Duration interval{}; // maximum time until the next beacon
    };

    std::map<std::string, Last> m_last; // by target
};

}
