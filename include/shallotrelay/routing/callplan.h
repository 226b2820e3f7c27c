/// The plan of one call: which target is tried next, and when to give up.
///
/// The plan does no I/O. Whoever carries a call out asks next() for a target, tries it, and tells the plan how the try
/// ended; the daemons and the scenarios in virtual time share it. The router and the budget belong to the service; hold
/// their lock around each call.
///
///     CallPlan plan({.repeatable = true});
///     while (auto planned = plan.next(router, budget, random, now)) {
///         TryEnd end = run(*planned);
///         if (end.whole || !plan.goesOn(end, router, budget)) break;
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

/// Why a target is tried.
enum class TryReason {
    First, ///< The first try of the call.
    RefusedElsewhere, ///< Another target refused it; it did not run.
    Retry, ///< It may have run, and is run once more out of the budget.
    Trial, ///< It is under suspicion of crashing targets and is tried where nothing else suspect runs.
    Hedge, ///< It has no answer yet and is run at a second target as well, out of the budget.
};

/// Returns the name of a reason for logs.
const char *toString(TryReason reason);

/// A try before it is made.
struct PlannedTry {
    RouterChoice choice; ///< The target.
    TryReason reason = TryReason::First; ///< Why it is tried.
    bool mayQueue = false; ///< Whether the guard may let it wait.
    bool lastOffer = false; ///< Whether no other guard will be asked if this one refuses.
};

/// How a try ended.
struct TryEnd {
    bool whole = false; ///< Whether the whole answer came.
    Execution execution = Execution::NotRun; ///< Whether the request ran.
    bool reachedTarget = false; ///< Whether the request was sent to the target.
    bool everywhere = false; ///< Whether other targets would refuse it for the same reason.
    std::uint16_t status = 0; ///< Status of the answer, if there was one.
    bool answerStarted = false; ///< Whether a part of an answer went to the caller.
    bool bodyTouched = false; ///< Whether a part of the request body was used up.
    Duration timeLeft{}; ///< Time until the deadline.
};

/// What may be done with a call.
struct CallRules {
    bool repeatable = false; ///< Whether it may run more than once.
    bool belowRetry = false; ///< Whether an earlier hop of the call was a retry.
    std::uint32_t maxTargets = MaxTries; ///< Targets that it may be sent to.
    RequestCost cost{}; ///< What it is expected to take.
    bool alwaysQueues = false; ///< Whether each guard may let it wait if it can still be in time.
    bool hedges = false; ///< Whether it may be sent to a second target before the first one has failed.
};

/// Plans the tries of one call.
class CallPlan
{
public:
    explicit CallPlan(CallRules rules);

    /// Puts a request on trial that is under suspicion of crashing targets: from now on it is sent where all nodes send
    /// it, and runs once at most.
    void putOnTrial(std::uint64_t print);

    /// Chooses the next target and tells the router that the try starts; none if there is no target left.
    std::optional<PlannedTry> next(ServiceRouter &router, RetryBudget &budget, Random &random, TimePoint now);

    /// Chooses a second target for a request that has no answer yet; none if that is not worth its work.
    std::optional<PlannedTry> hedge(ServiceRouter &router, RetryBudget &budget, Random &random, TimePoint now);

    /// Notes that a try ended while another one goes on.
    void ended(const TryEnd &end);

    /// Returns whether an answer with a server error is to be dropped for a new try; takes it out of the budget.
    bool dropsAnswer(const TryEnd &end, const ServiceRouter &router, RetryBudget &budget);

    /// Returns whether a failed try is followed by another one; takes a retry out of the budget.
    bool goesOn(const TryEnd &end, const ServiceRouter &router, RetryBudget &budget);

    /// Returns what is known of the whole call when its last try ended with this: one that may have run in an earlier
    /// try is never said not to have run.
    Execution overall(Execution last) const;

    /// Returns how many tries were planned.
    std::uint32_t tries() const;

    /// Returns whether calls below the next try must not be retried.
    bool belowRetry() const;

private:
    RetryDecision decide(const TryEnd &end, RetryBudget &budget);

    CallRules m_rules;
    std::optional<std::uint64_t> m_trial; // print of a request on trial
    bool m_retryGranted = false;
    Execution m_earlier = Execution::NotRun;
    std::uint32_t m_offers = 0;
    std::uint32_t m_targets = 0;
    std::set<std::string> m_excluded;
};

}
