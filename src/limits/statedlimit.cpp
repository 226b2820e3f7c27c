#include "shallotrelay/limits/statedlimit.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Burst of the token bucket, in seconds of the limit; smooths the delay between two load reports to other nodes.
constexpr double BurstSeconds = 0.5;
/// Minimum burst, so that a limit below one request per second permits a start at all.
constexpr double MinBurst = 1;
/// Minimum rate, in starts per second, if only responses to requests state the limit: without any request, its end
/// would not be noticed.
constexpr double MinObservableRate = 0.2;
/// Time without a statement of the limit after which a response without one ends it. Covers responses that overtake
/// each other on different connections.
constexpr Duration EndDelay = std::chrono::milliseconds(500);
/// Time for which the permitted rate rises after the end of the limit.
constexpr Duration RiseTime = std::chrono::seconds(1);
/// Time in which the permitted rate doubles while it rises.
constexpr double DoublingSeconds = 0.125;
/// Minimum rate from which it rises, in starts per second.
constexpr double MinRisingRate = 1;

double burstOf(double rate)
{
    return std::max(MinBurst, rate * BurstSeconds);
}

}

bool StatedLimit::endsLimit(StatementSource source, TimePoint now) const
{
    return m_sources.contains(source) && now - m_lastStatedAt >= EndDelay;
}

void StatedLimit::recordStatement(const TargetStatement &statement, StatementSource source, TimePoint now)
{
    if (statement.malformedLimit) {
        return;
    }
    updateTokens(now);
    if (statement.requestsPerSecond) {
        m_stated = *statement.requestsPerSecond;
        m_sources.insert(source);
        m_lastStatedAt = now;
        m_endedAt.reset();
        m_tokens = std::min(m_tokens, burstOf(*m_stated));
        return;
    }
    if (m_stated && endsLimit(source, now)) {
        m_lastRate = std::max(MinRisingRate, *m_stated);
        m_endedAt = now;
        m_stated.reset();
        m_sources.clear();
    }
}

void StatedLimit::reset()
{
    *this = StatedLimit();
}

std::optional<double> StatedLimit::startsPerSecond(TimePoint now) const
{
    if (m_stated) {
        const bool probesStateIt = m_sources.size() > 1 || !m_sources.contains(StatementSource::Response);
        return probesStateIt ? *m_stated : std::max(*m_stated, MinObservableRate);
    }
    if (m_endedAt && now - *m_endedAt < RiseTime) {
        return m_lastRate * std::exp2(toSeconds(now - *m_endedAt) / DoublingSeconds);
    }
    return std::nullopt;
}

double StatedLimit::tokensAt(double rate, TimePoint now) const
{
    const double elapsed = std::max(0.0, toSeconds(now - m_tokensUpdatedAt));
    return std::min(burstOf(rate), m_tokens + elapsed * rate);
}

void StatedLimit::updateTokens(TimePoint now)
{
    const std::optional<double> rate = startsPerSecond(now);
    m_tokens = rate ? tokensAt(*rate, now) : 0;
    m_tokensUpdatedAt = now;
}

void StatedLimit::recordStart(TimePoint now)
{
    if (startsPerSecond(now)) {
        updateTokens(now);
        m_tokens -= 1;
    }
}

bool StatedLimit::allowsStart(TimePoint now) const
{
    const std::optional<double> rate = startsPerSecond(now);
    return !rate || tokensAt(*rate, now) >= 1;
}

Duration StatedLimit::untilNextStart(TimePoint now) const
{
    const std::optional<double> rate = startsPerSecond(now);
    const double missing = rate ? 1 - tokensAt(*rate, now) : 0;
    if (missing <= 0) {
        return Duration::zero();
    }
    return missing >= *rate * toSeconds(MaxStartWait) ? MaxStartWait : fromSeconds(missing / *rate);
}

Duration StatedLimit::startInterval(TimePoint now) const
{
    const std::optional<double> rate = startsPerSecond(now);
    if (!rate) {
        return Duration::zero();
    }
    return 1 >= *rate * toSeconds(MaxStartWait) ? MaxStartWait : fromSeconds(1 / *rate);
}

std::uint32_t StatedLimit::permittedStarts(Duration within, TimePoint now) const
{
    const std::optional<double> rate = startsPerSecond(now);
    if (!rate) {
        return UINT32_MAX;
    }
    const double starts = std::max(0.0, tokensAt(*rate, now)) + *rate * toSeconds(within);
    return static_cast<std::uint32_t>(std::min<double>(starts, UINT32_MAX));
}

const std::optional<double> &StatedLimit::stated() const
{
    return m_stated;
}

}
