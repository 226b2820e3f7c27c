/// Rate limiter for request starts at a target in cold start.
///
/// Use it when a target comes back, alone or with its data centre: it appears idle and would attract far more
/// requests than it can serve before its caches are warm. The limit applies to any sliding second, because with fixed
/// one-second windows a burst across a window boundary could reach twice the limit.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstdint>
#include <deque>

namespace shallotrelay
{

/// Limits the starts within a sliding second.
class ColdStartRateLimiter
{
public:
    /// Records a request start.
    void recordStart(TimePoint now);

    /// Returns whether one more start stays within the limit, in starts per second.
    bool allowsStart(double perSecond, TimePoint now);

    /// Records starts that were not reported one by one, such as those before a restart of the guard.
    void assumeStarts(std::uint32_t starts, TimePoint now);

private:
    void discardExpired(TimePoint now);

    std::deque<TimePoint> m_starts;
};

}
