/// Retry policy: which failed requests may be retried, and how often.
///
/// A request that was refused before it ran may be offered to another target. If it had already been sent to the target
/// that rejected it, the new attempt is charged to the retry budget of the service, because handling it costs the
/// targets work. A request that may have run is retried only if it is repeatable, only within the budget, and only if
/// no earlier hop of the same call was itself a retry.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Request header field that marks a call as part of a retry; targets forward it with the calls that they make.
inline constexpr std::string_view RetryHeader = "Shallotrelay-Retry";

/// Maximum number of guards that one request is offered to.
inline constexpr std::uint32_t MaxOffers = 4;

/// Maximum number of targets that one request is sent to, unless its route sets another limit.
inline constexpr std::uint32_t MaxAttempts = 3;

/// Returns whether an HTTP method is safe, so that running the request twice has no side effects.
bool isSafeMethod(std::string_view method);

/// Limits the retries of one service to a percentage of its recent first attempts, as a token bucket.
class RetryBudget
{
public:
    /// Creates a budget of the given percentage of first attempts.
    explicit RetryBudget(std::uint32_t percent);

    /// Changes the percentage; retries saved so far stay available unless it becomes 0.
    void setPercent(std::uint32_t percent);

    /// Makes this one node's part of a budget that several nodes share, and sets the maximum number of saved retries;
    /// any excess is discarded. The node starts with no saved retries, since it may have spent them just before a
    /// restart.
    void setBurst(double retries);

    /// Records the first attempt of a request, which adds to the budget.
    void recordFirstAttempt();

    /// Charges repeated work that happens regardless of the budget, such as the calls made by a request that runs
    /// again; the budget may become negative, and later first attempts pay off the debt.
    void charge(double retries);

    /// Takes one hedge from the budget and returns whether it was available; part of the budget is reserved for retries
    /// of failed requests.
    bool takeHedge();

    /// Takes one retry from the budget and returns whether it was available.
    bool takeRetry();

private:
    double m_percent;
    double m_burst;
    double m_saved;
    bool m_shared = false;
};

/// State of a request after an attempt that ended without a complete response, or with a server error.
struct AttemptFailure {
    Execution execution = Execution::Unknown; ///< Whether the request ran.
    bool reachedTarget = false; ///< Whether the request was sent to the target.
    bool bodyReplayable = true; ///< Whether the request body can be sent again from its start.
    bool responseStarted = false; ///< Whether part of a response was sent to the caller.
    std::uint32_t offers = 1; ///< Number of guards that it was offered to so far.
    std::uint32_t targets = 0; ///< Number of targets that it was sent to so far.
    std::uint32_t maxTargets = MaxAttempts; ///< Maximum number of targets that it may be sent to.
    bool partOfRetry = false; ///< Whether an earlier hop of the call was a retry.
    bool repeatable = false; ///< Whether the request may run more than once.
    Duration timeLeft{}; ///< Time until the deadline.
};

/// What to do after a failed attempt.
enum class RetryDecision {
    Abandon, ///< Make no further attempt; the caller gets the failure.
    OfferToAnother, ///< Offer the request to another target; it did not run, so the budget is not charged.
    Retry, ///< Send the request to another target; the budget has been charged.
};

/// Decides what to do after a failed attempt; takes one retry from the budget if the decision is Retry.
RetryDecision decideRetry(const AttemptFailure &failure, RetryBudget &budget);

}
