#include "shallotrelay/limits/slowphase.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Maximum length of a slow phase; a target that is slow for longer has become slow permanently.
constexpr Seconds MaxPhase(1.0);
/// Minimum length of a slow phase; it keeps the average above zero, since the average is used as a divisor.
constexpr Seconds MinPhase(0.02);
/// Weight of one slow phase in the average length; about the last twenty phases count.
constexpr double PhaseWeight = 0.05;

}

void SlowPhaseLength::recordPhase(TimePoint first, TimePoint last, TimePoint over)
{
    // The exact end is unknown: assume the middle between the last observation and the end report.
    const TimePoint end = last + (over - last) / 2;
    const Seconds length = std::clamp(Seconds(end - first), MinPhase, MaxPhase);
    m_average += PhaseWeight * (length - m_average);
}

Seconds SlowPhaseLength::average() const
{
    return m_average;
}

}
