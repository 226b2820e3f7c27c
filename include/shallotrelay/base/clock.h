/// Time for the whole project: a clock that is passed in.
///
/// Decision logic never reads a clock; it takes a TimePoint with each event. Daemons own a SystemClock and pass its
/// time on; tests own a clock that they move by hand.
#pragma once

#include <chrono>
#include <cstdint>

namespace shallotrelay
{

/// A point in monotonic time.
using TimePoint = std::chrono::steady_clock::time_point;

/// A span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Tells the time. Pass a reference to it to whatever needs to know the time.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Returns the present point in monotonic time.
    virtual TimePoint now() const = 0;
};

/// Tells the time of the machine's steady clock.
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
};

/// Returns the span in milliseconds with its fraction, for logs and reports.
double toMilliseconds(Duration span);

/// Returns the span in seconds with its fraction.
double toSeconds(Duration span);

/// Returns the span of a number of seconds with its fraction.
Duration fromSeconds(double seconds);

/// Returns the span in whole milliseconds, rounded up and bounded to what 32 bits hold.
std::uint32_t toWholeMilliseconds(Duration span);

}
