#include "shallotrelay/limits/slowdown.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Maximum share of slots in use at which a target counts as lightly loaded.
constexpr double LightUtilisation = 0.35;
/// Weight of one response in the baseline of its route; about the last thirty responses count.
constexpr double BaselineWeight = 0.03;
/// Weight of one response in the fit; about the last three hundred responses count.
constexpr double FitWeight = 0.003;
/// Initial estimate of the slowdown at full utilisation, and its weight against the measured responses.
constexpr double InitialSlowdown = 0.5;
constexpr double InitialWeight = 0.02;
/// Maximum slowdown taken from one response, because a single stuck request says little about contention.
constexpr double MaxSlowdown = 4;
/// Maximum number of routes with a baseline.
constexpr std::size_t MaxRoutes = 1024;

double contention(double utilisation)
{
    const double excess = std::clamp((utilisation - LightUtilisation) / (1 - LightUtilisation), 0.0, 1.0);
    return excess * excess;
}

}

void SlowdownModel::recordResponse(const std::string &route, double utilisation, Duration latency)
{
    const double seconds = toSeconds(latency);
    const auto known = m_baselines.find(route);
    if (utilisation <= LightUtilisation) {
        if (known != m_baselines.end()) {
            known->second += BaselineWeight * (seconds - known->second);
        } else if (m_baselines.size() < MaxRoutes) {
            m_baselines[route] = seconds;
        }
        return;
    }
    if (known == m_baselines.end() || known->second <= 0) {
        return;
    }
    const double x = contention(utilisation);
    const double y = std::min(MaxSlowdown, seconds / known->second - 1);
    m_covariance += FitWeight * (x * y - m_covariance);
    m_variance += FitWeight * (x * x - m_variance);
}

Duration SlowdownModel::baseline(const std::string &route) const
{
    const auto it = m_baselines.find(route);
    return fromSeconds(it == m_baselines.end() ? 0 : it->second);
}

double SlowdownModel::factorAtFull() const
{
    const double slowdown = (m_covariance + InitialWeight * InitialSlowdown) / (m_variance + InitialWeight);
    return 1 + std::clamp(slowdown, 0.0, MaxSlowdown);
}

double SlowdownModel::factorAt(double utilisation) const
{
    return 1 + (factorAtFull() - 1) * contention(utilisation);
}

}
