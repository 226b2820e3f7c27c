#include "shallotrelay/routing/callplan.h"

#include <utility>

namespace shallotrelay
{
namespace
{

constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint16_t NotImplemented = 501;
/// A target that is busier than this gets no second tries; they would delay first ones.
constexpr double HedgeUtilisation = 0.8;

}

const char *toString(TryReason reason)
{
    switch (reason) {
    case TryReason::First:
        return "first";
    case TryReason::RefusedElsewhere:
        return "refused-elsewhere";
    case TryReason::Retry:
        return "retry";
    case TryReason::Trial:
        return "trial";
    case TryReason::Hedge:
        return "hedge";
    }
    return "invalid";
}

CallPlan::CallPlan(CallRules rules)
    : m_rules(rules)
{
}

void CallPlan::putOnTrial(std::uint64_t print)
{
    m_trial = print;
}

std::optional<PlannedTry> CallPlan::next(ServiceRouter &router, RetryBudget &budget, Random &random, TimePoint now)
{
    if (m_offers == 0) {
        budget.firstTry();
    }
    const auto choice = m_trial ? router.chooseForTrial(*m_trial, m_excluded, now)
                                : router.choose(m_excluded, now, random, m_rules.cost);
    if (!choice) {
        return std::nullopt;
    }
    ++m_offers;
    m_excluded.insert(choice->target);
    router.started(choice->target, now);
    PlannedTry out;
    out.choice = *choice;
    // Waiting pays only where there is nowhere else to go, or where all targets are thought to be full.
    const bool full = choice->estimatedInFlight >= choice->limit;
    out.mayQueue = m_rules.alwaysQueues || m_offers >= MaxTries || choice->candidates == 1 || full;
    out.lastOffer = m_offers >= MaxOffers || choice->candidates == 1;
    const bool retries = std::exchange(m_retryGranted, false);
    if (m_trial) {
        out.reason = TryReason::Trial;
        out.mayQueue = true;
    } else if (retries) {
        out.reason = TryReason::Retry;
        m_rules.belowRetry = true;
    } else if (m_offers > 1) {
        out.reason = TryReason::RefusedElsewhere;
    }
    return out;
}

std::optional<PlannedTry> CallPlan::hedge(ServiceRouter &router, RetryBudget &budget, Random &random, TimePoint now)
{
    if (!m_rules.hedges || m_trial || !m_rules.repeatable || m_rules.belowRetry
        || m_targets + 1 >= m_rules.maxTargets) {
        return std::nullopt;
    }
    const auto choice = router.choose(m_excluded, now, random, m_rules.cost);
    const bool busy = !choice || choice->estimatedInFlight + 1 > HedgeUtilisation * choice->limit;
    if (busy || !budget.takeHedge()) {
        return std::nullopt;
    }
    ++m_offers;
    ++m_targets;
    m_excluded.insert(choice->target);
    router.started(choice->target, now);
    PlannedTry out;
    out.choice = *choice;
    out.reason = TryReason::Hedge;
    return out;
}

void CallPlan::ended(const TryEnd &end)
{
    if (end.execution != Execution::NotRun) {
        m_earlier = Execution::Unknown;
    }
}

bool CallPlan::dropsAnswer(const TryEnd &end, const ServiceRouter &router, RetryBudget &budget)
{
    if (end.status < FirstServerError || end.status == NotImplemented || !router.hasTargetBeside(m_excluded)) {
        return false;
    }
    m_retryGranted = decide(end, budget) == RetryDecision::Retry;
    return m_retryGranted;
}

bool CallPlan::goesOn(const TryEnd &end, const ServiceRouter &router, RetryBudget &budget)
{
    if (m_retryGranted) {
        return true;
    }
    if (!router.hasTargetBeside(m_excluded)) {
        return false;
    }
    const RetryDecision decision = decide(end, budget);
    m_retryGranted = decision == RetryDecision::Retry;
    return decision != RetryDecision::GiveUp;
}

Execution CallPlan::overall(Execution last) const
{
    return last == Execution::NotRun ? m_earlier : last;
}

std::uint32_t CallPlan::tries() const
{
    return m_offers;
}

bool CallPlan::belowRetry() const
{
    return m_rules.belowRetry;
}

RetryDecision CallPlan::decide(const TryEnd &end, RetryBudget &budget)
{
    m_targets += end.reachedTarget || end.execution != Execution::NotRun ? 1 : 0;
    if (end.execution != Execution::NotRun) {
        m_earlier = Execution::Unknown;
    }
    if (end.everywhere || (m_trial && end.execution != Execution::NotRun)) {
        return RetryDecision::GiveUp;
    }
    TryFailure failure;
    failure.execution = end.execution;
    failure.bodyReplayable = !end.bodyTouched;
    failure.answerStarted = end.answerStarted;
    failure.reachedTarget = end.reachedTarget;
    failure.offers = m_offers;
    failure.targets = m_targets;
    failure.maxTargets = m_rules.maxTargets;
    failure.belowRetry = m_rules.belowRetry;
    failure.repeatable = m_rules.repeatable;
    failure.timeLeft = end.timeLeft;
    return decideRetry(failure, budget);
}

}
