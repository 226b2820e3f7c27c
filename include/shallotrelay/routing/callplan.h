/// The plan of one call: chooses the target of each attempt and decides whether to make another one.
///
/// The plan does no I/O, so the daemons and the simulated scenarios share it. The user gets a target from next(), makes
/// the attempt, and reports its outcome to the plan. The router and the budget belong to the service and are not
/// thread-safe; hold their lock around each call.
///
///     CallPlan plan({.repeatable = true});
///     while (auto planned = plan.next(router, budget, random, now)) {
///         AttemptOutcome outcome = run(*planned);
///         if (outcome.complete || !plan.shouldContinue(outcome, router, budget)) break;
///     }
#pragma once

#include "shallotrelay/retry/retry.h"
#include "shallotrelay/routing/router.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace shallotrelay
{

/// Why an attempt is made.
enum class AttemptReason {
    First, ///< First attempt of the call.
    RefusedElsewhere, ///< Another guard or target refused the request; it did not run.
    Retry, ///< Retry charged to the budget: the request may have run, or reached the target that rejected it.
    Trial, ///< The request is suspected of crashing targets and runs where no other suspect request runs.
    Hedge, ///< The request has no response yet and is sent to a second target as well, charged to the budget.
};

/// Returns the name of a reason as used in logs.
const char *toString(AttemptReason reason);

/// An attempt that is to be made.
struct PlannedAttempt {
    RouterChoice choice; ///< The chosen target.
    AttemptReason reason = AttemptReason::First; ///< Why the attempt is made.
    bool mayQueue = false; ///< Whether the guard may queue the request.
    bool lastOffer = false; ///< Whether a refusal by this guard is final, since no other guard will be asked.
};

/// Outcome of an attempt.
struct AttemptOutcome {
    bool complete = false; ///< Whether the response was complete.
    Execution execution = Execution::NotRun; ///< Whether the request ran.
    bool reachedTarget = false; ///< Whether the request was sent to the target.
    bool refusedEverywhere = false; ///< Whether other targets would refuse it for the same reason.
    std::uint16_t status = 0; ///< HTTP status of the response, 0 if there was none.
    bool responseStarted = false; ///< Whether part of a response was sent to the caller.
    bool bodyConsumed = false; ///< Whether part of the request body was consumed and cannot be sent again.
    Duration timeLeft{}; ///< Time until the deadline.
};

/// Rules that limit the attempts of a call.
struct CallRules {
    bool repeatable = false; ///< Whether it may run more than once.
    bool partOfRetry = false; ///< Whether an earlier hop of the call was a retry.
    std::uint32_t maxTargets = MaxAttempts; ///< Maximum number of targets that it may be sent to.
    RequestCost cost{}; ///< Expected cost of the request.
    bool alwaysQueues = false; ///< Whether every guard may queue it if it can still meet its deadline.
    bool mayHedge = false; ///< Whether the call may be hedged.
};

/// Plans the attempts of one call.
class CallPlan
{
public:
    explicit CallPlan(CallRules rules);

    /// Marks the request as suspected of crashing targets: all further attempts are trials at the target that every
    /// node chooses for this fingerprint, and the request runs at most once more.
    void requireTrial(std::uint64_t fingerprint);

    /// Plans the next attempt and reports its start to the router; returns none if no target is left.
    std::optional<PlannedAttempt> next(ServiceRouter &router, RetryBudget &budget, Random &random, TimePoint now);

    /// Plans a hedge of a request that has no response yet; returns none if the rules, the budget or the load of the
    /// targets do not allow it.
    std::optional<PlannedAttempt> hedge(ServiceRouter &router, RetryBudget &budget, Random &random, TimePoint now);

    /// Records the outcome of an attempt while another attempt is still in flight.
    void recordOutcome(const AttemptOutcome &outcome);

    /// Returns whether a response with a server error should be discarded in favour of a retry, which is then taken
    /// from the budget.
    bool shouldDiscardResponse(const AttemptOutcome &outcome, const ServiceRouter &router, RetryBudget &budget);

    /// Returns whether another attempt follows a failed one; takes a retry from the budget if one is needed.
    bool shouldContinue(const AttemptOutcome &outcome, const ServiceRouter &router, RetryBudget &budget);

    /// Returns whether the call as a whole ran, given the result of its last attempt; a call that may have run in an
    /// earlier attempt is never reported as NotRun.
    Execution overallExecution(Execution last) const;

    /// Returns the number of attempts planned so far.
    std::uint32_t attemptCount() const;

    /// Returns whether the planned attempt is part of a retry, so that calls it makes must not be retried.
    bool partOfRetry() const;

private:
    RetryDecision decide(const AttemptOutcome &outcome, RetryBudget &budget);

    CallRules m_rules;
    std::optional<std::uint64_t> m_trialFingerprint; // set for a request on trial
    bool m_retryGranted = false;
    Execution m_earlierExecution = Execution::NotRun;
    std::uint32_t m_offers = 0;
    std::uint32_t m_targets = 0;
    std::set<std::string> m_excluded;
};

}
