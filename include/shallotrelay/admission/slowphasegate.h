/// Delays request starts at a target while its VM is in a slow phase.
///
/// Other VMs on the same physical machine slow a VM down several times over for fractions of a second, again and again,
/// and each VM at different times. Work that starts in a slow phase takes several times as long until it ends, so it is
/// better to start it at another target or a moment later. Reported slowdowns are soon out of date because the phases
/// are short; the target is therefore probed right before a start, with a limit on the probe rate.
#pragma once

#include "shallotrelay/limits/slowphase.h"

#include <optional>

namespace shallotrelay
{

/// Tracks the slowdown of the VM of one target.
class SlowPhaseGate
{
public:
    /// Sets the maximum probe rate in probes per second; until the first call the target is never probed.
    void setSlowdownProbesPerSecond(double probesPerSecond);

    /// Records a slowdown that the target reported: the present duration of work in percent of the usual duration.
    void recordSlowdown(std::uint32_t percent, TimePoint now);

    /// Returns whether the target is to be probed before work starts, and counts the probe against the rate limit.
    /// Targets that have never reported a slowdown are not probed.
    bool tryAcquireSlowdownProbe(TimePoint now);

    /// Returns whether starts are to be delayed: the target is in a slow phase that has not yet lasted unusually long.
    bool delaysStarts(TimePoint now) const;

    /// Returns the expected time until the slow phase that delays starts is over, zero if starts are not delayed.
    Duration expectedDelay(TimePoint now) const;

    /// Returns the factor by which work that starts now takes longer than usual.
    double slowdownFactor(TimePoint now) const;

    /// Returns the slowdown reported last in percent, 0 if none was reported.
    std::uint32_t slowdownPercent() const;

private:
    bool isCurrent(TimePoint now) const;

    double m_probesPerSecond = 0;
    double m_tokens = 0;
    TimePoint m_tokensUpdatedAt;
    std::uint32_t m_slowdownPercent = 0;
    TimePoint m_recordedAt;
    std::optional<TimePoint> m_slowSince;
    SlowPhaseLength m_phaseLength;
};

}
