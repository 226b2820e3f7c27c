#include "shallotrelay/admission/requestageestimator.h"

namespace shallotrelay
{
namespace
{

/// Times left that differ by at most this count as equal.
constexpr Duration TimeoutTolerance = std::chrono::milliseconds(2);
/// Minimum share of requests with the full timeout for the age of the others to be known.
constexpr double MinFullTimeoutShare = 0.3;
/// Weight of one request in that share; about the last fifty requests count.
constexpr double ShareWeight = 0.02;

}

Duration RequestAgeEstimator::estimateAge(Duration timeLeft)
{
    if (timeLeft > m_fullTimeout + TimeoutTolerance) {
        // A single request with a longer timeout does not yet make requests with the previous timeout retries.
        m_fullTimeout = timeLeft;
        m_fullTimeoutShare = 0;
    }
    const bool hasFullTimeout = timeLeft + TimeoutTolerance >= m_fullTimeout;
    m_fullTimeoutShare += ShareWeight * ((hasFullTimeout ? 1.0 : 0.0) - m_fullTimeoutShare);
    return hasFullTimeout || m_fullTimeoutShare < MinFullTimeoutShare ? Duration::zero() : m_fullTimeout - timeLeft;
}

}
