#include "shallotrelay/admission/fairshare.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace shallotrelay
{
namespace
{

constexpr Duration HalfLife = std::chrono::seconds(2);
/// Time for which shares stay in effect after a request that stated a workspace.
constexpr Duration ActivePeriod = std::chrono::seconds(10);
/// A workspace is underserved if the share of its requests that start is below this multiple of the share of all;
/// callers are promised a quarter, and a share is noticed to fall only after requests were refused.
constexpr double UnderservedFactor = 0.5;
/// A workspace or rank is owed a start if its share is below this multiple of the share of all, plus a margin that
/// shrinks with each rank.
constexpr double OwedFactor = 0.35;
constexpr double OwedFactorMargin = 0.1;
/// A rank is owed nothing unless its share is below this multiple of the share of each higher rank.
constexpr double LowerRankFactor = 0.9;
/// Minimum number of recent offers for the share of a rank to count.
constexpr double MinOffers = 1;
/// Decayed number of requests below which a workspace or rank is forgotten.
constexpr double NegligibleOffers = 0.01;

}

FairShare::Usage FairShare::decayed(const Usage &usage, TimePoint now)
{
    const double factor = std::exp2(-toSeconds(now - usage.updatedAt) / toSeconds(HalfLife));
    return {usage.offered * factor, usage.started * factor, now};
}

void FairShare::add(Usage *usage, double offered, double started, TimePoint now)
{
    *usage = decayed(*usage, now);
    usage->offered += offered;
    usage->started += started;
}

void FairShare::recordOffer(const ShareClaim &claim, TimePoint now)
{
    if (!claim.workspace.empty()) {
        m_lastStated = now;
    }
    if (!isActive(now)) {
        return;
    }
    prune(now);
    add(&m_ranks[claim.rank], 1, 0, now);
    add(&m_allRanks, 1, 0, now);
    if (!claim.nested) {
        add(&m_workspaces[claim.workspace], 1, 0, now);
        add(&m_allWorkspaces, 1, 0, now);
    }
}

void FairShare::recordStart(const ShareClaim &claim, TimePoint now)
{
    if (!isActive(now)) {
        return;
    }
    add(&m_ranks[claim.rank], 0, 1, now);
    add(&m_allRanks, 0, 1, now);
    if (!claim.nested) {
        add(&m_workspaces[claim.workspace], 0, 1, now);
        add(&m_allWorkspaces, 0, 1, now);
    }
}

bool FairShare::isActive(TimePoint now) const
{
    return m_lastStated && now - *m_lastStated < ActivePeriod;
}

ShareTurn FairShare::turnOf(const ShareClaim &claim, const FurtherStarts &further, TimePoint now) const
{
    ShareTurn out;
    const double owedBelow = owedFactor(claim.rank);
    double rankShare = 0;
    const auto rank = m_ranks.find(claim.rank);
    if (rank != m_ranks.end() && m_allRanks.offered > 0) {
        const Usage usage = decayed(rank->second, now);
        rankShare = (usage.started + static_cast<double>(further.ofRank)) / usage.offered;
        out.owed = rankShare < owedBelow * m_allRanks.started / m_allRanks.offered;
    }
    const auto workspace = m_workspaces.find(claim.workspace);
    if (!claim.nested && workspace != m_workspaces.end() && m_allWorkspaces.offered > 0) {
        const Usage usage = decayed(workspace->second, now);
        const double expected = usage.offered * m_allWorkspaces.started / m_allWorkspaces.offered;
        const double started = usage.started + static_cast<double>(further.ofWorkspace);
        out.owed = out.owed || started < owedBelow * expected;
        out.underserved = started < UnderservedFactor * expected;
        out.served = out.underserved ? started / usage.offered : started;
    }
    out.owed = out.owed && rankShare < LowerRankFactor * smallestShareAbove(claim.rank, now);
    return out;
}

double FairShare::owedFactor(std::uint32_t rank) const
{
    const auto higherRanks = std::distance(m_ranks.begin(), m_ranks.lower_bound(rank));
    return OwedFactor + OwedFactorMargin / static_cast<double>(higherRanks + 1);
}

double FairShare::smallestShareAbove(std::uint32_t rank, TimePoint now) const
{
    double out = 1;
    for (auto it = m_ranks.begin(); it != m_ranks.lower_bound(rank); ++it) {
        const Usage usage = decayed(it->second, now);
        out = usage.offered < MinOffers ? out : std::min(out, usage.started / usage.offered);
    }
    return out;
}

void FairShare::prune(TimePoint now)
{
    if (now - m_prunedAt < HalfLife) {
        return;
    }
    m_prunedAt = now;
    const auto isNegligible = [now](const auto &it) { return decayed(it.second, now).offered < NegligibleOffers; };
    std::erase_if(m_workspaces, isNegligible);
    std::erase_if(m_ranks, isNegligible);
}

}
