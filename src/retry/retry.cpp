#include "shallotrelay/retry/retry.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

constexpr double MaxSavedRetries = 20;
constexpr double InitialRetries = 3;

}

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent)
    , m_saved(percent > 0 ? InitialRetries : 0)
{
}

void RetryBudget::setPercent(std::uint32_t percent)
{
    const bool begins = m_percent == 0 && percent > 0;
    m_percent = percent;
    m_saved = begins ? InitialRetries : m_saved;
    m_saved = percent > 0 ? m_saved : 0;
}

void RetryBudget::firstTry()
{
    m_saved = std::min(MaxSavedRetries, m_saved + m_percent / 100.0);
}

bool RetryBudget::takeRetry()
{
    if (m_saved < 1) {
        return false;
    }
    m_saved -= 1;
    return true;
}

RetryDecision decideRetry(const TryFailure &failure, RetryBudget &budget)
{
    if (failure.answerStarted || failure.tries >= MaxTries || failure.timeLeft <= Duration::zero()) {
        return RetryDecision::GiveUp;
    }
    if (!failure.bodyReplayable) {
        return RetryDecision::GiveUp;
    }
    if (failure.execution == Execution::NotRun) {
        return RetryDecision::TryAnother;
    }
    if (!isSafeMethod(failure.method) || failure.belowRetry || !budget.takeRetry()) {
        return RetryDecision::GiveUp;
    }
    return RetryDecision::Retry;
}

}
