#include "shallotrelay/retry/retry.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Maximum number of saved retries unless setBurst() sets another.
constexpr double DefaultBurst = 20;
/// Share of the burst that hedges leave for retries of failed requests.
constexpr double HedgeReserve = 0.25;
/// Maximum debt after charges, as a multiple of the burst; debt beyond it is discarded.
constexpr double MaxDebtBursts = 20;
/// Retries that a service may make before its first attempts have added to the budget.
constexpr double InitialRetries = 3;

}

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent)
    , m_burst(DefaultBurst)
    , m_saved(percent > 0 ? InitialRetries : 0)
{
}

void RetryBudget::setBurst(double retries)
{
    m_burst = retries;
    m_saved = m_shared ? std::min(m_saved, m_burst) : 0;
    m_shared = true;
}

void RetryBudget::setPercent(std::uint32_t percent)
{
    const bool enabled = m_percent == 0 && percent > 0;
    m_percent = percent;
    m_saved = enabled && !m_shared ? InitialRetries : m_saved;
    m_saved = percent > 0 ? m_saved : 0;
}

void RetryBudget::recordFirstAttempt()
{
    m_saved = std::min(m_burst, m_saved + m_percent / 100.0);
}

void RetryBudget::charge(double retries)
{
    m_saved = std::max(-MaxDebtBursts * m_burst, m_saved - retries);
}

bool RetryBudget::takeHedge()
{
    return m_saved >= 1 + HedgeReserve * m_burst && takeRetry();
}

bool RetryBudget::takeRetry()
{
    if (m_saved < 1) {
        return false;
    }
    m_saved -= 1;
    return true;
}

RetryDecision decideRetry(const AttemptFailure &failure, RetryBudget &budget)
{
    if (failure.responseStarted || failure.offers >= MaxOffers || failure.timeLeft <= Duration::zero()) {
        return RetryDecision::Abandon;
    }
    if (!failure.bodyReplayable || failure.targets >= failure.maxTargets) {
        return RetryDecision::Abandon;
    }
    if (failure.execution == Execution::NotRun && !failure.reachedTarget) {
        return RetryDecision::OfferToAnother;
    }
    const bool mayRunAgain = failure.execution == Execution::NotRun || failure.repeatable;
    if (!mayRunAgain || failure.partOfRetry || !budget.takeRetry()) {
        return RetryDecision::Abandon;
    }
    return RetryDecision::Retry;
}

}
