/// Retries: what may be tried again, and how often.
///
/// A refusal that proves that the request did not run may be tried at another target. A request that may have run is
/// tried again only if its method is safe (RFC 9110, section 9.2.1), only within the budget of its service, and only if
/// no earlier hop of the same call was itself a retry.
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

/// Most targets that one request is offered to.
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

    /// Notes a first try.
    void firstTry();

    /// Takes a retry out of the budget; returns whether there was one.
    bool takeRetry();

private:
    double m_percent;
    double m_saved;
};

/// What the system knows of a request when a try ended without a whole answer, or with a server error.
struct TryFailure {
    Execution execution = Execution::Unknown; ///< Whether the request ran.
    bool bodyReplayable = true; ///< Whether the request body can be sent again from its start.
    bool answerStarted = false; ///< Whether a part of an answer went to the caller.
    std::uint32_t tries = 1; ///< Tries so far.
    bool belowRetry = false; ///< Whether an earlier hop of the call was a retry.
    std::string method; ///< The HTTP method.
    Duration timeLeft{}; ///< Time until the deadline.
};

/// What to do after a failed try.
enum class RetryDecision {
    GiveUp, ///< Answer the caller now.
    TryAnother, ///< Offer it to another target; it did not run.
    Retry, ///< Run it once more at another target, out of the budget.
};

/// Decides what to do after a failed try; takes from the budget if the decision is Retry.
RetryDecision decideRetry(const TryFailure &failure, RetryBudget &budget);

}
