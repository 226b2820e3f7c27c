#include "shallotrelay/admission/slowphasegate.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

constexpr double PercentScale = 100;
/// Maximum age at which a slowdown is used without a new probe: half of the shortest phase that is distinguished.
constexpr Duration MaxFreshAge = std::chrono::milliseconds(10);
/// Time for which a reported slowdown remains valid, in average phase lengths.
constexpr double ValidPhases = 1.0;
/// Maximum time for which starts are delayed, in average phase lengths; a target that is slow for longer has become
/// slow permanently.
constexpr double MaxDelayPhases = 2.0;
/// Burst size of the probe rate limit: unused probes accumulate for this many seconds.
constexpr double BurstSeconds = 1.0;

Duration scaled(Seconds length, double factor)
{
    return std::chrono::duration_cast<Duration>(length * factor);
}

}

void SlowPhaseGate::setSlowdownProbesPerSecond(double probesPerSecond)
{
    m_probesPerSecond = probesPerSecond;
}

void SlowPhaseGate::recordSlowdown(std::uint32_t percent, TimePoint now)
{
    const bool slow = percent >= SlowPhaseThresholdPercent;
    if (slow && !m_slowSince) {
        m_slowSince = now;
    } else if (!slow && m_slowSince) {
        m_phaseLength.recordPhase(*m_slowSince, m_recordedAt, now);
        m_slowSince.reset();
    }
    m_slowdownPercent = percent;
    m_recordedAt = now;
}

bool SlowPhaseGate::tryAcquireSlowdownProbe(TimePoint now)
{
    if (m_slowdownPercent == 0 || m_probesPerSecond <= 0 || now - m_recordedAt < MaxFreshAge) {
        return false;
    }
    m_tokens += toSeconds(now - m_tokensUpdatedAt) * m_probesPerSecond;
    m_tokens = std::min(m_tokens, std::max(1.0, m_probesPerSecond * BurstSeconds));
    m_tokensUpdatedAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool SlowPhaseGate::isCurrent(TimePoint now) const
{
    return m_slowdownPercent > 0 && now - m_recordedAt < scaled(m_phaseLength.average(), ValidPhases);
}

bool SlowPhaseGate::delaysStarts(TimePoint now) const
{
    return m_slowSince && isCurrent(now) && now - *m_slowSince < scaled(m_phaseLength.average(), MaxDelayPhases);
}

Duration SlowPhaseGate::expectedDelay(TimePoint now) const
{
    return delaysStarts(now) ? scaled(m_phaseLength.average(), 1) / 2 : Duration::zero();
}

double SlowPhaseGate::slowdownFactor(TimePoint now) const
{
    return isCurrent(now) ? std::max(1.0, m_slowdownPercent / PercentScale) : 1;
}

std::uint32_t SlowPhaseGate::slowdownPercent() const
{
    return m_slowdownPercent;
}

}
