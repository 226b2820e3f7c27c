#include "net/guardrefusal.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Minimum retry delay after a refused trial, by which the outcome of the current trial can be known.
constexpr Duration MinTrialRetryAfter = std::chrono::milliseconds(50);

}

ExchangeResult refusalResult(const GuardOfferResult &offerResult)
{
    ExchangeResult result;
    result.status = offerResult.refusal == GuardRefusal::Expired ? 504 : 503;
    result.reason = toString(offerResult.refusal);
    result.retryAfter = offerResult.retryAfter;
    return result;
}

ExchangeResult trialRefusal(TrialDecision decision, const LoadReport &load)
{
    ExchangeResult result;
    result.status = 503;
    result.reason = toString(decision);
    result.everywhere = decision != TrialDecision::Elsewhere;
    result.retryAfter = decision == TrialDecision::Refused
                            ? ContainedRetryAfter
                            : std::max<Duration>(MinTrialRetryAfter, std::chrono::microseconds(load.latencyUs));
    result.hasLoadReport = true;
    result.load = load;
    return result;
}

}
