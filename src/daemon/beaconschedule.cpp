#include "daemon/beaconschedule.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Maximum interval between two beacons, unless the minimum is longer; a node is considered gone after a few missing
/// ones.
constexpr Duration MaxInterval = std::chrono::milliseconds(250);
/// Minimum interval between two beacons per receiving node; limits the cost of beacons.
constexpr Duration MinIntervalPerSubscriber = std::chrono::milliseconds(25);
/// Maximum number of nodes that receive the load of one target; further interests are refused.
constexpr std::size_t MaxSubscribers = 512;

/// Returns whether a load differs enough from the last one sent to be sent at once.
bool isSignificantChange(const LoadReport &a, const LoadReport &b)
{
    constexpr std::uint32_t SlowdownStep = 40;
    constexpr std::uint32_t LoadStep = 3;
    const auto distance = [](std::uint32_t x, std::uint32_t y) { return x > y ? x - y : y - x; };
    return a.state != b.state || a.limit != b.limit || distance(a.pacePercent, b.pacePercent) > SlowdownStep
           || distance(a.inFlight + a.queued, b.inFlight + b.queued) >= LoadStep;
}

}

BeaconSchedule::Subscription BeaconSchedule::subscribe(const std::string &address, TimePoint now)
{
    const auto parsed = parseAddress(address);
    const bool known = m_subscribers.contains(address);
    if (!parsed.ok() || (!known && m_subscribers.size() >= MaxSubscribers)) {
        return Subscription::Refused;
    }
    m_subscribers[address] = {*parsed, now + InterestLifetime};
    return known ? Subscription::Renewed : Subscription::Added;
}

bool BeaconSchedule::isDue(const LoadReport &load, TimePoint now)
{
    std::erase_if(m_subscribers, [&](const auto &it) { return it.second.expiresAt <= now; });
    const bool changed = isSignificantChange(load, m_lastLoad) && now - m_lastSentAt >= minInterval();
    return changed || now - m_lastSentAt >= maxInterval();
}

void BeaconSchedule::recordSent(const LoadReport &load, TimePoint now)
{
    m_lastLoad = load;
    m_lastSentAt = now;
}

Duration BeaconSchedule::minInterval() const
{
    return MinIntervalPerSubscriber * static_cast<int>(m_subscribers.size());
}

Duration BeaconSchedule::maxInterval() const
{
    return std::max(minInterval(), MaxInterval);
}

std::vector<Address> BeaconSchedule::subscribers() const
{
    std::vector<Address> out;
    for (const auto &it : m_subscribers) {
        out.push_back(it.second.address);
    }
    return out;
}

}
