#include "shallotrelay/membership/connectpatience.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Time for the first attempt: two round trips between data centres of one region and a busy VM.
constexpr Duration FirstTimeout = std::chrono::milliseconds(150);
/// Time for later attempts at most: the operating system has sent the request a second time by then.
constexpr Duration LongestTimeout = std::chrono::milliseconds(1200);
/// Attempts of one length before they grow.
constexpr int AttemptsEach = 3;

}

Duration ConnectPatience::next()
{
    Duration out = FirstTimeout;
    for (int i = AttemptsEach; i <= m_failed && out < LongestTimeout; i += AttemptsEach) {
        out *= 2;
    }
    ++m_failed;
    return std::min(out, LongestTimeout);
}

void ConnectPatience::succeeded()
{
    m_failed = 0;
}

}
