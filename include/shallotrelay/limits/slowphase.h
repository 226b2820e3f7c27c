/// How long work takes on a VM that has turned slow for a short time.
///
/// The load pattern: neighbours on the same machine slow a VM several times for a fraction of a second. Short work is
/// slow from start to end; work that outlasts the phase loses no more than the phase.
#pragma once

#include <algorithm>
#include <chrono>

namespace shallotrelay
{

/// A time in seconds, as averages are kept.
using Seconds = std::chrono::duration<double>;

/// Returns the time that work takes which usually takes the given time, on a VM with the given pace (the time that work
/// takes there now, relative to the usual time), if the slow phase goes on for the given time.
inline Seconds timeInSlowPhase(Seconds usual, double pace, Seconds phase)
{
    return std::min(usual * pace, usual + phase * std::max(0.0, 1 - 1 / pace));
}

}
