/// When work may start at a target, told by the pace of its VM.
///
/// The load pattern: neighbours on the same machine slow a VM several times for a fraction of a second, again and
/// again, each VM at times of its own. Work that starts then takes several times as long to its end, so a start is
/// better made at another target, or a moment later, than in a slow phase. What a target told a while ago says little,
/// since phases are short; so the target is asked right before a start, within a bound.
#pragma once

#include "shallotrelay/limits/slowphase.h"

#include <optional>

namespace shallotrelay
{

/// Follows the pace of one target.
class PaceGate
{
public:
    /// Sets how often the target may be asked, in questions a second; it is never asked before this was called.
    void setLooksPerSecond(double looks);

    /// Takes in what the target told: how long work takes at present, in percent of the usual time.
    void observed(std::uint32_t percent, TimePoint now);

    /// Returns whether the target is to be asked before work starts, and takes the question out of the bound. Targets
    /// that have never told a pace are not asked.
    bool takeLook(TimePoint now);

    /// Returns whether starts are better held: a slow phase was seen that has not lasted for long.
    bool holds(TimePoint now) const;

    /// Returns the expected time until a phase that holds starts is over, zero if none does.
    Duration rest(TimePoint now) const;

    /// Returns how much longer than usual work takes that starts now.
    double factor(TimePoint now) const;

    /// Returns what was told last in percent, 0 if nothing was.
    std::uint32_t percent() const;

private:
    bool believed(TimePoint now) const;

    double m_looksPerSecond = 0;
    double m_tokens = 0;
    TimePoint m_tokensAt;
    std::uint32_t m_percent = 0;
    TimePoint m_observedAt;
    std::optional<TimePoint> m_slowSince;
    SlowPhaseLength m_length;
};

}
