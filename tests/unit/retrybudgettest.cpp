#include "shallotrelay/retry/retry.h"
#include "shallotrelay/routing/callplan.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <numeric>

namespace shallotrelay
{
namespace
{

/// Retries permitted to all nodes together: a share of the requests in a window, plus a constant slack.
constexpr double SharedRatio = 0.2;
constexpr double SharedSlack = 60;
/// Share of this allowance that the nodes use, as in the daemon.
constexpr double UsedShare = 0.75;
constexpr std::size_t WindowSteps = 100;

RetryBudget newBudget(std::size_t nodes)
{
    RetryBudget out(0);
    out.setPercent(static_cast<std::uint32_t>(100 * SharedRatio * UsedShare));
    out.setBurst(SharedSlack * UsedShare / static_cast<double>(nodes));
    return out;
}

/// Simulates nodes that make every permitted retry while the request rate changes and nodes restart.
struct Fleet {
    explicit Fleet(std::size_t nodes)
        : budgets(nodes, newBudget(nodes))
    {
    }

    std::vector<RetryBudget> budgets;
    std::deque<int> requests;
    std::deque<int> retries;

    void step(int requestsPerNode)
    {
        int requestCount = 0;
        int retryCount = 0;
        for (RetryBudget &it : budgets) {
            for (int i = 0; i < requestsPerNode; ++i) {
                it.recordFirstAttempt();
                ++requestCount;
                retryCount += it.takeRetry() ? 1 : 0;
            }
        }
        requests.push_back(requestCount);
        retries.push_back(retryCount);
    }

    /// Returns the number of retries in the last window above the permitted number, which is computed from the requests
    /// of this window or of the previous one, whichever has more.
    double excess() const
    {
        const auto sum = [](const std::deque<int> &list, std::size_t from, std::size_t to) {
            const std::size_t begin = list.size() > from ? list.size() - from : 0;
            const std::size_t end = list.size() > to ? list.size() - to : 0;
            return std::accumulate(list.begin() + static_cast<std::ptrdiff_t>(begin),
                                   list.begin() + static_cast<std::ptrdiff_t>(end), 0);
        };
        const int requestCount = std::max(sum(requests, WindowSteps, 0), sum(requests, 2 * WindowSteps, WindowSteps));
        return sum(retries, WindowSteps, 0) - SharedRatio * requestCount - SharedSlack;
    }
};

}

TEST_CASE("Shared retry budget holds when nodes spend their part and restart")
{
    // With little traffic, a node that regained a full budget at each restart could exceed the shared budget: all nodes
    // spend their saved retries and are killed several times in one window.
    constexpr std::size_t Nodes = 10;
    Fleet fleet(Nodes);
    for (std::size_t step = 0; step < 4 * WindowSteps; ++step) {
        fleet.step(step % 10 == 0 ? 1 : 0);
        CHECK(fleet.excess() <= 0);
        if (step > 2 * WindowSteps && step % 20 == 0) {
            fleet.budgets.assign(Nodes, newBudget(Nodes));
        }
    }
}

TEST_CASE("Shared retry budget holds at any request rate when nodes make all permitted retries")
{
    CHECK(rc::check("retries within the shared budget", [] {
        const auto nodes = *rc::gen::inRange<std::size_t>(4, 20);
        Fleet fleet(nodes);
        for (int phase = 0; phase < 6; ++phase) {
            const int rate = *rc::gen::inRange(0, 5);
            const int pause = *rc::gen::inRange(1, 20);
            for (int step = 0; step < 60; ++step) {
                fleet.step(step % pause == 0 ? rate : 0);
                RC_ASSERT(fleet.excess() <= 0);
            }
        }
    }));
}

TEST_CASE("Call plan never sends a request to more targets than its route allows")
{
    CHECK(rc::check("at most maxTargets", [] {
        ServiceRouter router(RouterOptions{});
        std::vector<RouterTarget> targets;
        for (int i = 0; i < 8; ++i) {
            RouterTarget target;
            target.name = "t" + std::to_string(i);
            target.state = TargetState::Ready;
            target.limit = 8;
            target.inService = true;
            targets.push_back(target);
        }
        router.setTargets(targets, at(0s));
        RetryBudget budget(100);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        CallRules rules;
        rules.repeatable = *rc::gen::arbitrary<bool>();
        rules.mayHedge = *rc::gen::arbitrary<bool>();
        rules.maxTargets = *rc::gen::inRange(1U, 4U);
        CallPlan plan(rules);
        std::set<std::string> reached;
        for (auto planned = plan.next(router, budget, random, at(0s)); planned;) {
            budget.recordFirstAttempt();
            const bool reachesTarget = *rc::gen::arbitrary<bool>();
            bool hedged = false;
            if (reachesTarget) {
                reached.insert(planned->choice.target);
                if (const auto hedge = plan.hedge(router, budget, random, at(1ms))) {
                    hedged = true;
                    reached.insert(hedge->choice.target);
                }
            }
            AttemptOutcome outcome;
            outcome.reachedTarget = reachesTarget;
            outcome.execution = reachesTarget && *rc::gen::arbitrary<bool>() ? Execution::Unknown : Execution::NotRun;
            outcome.timeLeft = 1s;
            if (hedged) {
                plan.recordOutcome(outcome);
            }
            if (!plan.shouldContinue(outcome, router, budget)) {
                break;
            }
            planned = plan.next(router, budget, random, at(2ms));
        }
        RC_ASSERT(reached.size() <= rules.maxTargets);
    }));
}

}
