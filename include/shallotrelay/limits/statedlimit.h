/// The limit that a target itself states in its responses, in requests per second from all nodes together.
///
/// Load pattern: a target in need states a limit for some seconds, well below what its slots could take. Slots do not
/// bound a rate: 14 slots take 230 requests of 60 ms per second. The limit can be as low as one request in several
/// seconds, can change from one response to the next, and ends when responses no longer state it.
///
/// Use one object at the guard of the target, through which all requests of all nodes pass. Starts are paced by a token
/// bucket whose burst is half a second of the limit. After the end of the limit, the permitted rate rises for 1 s, so
/// that the nodes do not all turn to the target at once.
///
/// The class does no I/O and is passed the time with each call.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/membership/targetstatement.h"

#include <cstdint>
#include <optional>
#include <set>

namespace shallotrelay
{

/// Paces the starts at one target by the limit that it states.
class StatedLimit
{
public:
    /// Applies the statement in a response. A response without a limit ends the limit if the last statement of it is
    /// half a second old, so that responses that overtake each other do not, and if responses of this kind state it.
    void recordStatement(const TargetStatement &statement, StatementSource source, TimePoint now);

    /// Discards all that is known, since another instance of the target has started.
    void reset();

    /// Records the start of a request at the target.
    void recordStart(TimePoint now);

    /// Returns whether one more start is permitted.
    bool allowsStart(TimePoint now) const;

    /// Returns the permitted rate in starts per second, none if it is not limited.
    std::optional<double> startsPerSecond(TimePoint now) const;

    /// Returns the time until the next start is permitted, zero if it is; at most MaxStartWait.
    Duration untilNextStart(TimePoint now) const;

    /// Returns the time between two starts at the permitted rate, zero if it is not limited; at most MaxStartWait.
    Duration startInterval(TimePoint now) const;

    /// Returns how many starts are permitted within the given time; all, if the rate is not limited.
    std::uint32_t permittedStarts(Duration within, TimePoint now) const;

    /// Returns the limit that the target states, none if it states none.
    const std::optional<double> &stated() const;

    /// Maximum time that is returned as a wait for a start.
    static constexpr Duration MaxStartWait = std::chrono::minutes(1);

private:
    bool endsLimit(StatementSource source, TimePoint now) const;
    double tokensAt(double rate, TimePoint now) const;
    void updateTokens(TimePoint now);

    std::optional<double> m_stated;
    std::set<StatementSource> m_sources; // kinds of responses that have stated the limit
    TimePoint m_lastStatedAt;
    double m_lastRate = 0; // starts per second when the limit ended
    std::optional<TimePoint> m_endedAt; // none unless the permitted rate is rising after the end of the limit
    double m_tokens = 0;
    TimePoint m_tokensUpdatedAt;
};

}
