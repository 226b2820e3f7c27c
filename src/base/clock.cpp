#include "shallotrelay/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace shallotrelay
{

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

double toMilliseconds(Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::uint32_t toWholeMilliseconds(Duration span)
{
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(span).count();
    const std::int64_t maxMilliseconds = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, maxMilliseconds));
}

}
