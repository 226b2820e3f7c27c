#include "shallotrelay/retry/hedge.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Share of one answer in the average; about the last twenty answers count.
constexpr double UsualWeight = 0.05;
/// Share of requests that are to exceed the slow time.
constexpr double SlowShare = 0.1;
/// Step of the estimate of the slow time, relative to it.
constexpr double SlowStep = 0.1;
/// First estimate of the slow time, relative to the first answer.
constexpr double FirstSlow = 1.5;
/// Least delay, relative to the average.
constexpr double LeastDelay = 1.15;
/// Time that a second try needs, relative to the average.
constexpr double SecondTry = 1.15;
/// A VM on which work takes this many times the usual time has turned slow.
constexpr double SlowPace = 1.8;
/// Longest time by which a slow phase delays a request, in seconds.
constexpr double SlowPhase = 0.15;
/// Delay of a route that has had no answer yet.
constexpr Duration UnknownDelay = std::chrono::milliseconds(500);

}

void HedgeTimer::answered(Duration latency)
{
    const double seconds = toSeconds(latency);
    if (m_usual <= 0) {
        m_usual = seconds;
        m_slow = FirstSlow * seconds;
        return;
    }
    m_usual += UsualWeight * (seconds - m_usual);
    // The estimate settles where the steps up and down balance, which is the wanted quantile.
    m_slow += m_slow * SlowStep * (seconds > m_slow ? 1 - SlowShare : -SlowShare);
}

Duration HedgeTimer::delay(Duration objective) const
{
    if (m_usual <= 0) {
        return UnknownDelay;
    }
    double out = m_slow;
    if (objective > Duration::zero()) {
        out = std::min(out, toSeconds(objective) - SecondTry * m_usual);
    }
    return fromSeconds(std::max(out, LeastDelay * m_usual));
}

bool HedgeTimer::slowedDown(Duration elapsed, Duration objective, double pace) const
{
    if (pace < SlowPace || m_usual <= 0 || objective <= Duration::zero()) {
        return false;
    }
    const double remaining = std::max(0.0, m_usual - toSeconds(elapsed));
    const double there = std::min(remaining * pace, remaining + SlowPhase);
    const double aim = toSeconds(objective - elapsed);
    return there > aim && SecondTry * m_usual < aim;
}

Duration HedgeTimer::usual() const
{
    return fromSeconds(m_usual);
}

}
