/// Hedging: decides when a request that has no response yet is sent to a second target as well.
///
/// Individual VMs become several times slower for a fraction of a second, so a few percent of the requests take far
/// longer than the rest while most targets are idle. Hedging just these requests pays off if the second attempt can
/// still finish within the latency objective; hedging more of them would only add load.
#pragma once

#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// Tracks the latency of one route and computes the delay after which a request is hedged.
class HedgeTimer
{
public:
    /// Records the time until the response, or, if the hedge responded first, the time for which the first attempt had
    /// been in flight.
    void recordLatency(Duration latency);

    /// Returns the delay from the start of the request until it is hedged; an objective of zero means that there is
    /// none.
    Duration delay(Duration objective) const;

    /// Returns whether a request should be hedged immediately because the VM of its target is in a slow phase: it would
    /// miss its latency objective there and can still meet it at another target. The slowdown is the time that work
    /// takes on that VM relative to the usual time; an objective of zero means that there is none.
    bool shouldHedgeNow(Duration elapsed, Duration objective, double slowdown) const;

    /// Returns the moving average of the latency, zero before the first response.
    Duration averageLatency() const;

private:
    double m_average = 0; // seconds
    double m_highQuantile = 0; // seconds, estimate of the 90th percentile
};

}
