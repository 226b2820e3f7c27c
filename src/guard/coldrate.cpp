#include "shallotrelay/guard/coldrate.h"

namespace shallotrelay
{
namespace
{

/// A little over a second, since the time of arrival at the target varies by the time on the way.
constexpr Duration Window = std::chrono::milliseconds(1050);

}

void ColdRate::forgetOld(TimePoint now)
{
    while (!m_starts.empty() && m_starts.front() <= now - Window) {
        m_starts.pop_front();
    }
}

void ColdRate::started(TimePoint now)
{
    forgetOld(now);
    m_starts.push_back(now);
}

bool ColdRate::allows(double perSecond, TimePoint now)
{
    forgetOld(now);
    return static_cast<double>(m_starts.size()) + 1 <= perSecond;
}

void ColdRate::assume(std::uint32_t starts, TimePoint now)
{
    forgetOld(now);
    m_starts.insert(m_starts.end(), starts, now);
}

}
