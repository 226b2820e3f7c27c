/// Keeps the bound on the requests that a version under trial may receive, as a sum over all its targets.
///
/// Load pattern: requests reach the service at many nodes, while targets of the new version restart, freeze or are cut
/// off, datagrams are lost or repeated, and the leader that hands out the grants changes. Grants are cumulative and
/// made in small steps. A target that is gone counts with all that it was allowed. A new leader assumes that its
/// predecessor handed out all that it could, and grants nothing for starts from before it first heard a node.
///
///     CanaryBudget budget(share, slack);
///     budget.observe({"vm-7", incarnation}, starts, allowed, isNew); // for each sample
///     sample.allowed = budget.grant({"vm-7", incarnation}, starts + step, part, most);
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace shallotrelay
{

/// Grants starts within a share of all starts of a service; not thread-safe.
class CanaryBudget
{
public:
    /// A target together with the incarnation of its node.
    using Key = std::pair<std::string, std::uint64_t>;

    /// The share is from 0 to 1, and the slack is a number of requests.
    CanaryBudget(double share, double slack);

    /// Records the cumulative numbers that a node reports; smaller numbers than before are ignored.
    void observe(const Key &key, std::uint64_t starts, std::uint64_t allowed, bool isNew);

    /// Counts all that a predecessor may have allowed to targets that were not heard yet; call it once, after each
    /// target had the time to report.
    void assumePredecessor();

    /// Allows a target up to `wanted` starts in all, as far as a part of the bound (from 0 to 1) has room, and at most
    /// `most` more than before. Returns the number of starts allowed in all.
    std::uint64_t grant(const Key &key, std::uint64_t wanted, double part, std::uint64_t most);

    /// Returns the number of starts allowed in all, over all targets.
    double spent() const;

    /// Returns the number of starts that a part of the bound permits.
    double limit(double part) const;

    /// Returns the number of starts of the service that were reported.
    std::uint64_t starts() const;

private:
    double m_share;
    double m_slack;
    std::map<Key, std::uint64_t> m_starts;
    std::map<Key, std::uint64_t> m_allowed;
    std::uint64_t m_startsSum = 0;
    std::uint64_t m_allowedSum = 0;
    double m_reserve = 0; // allowed by the predecessor to targets that were not heard yet
    double m_base = 0; // spent at the take-over
    std::uint64_t m_baseStarts = 0;
    bool m_isSuccessor = false;
};

}
