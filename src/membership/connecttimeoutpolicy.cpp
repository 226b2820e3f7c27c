#include "shallotrelay/membership/connecttimeoutpolicy.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Covers two round trips between data centres of one region and the delay of a busy VM.
constexpr Duration InitialTimeout = std::chrono::milliseconds(150);
/// Upper limit: the operating system has retransmitted the connection request by then, which it does after one second.
constexpr Duration MaxTimeout = std::chrono::milliseconds(1200);
/// Attempts with the same timeout before it doubles.
constexpr int AttemptsPerTimeout = 3;

}

Duration ConnectTimeoutPolicy::nextTimeout()
{
    Duration out = InitialTimeout;
    for (int i = AttemptsPerTimeout; i <= m_attempts && out < MaxTimeout; i += AttemptsPerTimeout) {
        out *= 2;
    }
    ++m_attempts;
    return std::min(out, MaxTimeout);
}

void ConnectTimeoutPolicy::reset()
{
    m_attempts = 0;
}

}
