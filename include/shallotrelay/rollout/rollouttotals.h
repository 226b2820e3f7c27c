/// Compares a new version with the old one over all of a roll-out, for a leader that has seen little of it.
///
/// Load pattern: leaders change during a roll-out, each new one hears cumulative counts of responses that it did not
/// see come, and the few responses that follow do not suffice for a verdict before the switch. The counts do not tell
/// when the responses were, so that only differences count that trouble of both versions does not explain.
///
/// Use one object for each roll-out: pass it what each sample reports beyond the one before.
///
///     RolloutTotals totals;
///     totals.add("vm-7", RolloutSide::New, "read", counts);
///     if (totals.seemWorse()) { rollBack(); }
#pragma once

#include "shallotrelay/rollout/rolloutjudge.h"

#include <cstdint>
#include <map>
#include <string>

namespace shallotrelay
{

/// Responses of both versions by route since the order; not thread-safe.
class RolloutTotals
{
public:
    /// Adds responses of a target on a route.
    void add(const std::string &target, RolloutSide side, const std::string &route, const RolloutCounts &counts);

    /// Returns the number of responses of the new version.
    std::uint64_t newResponses() const;

    /// Returns whether far more responses of the new version failed or were slow than of the old one, on any route or
    /// on all together, whichever target of the new version is left out; one may be at fault on its own.
    bool seemWorse() const;

private:
    using Routes = std::map<std::string, RolloutCounts>;

    bool seemWorse(const Routes &fresh) const;

    Routes m_old;
    std::map<std::string, Routes> m_new; // by target
};

}
