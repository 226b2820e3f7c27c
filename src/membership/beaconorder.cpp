#include "shallotrelay/membership/beaconorder.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace shallotrelay
{
namespace
{

/// Minimum silence of an incarnation after which a smaller one may take its place; datagrams are delayed by less.
constexpr Duration MinIncarnationSilence = std::chrono::seconds(2);
/// Time without a beacon after which a target is forgotten.
constexpr Duration Retention = std::chrono::minutes(1);

}

bool BeaconOrder::accept(const LoadBeacon &beacon, TimePoint now)
{
    const auto it = m_last.find(beacon.target);
    if (it != m_last.end()) {
        const Last &last = it->second;
        const bool older = std::tie(beacon.incarnation, beacon.sequence) <= std::tie(last.incarnation, last.sequence);
        const bool replaced = beacon.incarnation != last.incarnation
                              && now - last.receivedAt > std::max(MinIncarnationSilence, last.interval);
        if (older && !replaced) {
            return false;
        }
    }
    m_last[beacon.target] = {beacon.incarnation, beacon.sequence, now, std::chrono::milliseconds(beacon.nextMs)};
    return true;
}

void BeaconOrder::expire(TimePoint now)
{
    std::erase_if(m_last, [&](const auto &it) { return now - it.second.receivedAt > Retention; });
}

}
