/// How long slow phases of a VM last.
///
/// The load pattern: neighbours on the same machine slow a VM several times for a fraction of a second, again and
/// again. Work that starts in such a phase takes several times as long to its end, also where it outlasts the phase
/// (docs/DECISIONS.md, "Work that starts in a slow phase"). How long a pace that was told holds follows from the usual
/// length of a phase, which is learnt.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstdint>

namespace shallotrelay
{

/// A VM on which work takes this many percent of the usual time is in a slow phase.
inline constexpr std::uint32_t SlowPacePercent = 180;

/// A time in seconds, as averages are kept.
using Seconds = std::chrono::duration<double>;

/// Learns the average length of slow phases from their ends.
class SlowPhaseLength
{
public:
    /// Takes in a phase that was first seen at a time, was seen last, and was found to be over.
    void ended(TimePoint first, TimePoint last, TimePoint over);

    /// Returns the average length.
    Seconds average() const;

private:
    Seconds m_average{0.25}; // assumed until some were seen
};

}
