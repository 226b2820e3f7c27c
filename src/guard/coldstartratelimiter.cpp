#include "shallotrelay/guard/coldstartratelimiter.h"

namespace shallotrelay
{
namespace
{

/// Slightly longer than one second, because network delay varies the arrival times at the target.
constexpr Duration Window = std::chrono::milliseconds(1050);

}

void ColdStartRateLimiter::discardExpired(TimePoint now)
{
    while (!m_starts.empty() && m_starts.front() <= now - Window) {
        m_starts.pop_front();
    }
}

void ColdStartRateLimiter::recordStart(TimePoint now)
{
    discardExpired(now);
    m_starts.push_back(now);
}

bool ColdStartRateLimiter::allowsStart(double perSecond, TimePoint now)
{
    discardExpired(now);
    return static_cast<double>(m_starts.size()) + 1 <= perSecond;
}

void ColdStartRateLimiter::assumeStarts(std::uint32_t starts, TimePoint now)
{
    discardExpired(now);
    m_starts.insert(m_starts.end(), starts, now);
}

}
