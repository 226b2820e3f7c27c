/// Clock interface and time types; use them wherever a component needs the current time.
///
/// Decision logic never reads a clock: each event carries a TimePoint. Daemons read a SystemClock and pass its time on;
/// tests advance a simulated clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace shallotrelay
{

/// A point in monotonic time.
using TimePoint = std::chrono::steady_clock::time_point;

/// A duration in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Interface of a monotonic clock, passed by reference to the components that read the time.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Returns the current monotonic time.
    virtual TimePoint now() const = 0;
};

/// A Clock that reads the machine's steady clock.
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
};

/// Returns the duration in fractional milliseconds, for logs and reports.
double toMilliseconds(Duration span);

/// Returns the duration in fractional seconds.
double toSeconds(Duration span);

/// Converts fractional seconds to a duration.
Duration fromSeconds(double seconds);

/// Returns the duration in milliseconds, rounded up to an integer and clamped to the range of 32 unsigned bits.
std::uint32_t toWholeMilliseconds(Duration span);

}
