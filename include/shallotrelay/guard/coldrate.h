/// Bounds the requests that a target in cold start gets within any one second.
///
/// The load pattern: a target that comes back, alone or with its whole data centre, looks idle and would draw far more
/// than it bears before its caches are warm. The bound is on starts within a sliding second, so that a burst at the
/// border of two seconds does not double it.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstdint>
#include <deque>

namespace shallotrelay
{

/// Counts starts within a sliding second.
class ColdRate
{
public:
    /// Notes a start.
    void started(TimePoint now);

    /// Returns whether a start keeps within the bound, in starts a second.
    bool allows(double perSecond, TimePoint now);

    /// Takes starts that nobody counted into account, such as those before a restart of the guard.
    void assume(std::uint32_t starts, TimePoint now);

private:
    void forgetOld(TimePoint now);

    std::deque<TimePoint> m_starts;
};

}
