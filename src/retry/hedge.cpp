#include "shallotrelay/retry/hedge.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Weight of one response in the moving average, which covers about the last 20 responses.
constexpr double LatencyWeight = 0.05;
/// Share of requests that exceed the estimated quantile.
constexpr double TailShare = 0.1;
/// Step of the quantile estimate, relative to the estimate.
constexpr double QuantileStep = 0.1;
/// Initial quantile estimate, relative to the first latency.
constexpr double InitialQuantileFactor = 1.5;
/// Minimum hedge delay, relative to the average latency.
constexpr double MinDelayFactor = 1.15;
/// Expected latency of the hedge, relative to the average latency.
constexpr double HedgeLatencyFactor = 1.15;
/// A VM on which work takes at least this many times the usual time is in a slow phase.
constexpr double SlowPhaseThreshold = 1.8;
/// Maximum delay that a slow phase adds to a request, in seconds.
constexpr double MaxSlowPhaseDelay = 0.15;
/// Hedge delay of a route that has had no response yet.
constexpr Duration DefaultDelay = std::chrono::milliseconds(500);

}

void HedgeTimer::recordLatency(Duration latency)
{
    const double seconds = toSeconds(latency);
    if (m_average <= 0) {
        m_average = seconds;
        m_highQuantile = InitialQuantileFactor * seconds;
        return;
    }
    m_average += LatencyWeight * (seconds - m_average);
    // The estimate converges to the quantile at which the upward and downward steps balance.
    m_highQuantile += m_highQuantile * QuantileStep * (seconds > m_highQuantile ? 1 - TailShare : -TailShare);
}

Duration HedgeTimer::delay(Duration objective) const
{
    if (m_average <= 0) {
        return DefaultDelay;
    }
    double out = m_highQuantile;
    if (objective > Duration::zero()) {
        out = std::min(out, toSeconds(objective) - HedgeLatencyFactor * m_average);
    }
    return fromSeconds(std::max(out, MinDelayFactor * m_average));
}

bool HedgeTimer::shouldHedgeNow(Duration elapsed, Duration objective, double slowdown) const
{
    if (slowdown < SlowPhaseThreshold || m_average <= 0 || objective <= Duration::zero()) {
        return false;
    }
    const double remaining = std::max(0.0, m_average - toSeconds(elapsed));
    const double slowFinish = std::min(remaining * slowdown, remaining + MaxSlowPhaseDelay);
    const double timeLeft = toSeconds(objective - elapsed);
    return slowFinish > timeLeft && HedgeLatencyFactor * m_average < timeLeft;
}

Duration HedgeTimer::averageLatency() const
{
    return fromSeconds(m_average);
}

}
