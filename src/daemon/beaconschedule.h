/// Decides when the load of a target is sent to other nodes, and to which ones.
///
/// Nodes subscribe for a limited time. Significant changes are sent soon, but the more nodes listen, the less often, so
/// that the cost of load beacons stays bounded.
#pragma once

#include "net/neterror.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Interval at which a node renews its interest in a target's load; beacons stop after three lost renewals in a row.
inline constexpr Duration InterestRenewalInterval = std::chrono::milliseconds(2000);

/// Time after which an interest that is not renewed expires.
inline constexpr Duration InterestLifetime = 3 * InterestRenewalInterval + std::chrono::milliseconds(500);

/// The subscribers to the load of one target and the time of the next beacon.
class BeaconSchedule
{
public:
    /// The result of a subscription.
    enum class Subscription {
        Added, ///< The node has not been subscribed before.
        Renewed, ///< The subscription was extended.
        Refused, ///< The address is invalid or there are too many subscribers.
    };

    /// Adds or renews the subscription of the node that listens at an address.
    Subscription subscribe(const std::string &address, TimePoint now);

    /// Returns whether the load is to be sent now, and removes expired subscriptions.
    bool isDue(const LoadReport &load, TimePoint now);

    /// Records that a load is sent now.
    void recordSent(const LoadReport &load, TimePoint now);

    /// Returns the maximum time until the next beacon.
    Duration maxInterval() const;

    /// Returns the addresses of the subscribers.
    std::vector<Address> subscribers() const;

private:
    struct Subscriber {
        Address address;
        TimePoint expiresAt;
    };

    Duration minInterval() const;

    std::map<std::string, Subscriber> m_subscribers; // by address as text
    LoadReport m_lastLoad;
    TimePoint m_lastSentAt;
};

}
