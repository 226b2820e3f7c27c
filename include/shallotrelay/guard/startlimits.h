/// The limits on the starts of one guard beside its in-flight limit: the rate of a cold start, the rate that the target
/// states, and the allowance of a roll-out.
///
/// Load pattern: a new target becomes ready, cold, and of a version that gets a small share of the requests, while it
/// may state a limit. Each start is recorded once and has to be within all limits; load reports show other nodes no
/// free slot that the limits do not permit to use.
///
///     StartLimits limits;
///     if (limits.allowStart(coldPerSecond, now)) { limits.recordStart(now); start(); }
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/guard/coldstartratelimiter.h"
#include "shallotrelay/limits/statedlimit.h"
#include "shallotrelay/rollout/startallowance.h"

#include <cstdint>

namespace shallotrelay
{

/// Combines the limits on starts; not thread-safe.
class StartLimits
{
public:
    /// Records a start.
    void recordStart(TimePoint now);

    /// Returns whether one more start is permitted; a cold target has a rate in starts per second, others have 0.
    bool allowStart(double coldPerSecond, TimePoint now);

    /// Returns whether the allowance covers one more request beside the queued ones.
    bool hasAllowance(std::uint32_t queued, TimePoint now) const;

    /// Returns the in-flight limit that other nodes may rely on for as long as a load report is used.
    std::uint32_t reportedLimit(std::uint32_t limit, std::uint32_t inFlight, TimePoint now) const;

    /// The limit that the target states.
    StatedLimit stated;

    /// The allowance of a roll-out.
    StartAllowance allowance;

private:
    ColdStartRateLimiter m_cold;
};

}
