/// Retries: what may be tried again, and how often.
///
/// A refusal that proves that the request did not run may be tried at another target; if the request was sent to the
/// target that rejected it, the new try comes out of the budget of its service, since it is work for the targets, too.
/// A request that may have run is tried again only if it is repeatable, only within the budget, and only if no earlier
/// hop of the same call was itself a retry.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Request header field that marks a call below a retry; targets pass it on with the calls they make.
inline constexpr std::string_view RetryHeader = "Shallotrelay-Retry";

/// Most guards that one request is offered to.
inline constexpr std::uint32_t MaxOffers = 4;

/// Most targets that one request is sent to, unless its route says otherwise.
inline constexpr std::uint32_t MaxTries = 3;

/// Returns whether a method is safe, so that running it twice changes nothing.
bool isSafeMethod(std::string_view method);

/// Bounds the retries of one service to a share of its recent first tries.
class RetryBudget
{
public:
    /// Sets the share in percent.
    explicit RetryBudget(std::uint32_t percent);

    /// Changes the share; what was saved up stays, up to the bound.
    void setPercent(std::uint32_t percent);

    /// Makes this the budget of one of several nodes that share it: it can save up this many retries, and what is saved
    /// beyond it is lost. A node starts without savings, since it may have spent them just before it started again.
    void setBurst(double retries);

    /// Notes a first try.
    void firstTry();

    /// Takes repeats out of the budget that happen anyway, such as the calls of a request that runs once more; what is
    /// missing is made up by later first tries.
    void charge(double retries);

    /// Takes a second try of a request that has not failed yet; leaves a part of the budget to those that have.
    bool takeHedge();

    /// Takes a retry out of the budget; returns whether there was one.
    bool takeRetry();

private:
    double m_percent;
    double m_burst;
    double m_saved;
    bool m_shared = false;
};

/// What the system knows of a request when a try ended without a whole answer, or with a server error.
struct TryFailure {
    Execution execution = Execution::Unknown; ///< Whether the request ran.
    bool reachedTarget = false; ///< Whether the request was sent to the target.
    bool bodyReplayable = true; ///< Whether the request body can be sent again from its start.
    bool answerStarted = false; ///< Whether a part of an answer went to the caller.
    std::uint32_t offers = 1; ///< Guards that it was offered to so far.
    std::uint32_t targets = 0; ///< Targets that it was sent to so far.
    std::uint32_t maxTargets = MaxTries; ///< Targets that it may be sent to.
    bool belowRetry = false; ///< Whether an earlier hop of the call was a retry.
    bool repeatable = false; ///< Whether it may run more than once.
    Duration timeLeft{}; ///< Time until the deadline.
};

/// What to do after a failed try.
enum class RetryDecision {
    GiveUp, ///< Answer the caller now.
    TryAnother, ///< Offer it to another target; it did not run.
    Retry, ///< Send it to another target, out of the budget.
};

/// Decides what to do after a failed try; takes from the budget if the decision is Retry.
RetryDecision decideRetry(const TryFailure &failure, RetryBudget &budget);

}
