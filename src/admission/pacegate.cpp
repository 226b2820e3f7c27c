#include "shallotrelay/admission/pacegate.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

constexpr double PercentScale = 100;
/// Age up to which a pace is taken for the present one: half of the shortest phase that is told apart.
constexpr Duration FreshAge = std::chrono::milliseconds(10);
/// Average phases for which a pace is believed at all.
constexpr double BelievedPhases = 1.0;
/// Average phases for which starts are held; what stays slow for longer is a target that has turned slow.
constexpr double HeldPhases = 2.0;
/// Questions that may be saved up, in seconds.
constexpr double SavedSeconds = 1.0;

Duration times(Seconds length, double factor)
{
    return std::chrono::duration_cast<Duration>(length * factor);
}

}

void PaceGate::setLooksPerSecond(double looks)
{
    m_looksPerSecond = looks;
}

void PaceGate::observed(std::uint32_t percent, TimePoint now)
{
    const bool slow = percent >= SlowPacePercent;
    if (slow && !m_slowSince) {
        m_slowSince = now;
    } else if (!slow && m_slowSince) {
        m_length.ended(*m_slowSince, m_observedAt, now);
        m_slowSince.reset();
    }
    m_percent = percent;
    m_observedAt = now;
}

bool PaceGate::takeLook(TimePoint now)
{
    if (m_percent == 0 || m_looksPerSecond <= 0 || now - m_observedAt < FreshAge) {
        return false;
    }
    m_tokens += toSeconds(now - m_tokensAt) * m_looksPerSecond;
    m_tokens = std::min(m_tokens, std::max(1.0, m_looksPerSecond * SavedSeconds));
    m_tokensAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool PaceGate::believed(TimePoint now) const
{
    return m_percent > 0 && now - m_observedAt < times(m_length.average(), BelievedPhases);
}

bool PaceGate::holds(TimePoint now) const
{
    return m_slowSince && believed(now) && now - *m_slowSince < times(m_length.average(), HeldPhases);
}

Duration PaceGate::rest(TimePoint now) const
{
    return holds(now) ? times(m_length.average(), 1) / 2 : Duration::zero();
}

double PaceGate::factor(TimePoint now) const
{
    return believed(now) ? std::max(1.0, m_percent / PercentScale) : 1;
}

std::uint32_t PaceGate::percent() const
{
    return m_percent;
}

}
