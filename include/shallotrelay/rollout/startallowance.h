/// How many requests a target of the new version may start during a roll-out, as the leader allows.
///
/// Load pattern: grants of the leader arrive as datagrams that are lost, repeated, late or out of order, leaders
/// change, and VMs freeze between the arrival of a grant and the next start. The numbers are cumulative, so that each
/// newer grant makes up for lost ones, and a grant is valid for a time from the sending of the sample that it responds
/// to, so that a delay on the way only shortens it.
///
/// Use one object for each guard: it counts the starts of a target during a roll-out, also if they are not limited.
///
///     StartAllowance allowance;
///     allowance.setTerms({rollout, incarnation, true});
///     allowance.recordSample(sequence, now);
///     allowance.applyGrant(grant, now);
///     if (allowance.remaining(now) > 0) { allowance.recordStart(); start(); }
///
/// The class does no I/O and is passed the time with each call.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace shallotrelay
{

/// The roll-out that the starts of a target are counted for.
struct StartTerms {
    std::uint64_t rollout = 0; ///< Identifies the roll-out that is in progress; 0 if there is none.
    std::uint64_t incarnation = 0; ///< Identifies the span over which starts of the target are counted.
    bool byGrant = false; ///< Whether the target starts only what the leader allows.

    bool operator==(const StartTerms &other) const = default;
};

/// Counts the starts of a target during a roll-out and limits them; not thread-safe.
class StartAllowance
{
public:
    /// Sets the terms; another roll-out or incarnation begins a new count, for which nothing is allowed yet.
    void setTerms(const StartTerms &terms);

    /// Records when a sample was sent, so that the validity of the grants that respond to it is known.
    void recordSample(std::uint64_t sequence, TimePoint sentAt);

    /// Applies a grant; returns false if it is ignored: it is for another roll-out or incarnation, of an earlier term
    /// or sequence than one before, or responds to no recent sample.
    bool applyGrant(const RolloutGrant &grant);

    /// Records a start, which counts as spent even if it does not reach the target.
    void recordStart();

    /// Returns how many more starts are allowed; UINT32_MAX if they are not limited.
    std::uint32_t remaining(TimePoint now) const;

    /// Returns the number of starts since the count began.
    std::uint64_t starts() const;

    /// Returns the number of starts allowed in all by the last grant, also after its end.
    std::uint64_t allowed() const;

private:
    struct Sample {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
    };

    std::optional<TimePoint> sentAt(std::uint64_t sequence) const;

    StartTerms m_terms;
    std::uint64_t m_starts = 0;
    std::uint64_t m_allowed = 0;
    TimePoint m_validUntil;
    std::uint64_t m_grantTerm = 0;
    std::uint64_t m_grantSequence = 0;
    std::deque<Sample> m_samples;
};

}
