#include "shallotrelay/locality/departurepolicy.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Utilisation at which requests begin to wait at some targets while others still have room.
constexpr double FullUtilisation = 0.85;
/// Time in which the share of requests that leave grows to a lasting excess.
constexpr double RiseSeconds = 0.3;
/// Time in which it falls; longer, since a data centre that has just been full fills up again soon.
constexpr double FallSeconds = 2.0;
/// Smallest part of the time at home that leaving must save while there is room at home. Less is within the error of
/// the estimates.
constexpr double MinSavedPart = 0.25;

}

DeparturePolicy::DeparturePolicy(DepartureOptions options)
    : m_options(options)
{
}

void DeparturePolicy::recordUtilisation(const LocalityUtilisation &utilisation, TimePoint now)
{
    const double excess = utilisation.home > FullUtilisation ? 1 - FullUtilisation / utilisation.home : 0;
    const double elapsed = m_updatedAt ? std::max(0.0, toSeconds(now - *m_updatedAt)) : 0;
    const double seconds = excess > m_excessShare ? RiseSeconds : FallSeconds;
    m_excessShare += (excess - m_excessShare) * std::min(1.0, elapsed / seconds);
    m_utilisation = utilisation;
    m_updatedAt = now;
}

bool DeparturePolicy::pays(const DepartureOption &home, const DepartureOption &away, Duration objective,
                           double draw) const
{
    const Duration saved = home.finish + home.roundTrip - away.finish - away.roundTrip;
    const bool hasRoomAway = m_utilisation.away < FullUtilisation || m_utilisation.away < m_utilisation.home / 2;
    if (saved <= Duration::zero() || !hasRoomAway) {
        return false;
    }
    const bool missesAtHome = objective > Duration::zero() && home.finish + home.roundTrip > objective;
    if (missesAtHome && away.finish + away.roundTrip <= objective) {
        return true;
    }
    if (toSeconds(saved) <= away.bytes * m_options.secondsPerByte) {
        return false;
    }
    return draw < m_excessShare || toSeconds(saved) >= MinSavedPart * toSeconds(home.finish);
}

double DeparturePolicy::excessShare() const
{
    return m_excessShare;
}

}
