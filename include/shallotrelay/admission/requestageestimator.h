/// Estimates how long ago a caller sent its first attempt, from the time left until its deadline.
///
/// In a retry storm most requests are retries by callers whose first attempt was refused or lost. Such a retry differs
/// from a new request only in its time left, which is shorter by the time since the first attempt. If most callers of a
/// route use the same timeout, the age is that timeout minus the time left; otherwise the age is unknown.
#pragma once

#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// Estimates the age of the requests of one route.
class RequestAgeEstimator
{
public:
    /// Records a request and returns its age, zero if unknown.
    Duration estimateAge(Duration timeLeft);

private:
    Duration m_fullTimeout{};
    double m_fullTimeoutShare = 0; // share of requests with the full timeout, moving average
};

}
