#include "shallotrelay/limits/slowphase.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Longest slow phase that counts as one; what lasts longer is a target that has turned slow.
constexpr Seconds LongestPhase(1.0);
/// Shortest one: the average is divided by.
constexpr Seconds LeastPhase(0.02);
/// Share of one slow phase in the average length; about the last twenty count.
constexpr double PhaseWeight = 0.05;

}

void SlowPhaseLength::ended(TimePoint first, TimePoint last, TimePoint over)
{
    // It ended at some time since it was seen last.
    const TimePoint end = last + (over - last) / 2;
    const Seconds length = std::clamp(Seconds(end - first), LeastPhase, LongestPhase);
    m_average += PhaseWeight * (length - m_average);
}

Seconds SlowPhaseLength::average() const
{
    return m_average;
}

}
