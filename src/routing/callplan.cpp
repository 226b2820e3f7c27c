#include "shallotrelay/routing/callplan.h"

#include <utility>

namespace shallotrelay
{
namespace
{

constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint16_t NotImplemented = 501;
/// Utilisation above which a target gets no hedges, since they would delay first attempts.
constexpr double MaxHedgeUtilisation = 0.8;

}

const char *toString(AttemptReason reason)
{
    switch (reason) {
    case AttemptReason::First:
        return "first";
    case AttemptReason::RefusedElsewhere:
        return "refused-elsewhere";
    case AttemptReason::Retry:
        return "retry";
    case AttemptReason::Trial:
        return "trial";
    case AttemptReason::Hedge:
        return "hedge";
    }
    return "invalid";
}

CallPlan::CallPlan(CallRules rules)
    : m_rules(rules)
{
}

void CallPlan::requireTrial(std::uint64_t fingerprint)
{
    m_trialFingerprint = fingerprint;
}

std::optional<PlannedAttempt> CallPlan::next(ServiceRouter &router, RetryBudget &budget, Random &random, TimePoint now)
{
    if (m_offers == 0) {
        budget.recordFirstAttempt();
    }
    const auto choice = m_trialFingerprint ? router.chooseForTrial(*m_trialFingerprint, m_excluded, now)
                                           : router.choose(m_excluded, now, random, m_rules.cost);
    if (!choice) {
        return std::nullopt;
    }
    ++m_offers;
    m_excluded.insert(choice->target);
    router.recordAttemptStart(choice->target, now);
    PlannedAttempt out;
    out.choice = *choice;
    // Queueing pays off only if no other target is left or all targets are estimated to be full.
    const bool full = choice->estimatedInFlight >= choice->limit;
    out.mayQueue = m_rules.alwaysQueues || m_offers >= MaxAttempts || choice->candidates == 1 || full;
    out.lastOffer = m_offers >= MaxOffers || choice->candidates == 1;
    const bool isRetry = std::exchange(m_retryGranted, false);
    if (m_trialFingerprint) {
        out.reason = AttemptReason::Trial;
        out.mayQueue = true;
    } else if (isRetry) {
        out.reason = AttemptReason::Retry;
        m_rules.partOfRetry = true;
    } else if (m_offers > 1) {
        out.reason = AttemptReason::RefusedElsewhere;
    }
    return out;
}

std::optional<PlannedAttempt> CallPlan::hedge(ServiceRouter &router, RetryBudget &budget, Random &random, TimePoint now)
{
    if (!m_rules.mayHedge || m_trialFingerprint || !m_rules.repeatable || m_rules.partOfRetry
        || m_targets + 1 >= m_rules.maxTargets) {
        return std::nullopt;
    }
    const auto choice = router.choose(m_excluded, now, random, m_rules.cost);
    const bool busy = !choice || choice->estimatedInFlight + 1 > MaxHedgeUtilisation * choice->limit;
    if (busy || !budget.takeHedge()) {
        return std::nullopt;
    }
    ++m_offers;
    ++m_targets;
    m_excluded.insert(choice->target);
    router.recordAttemptStart(choice->target, now);
    PlannedAttempt out;
    out.choice = *choice;
    out.reason = AttemptReason::Hedge;
    return out;
}

void CallPlan::recordOutcome(const AttemptOutcome &outcome)
{
    if (outcome.execution != Execution::NotRun) {
        m_earlierExecution = Execution::Unknown;
    }
}

bool CallPlan::shouldDiscardResponse(const AttemptOutcome &outcome, const ServiceRouter &router, RetryBudget &budget)
{
    if (outcome.status < FirstServerError || outcome.status == NotImplemented || !router.hasOtherTarget(m_excluded)) {
        return false;
    }
    m_retryGranted = decide(outcome, budget) == RetryDecision::Retry;
    return m_retryGranted;
}

bool CallPlan::shouldContinue(const AttemptOutcome &outcome, const ServiceRouter &router, RetryBudget &budget)
{
    if (m_retryGranted) {
        return true;
    }
    if (!router.hasOtherTarget(m_excluded)) {
        return false;
    }
    const RetryDecision decision = decide(outcome, budget);
    m_retryGranted = decision == RetryDecision::Retry;
    return decision != RetryDecision::Abandon;
}

Execution CallPlan::overallExecution(Execution last) const
{
    return last == Execution::NotRun ? m_earlierExecution : last;
}

std::uint32_t CallPlan::attemptCount() const
{
    return m_offers;
}

bool CallPlan::partOfRetry() const
{
    return m_rules.partOfRetry;
}

RetryDecision CallPlan::decide(const AttemptOutcome &outcome, RetryBudget &budget)
{
    m_targets += outcome.reachedTarget || outcome.execution != Execution::NotRun ? 1 : 0;
    if (outcome.execution != Execution::NotRun) {
        m_earlierExecution = Execution::Unknown;
    }
    if (outcome.refusedEverywhere || (m_trialFingerprint && outcome.execution != Execution::NotRun)) {
        return RetryDecision::Abandon;
    }
    AttemptFailure failure;
    failure.execution = outcome.execution;
    failure.bodyReplayable = !outcome.bodyConsumed;
    failure.responseStarted = outcome.responseStarted;
    failure.reachedTarget = outcome.reachedTarget;
    failure.offers = m_offers;
    failure.targets = m_targets;
    failure.maxTargets = m_rules.maxTargets;
    failure.partOfRetry = m_rules.partOfRetry;
    failure.repeatable = m_rules.repeatable;
    failure.timeLeft = outcome.timeLeft;
    return decideRetry(failure, budget);
}

}
