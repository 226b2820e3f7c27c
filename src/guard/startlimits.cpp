#include "shallotrelay/guard/startlimits.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Starts that a stated limit permits within this time count as free in load reports; the reports are used for about as
/// long.
constexpr Duration LoadReportHorizon = std::chrono::milliseconds(100);

}

void StartLimits::recordStart(TimePoint now)
{
    m_cold.recordStart(now);
    stated.recordStart(now);
    allowance.recordStart();
}

bool StartLimits::allowStart(double coldPerSecond, TimePoint now)
{
    return stated.allowsStart(now) && hasAllowance(0, now)
           && (coldPerSecond <= 0 || m_cold.allowsStart(coldPerSecond, now));
}

bool StartLimits::hasAllowance(std::uint32_t queued, TimePoint now) const
{
    return allowance.remaining(now) > queued;
}

std::uint32_t StartLimits::reportedLimit(std::uint32_t limit, std::uint32_t inFlight, TimePoint now) const
{
    const std::uint32_t allowed = allowance.remaining(now);
    const std::uint32_t permitted = std::min(stated.permittedStarts(LoadReportHorizon, now), allowed);
    if (allowed == 0) {
        // Without an allowance the target queues nothing either, so that other nodes must not offer it requests at all.
        return 0;
    }
    // Slots that may not be used soon are not free.
    return permitted < limit ? std::min(limit, inFlight + permitted) : limit;
}

}
