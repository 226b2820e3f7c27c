#include "shallotrelay/admission/attemptage.h"

namespace shallotrelay
{
namespace
{

/// Requests whose time left differs by less than this have the same.
constexpr Duration SameTime = std::chrono::milliseconds(2);
/// Share of requests that must have the full time for it to tell the age of the others.
constexpr double LeastShare = 0.3;
/// Share of one request in that share; about the last fifty count.
constexpr double ShareWeight = 0.02;

}

Duration AttemptAge::ageOf(Duration timeLeft)
{
    if (timeLeft > m_full + SameTime) {
        // One request with more time than all before does not yet make them repeats.
        m_full = timeLeft;
        m_share = 0;
    }
    const bool full = timeLeft + SameTime >= m_full;
    m_share += ShareWeight * ((full ? 1.0 : 0.0) - m_share);
    return full || m_share < LeastShare ? Duration::zero() : m_full - timeLeft;
}

}
