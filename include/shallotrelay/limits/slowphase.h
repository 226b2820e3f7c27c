/// Length of the slow phases of a VM.
///
/// Other VMs on the same physical machine slow a VM down several times over for fractions of a second, again and again.
/// Work that starts in such a phase takes several times as long until it ends, even if it outlasts the phase
/// (docs/DECISIONS.md, "Work that starts in a slow phase"). The average phase length is learnt and determines how long
/// a reported slowdown remains valid.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstdint>

namespace shallotrelay
{

/// A VM is in a slow phase if work takes at least this many percent of its usual duration.
inline constexpr std::uint32_t SlowPhaseThresholdPercent = 180;

/// A duration in seconds as a floating-point number, used for averages.
using Seconds = std::chrono::duration<double>;

/// Learns the average length of slow phases.
class SlowPhaseLength
{
public:
    /// Records a phase by the first and the last time at which it was observed and the time at which it was over.
    void recordPhase(TimePoint first, TimePoint last, TimePoint over);

    /// Returns the average length.
    Seconds average() const;

private:
    Seconds m_average{0.25}; // initial assumption until phases have been observed
};

}
