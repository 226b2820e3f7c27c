/// Fair shares of the starts at one target, for the workspaces and the ranks that compete for them.
///
/// Load pattern: for seconds, more is asked than fits, because one workspace sends many times its usual number of
/// requests or because urgent requests alone fill all slots. Most workspaces have no request in the queue at a given
/// moment, so turns are given by what each was served lately rather than by a round over the queue:
/// - Within a rank, the workspace with the fewest recent starts is next. A workspace that always sends much would get a
///   small part of what it asks; those that are served less than half as often as all go first, by that measure.
/// - The next start is owed to a workspace or rank that is served less than about a third as often as all, before more
///   urgent requests. These lose less than half of the starts to it, however many less urgent requests there are.
///   Nothing is owed to a rank that is served better than a higher one.
///
/// Shares are in effect only while requests state a workspace. Call recordOffer() for each request that is offered and
/// recordStart() for each that starts; AdmissionQueue orders its requests by the other functions. There is no I/O, and
/// the time is passed with each call.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace shallotrelay
{

/// What a request is counted under.
struct ShareClaim {
    std::string workspace; ///< Workspace of the caller, empty if there is none.
    std::uint32_t rank = 0; ///< Rank; 0 is the most urgent.
    bool nested = false; ///< Whether it is a call of a running request; such calls count for no workspace.
};

/// Starts of requests that are queued ahead of a request.
struct FurtherStarts {
    std::size_t ofWorkspace = 0; ///< Requests ahead of the same workspace.
    std::size_t ofRank = 0; ///< Requests ahead of the same rank.
};

/// When a request starts, compared with others.
struct ShareTurn {
    bool owed = false; ///< Whether it goes before requests of higher rank that are not owed a start.
    bool underserved = false; ///< Whether its workspace is served less than half as often as all.
    /// Share of the workspace's requests that started if it is underserved, else its recent starts; the smallest is
    /// next within a rank.
    double served = 0;
};

/// Counts the recent offers and starts at one target by workspace and by rank.
class FairShare
{
public:
    /// Records that a request was offered.
    void recordOffer(const ShareClaim &claim, TimePoint now);

    /// Records that an offered request starts.
    void recordStart(const ShareClaim &claim, TimePoint now);

    /// Returns whether a request stated a workspace lately.
    bool isActive(TimePoint now) const;

    /// Returns the turn of a request after a number of further starts of its workspace and its rank.
    ShareTurn turnOf(const ShareClaim &claim, const FurtherStarts &further, TimePoint now) const;

private:
    /// Numbers of requests that halve with each half-life.
    struct Usage {
        double offered = 0;
        double started = 0;
        TimePoint updatedAt{};
    };

    static Usage decayed(const Usage &usage, TimePoint now);
    static void add(Usage *usage, double offered, double started, TimePoint now);
    double owedFactor(std::uint32_t rank) const;
    double smallestShareAbove(std::uint32_t rank, TimePoint now) const;
    void prune(TimePoint now);

    std::unordered_map<std::string, Usage> m_workspaces;
    Usage m_allWorkspaces;
    std::map<std::uint32_t, Usage> m_ranks;
    Usage m_allRanks;
    std::optional<TimePoint> m_lastStated;
    TimePoint m_prunedAt{};
};

}
