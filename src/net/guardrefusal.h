/// Converts the refusals of a guard to results of exchanges that did not run.
#pragma once

#include "net/exchange.h"
#include "shallotrelay/containment/trialslot.h"
#include "shallotrelay/guard/guard.h"

namespace shallotrelay
{

/// Returns the result for a request that the guard did not admit.
ExchangeResult refusalResult(const GuardOfferResult &offerResult);

/// Returns the result for a suspect request that was refused a trial and did not run.
ExchangeResult trialRefusal(TrialDecision decision, const LoadReport &load);

}
