#include "shallotrelay/limits/slowdown.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Share of the slots up to which a target counts as lightly used.
constexpr double LightUse = 0.35;
/// Share of one answer in the usual time of its route; about the last thirty count.
constexpr double UsualWeight = 0.03;
/// Share of one answer in the fit; about the last three hundred count.
constexpr double FitWeight = 0.003;
/// Slowdown at full use that is assumed before the first answers, and how much it weighs against them.
constexpr double FirstSlowdown = 0.5;
constexpr double FirstWeight = 0.02;
/// Greatest slowdown that one answer counts as; a single stuck request says little about crowding.
constexpr double MostSlowdown = 4;
/// Routes whose usual time is remembered.
constexpr std::size_t MaxRoutes = 1024;

double crowding(double use)
{
    const double above = std::clamp((use - LightUse) / (1 - LightUse), 0.0, 1.0);
    return above * above;
}

}

void SlowdownModel::answered(const std::string &route, double use, Duration latency)
{
    const double seconds = toSeconds(latency);
    const auto known = m_usual.find(route);
    if (use <= LightUse) {
        if (known != m_usual.end()) {
            known->second += UsualWeight * (seconds - known->second);
        } else if (m_usual.size() < MaxRoutes) {
            m_usual[route] = seconds;
        }
        return;
    }
    if (known == m_usual.end() || known->second <= 0) {
        return;
    }
    const double x = crowding(use);
    const double y = std::min(MostSlowdown, seconds / known->second - 1);
    m_covariance += FitWeight * (x * y - m_covariance);
    m_variance += FitWeight * (x * x - m_variance);
}

Duration SlowdownModel::usual(const std::string &route) const
{
    const auto it = m_usual.find(route);
    return fromSeconds(it == m_usual.end() ? 0 : it->second);
}

double SlowdownModel::full() const
{
    const double slowdown = (m_covariance + FirstWeight * FirstSlowdown) / (m_variance + FirstWeight);
    return 1 + std::clamp(slowdown, 0.0, MostSlowdown);
}

double SlowdownModel::factor(double use) const
{
    return 1 + (full() - 1) * crowding(use);
}

}
