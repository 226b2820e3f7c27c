#include "shallotrelay/rollout/rollouttotals.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace shallotrelay
{
namespace
{

/// Failures are tolerated up to this many times those of the old version, and a share beyond that.
constexpr double ToleratedFactor = 3;
constexpr double ToleratedShare = 0.025;
constexpr double DecidingErrors = 2.5;
constexpr double MinFailures = 3;
/// A response is slow if it took more than this number of buckets longer than the median of the old version, and a
/// version is slow if this share of its responses is.
constexpr std::size_t SlowBuckets = 2;
constexpr double SlowShare = 0.75;
constexpr double MinRanked = 10;

/// Failures beside those that trouble of both versions would explain.
struct Failures {
    double seen = 0;
    double tolerated = 0;

    bool areTooMany() const
    {
        return seen >= MinFailures && seen > tolerated + DecidingErrors * std::sqrt(tolerated + 0.5);
    }
};

struct Latencies {
    double slow = 0;
    double ranked = 0;

    bool areTooHigh() const
    {
        return ranked >= MinRanked && slow > SlowShare * ranked;
    }
};

std::uint64_t sum(const RolloutCounts &counts)
{
    return std::accumulate(counts.latencies.begin(), counts.latencies.end(), std::uint64_t(0));
}

/// Returns the bucket of the median latency.
std::size_t medianOf(const RolloutCounts &counts)
{
    const std::uint64_t half = sum(counts) / 2;
    std::uint64_t below = 0;
    std::size_t out = 0;
    while (out + 1 < counts.latencies.size() && below + counts.latencies[out] <= half) {
        below += counts.latencies[out];
        ++out;
    }
    return out;
}

Failures compareFailures(const RolloutCounts &fresh, const RolloutCounts &old)
{
    const double share = static_cast<double>(old.failures + 1) / static_cast<double>(old.responses + 2);
    return {static_cast<double>(fresh.failures),
            std::min(1.0, ToleratedFactor * share + ToleratedShare) * static_cast<double>(fresh.responses)};
}

Latencies compareLatencies(const RolloutCounts &fresh, const RolloutCounts &old)
{
    Latencies out;
    if (static_cast<double>(sum(old)) < MinRanked) {
        return out;
    }
    out.ranked = static_cast<double>(sum(fresh));
    for (std::size_t i = medianOf(old) + SlowBuckets + 1; i < fresh.latencies.size(); ++i) {
        out.slow += static_cast<double>(fresh.latencies[i]);
    }
    return out;
}

}

void RolloutTotals::add(const std::string &target, RolloutSide side, const std::string &route,
                        const RolloutCounts &counts)
{
    if (counts.responses > 0) {
        Routes &routes = side == RolloutSide::New ? m_new[target] : m_old;
        routes[route] += counts;
    }
}

std::uint64_t RolloutTotals::newResponses() const
{
    std::uint64_t out = 0;
    for (const auto &[target, routes] : m_new) {
        for (const auto &[route, counts] : routes) {
            out += counts.responses;
        }
    }
    return out;
}

bool RolloutTotals::seemWorse() const
{
    return !m_new.empty() && std::all_of(m_new.begin(), m_new.end(), [this](const auto &leftOut) {
        Routes fresh;
        for (const auto &[target, routes] : m_new) {
            for (const auto &[route, counts] : routes) {
                if (m_new.size() == 1 || target != leftOut.first) {
                    fresh[route] += counts;
                }
            }
        }
        return seemWorse(fresh);
    });
}

bool RolloutTotals::seemWorse(const Routes &fresh) const
{
    Failures failures;
    Latencies latencies;
    for (const auto &[name, counts] : fresh) {
        const auto it = m_old.find(name);
        const RolloutCounts old = it == m_old.end() ? RolloutCounts() : it->second;
        const Failures failed = compareFailures(counts, old);
        const Latencies late = compareLatencies(counts, old);
        if (failed.areTooMany() || late.areTooHigh()) {
            return true;
        }
        failures.seen += failed.seen;
        failures.tolerated += failed.tolerated;
        latencies.slow += late.slow;
        latencies.ranked += late.ranked;
    }
    return failures.areTooMany() || latencies.areTooHigh();
}

}
