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

/// What all nodes together may repeat: a share of the requests of a window, and a slack.
constexpr double SharedRatio = 0.2;
constexpr double SharedSlack = 60;
/// Part of it that nodes take, as the daemon does.
constexpr double TakenShare = 0.75;
constexpr std::size_t WindowSteps = 100;

RetryBudget newBudget(std::size_t nodes)
{
    RetryBudget out(0);
    out.setPercent(static_cast<std::uint32_t>(100 * SharedRatio * TakenShare));
    out.setBurst(SharedSlack * TakenShare / static_cast<double>(nodes));
    return out;
}

/// Nodes that repeat whatever they may while requests come at a changing rate and nodes start again.
struct Fleet {
    explicit Fleet(std::size_t nodes)
        : budgets(nodes, newBudget(nodes))
    {
    }

    std::vector<RetryBudget> budgets;
    std::deque<int> requests;
    std::deque<int> repeats;

    void step(int requestsEach)
    {
        int asked = 0;
        int repeated = 0;
        for (RetryBudget &it : budgets) {
            for (int i = 0; i < requestsEach; ++i) {
                it.firstTry();
                ++asked;
                repeated += it.takeRetry() ? 1 : 0;
            }
        }
        requests.push_back(asked);
        repeats.push_back(repeated);
    }

    /// Returns the repeats beyond what is allowed in the last window. The requests are those of the window or of the
    /// one before it, whichever has more.
    double excess() const
    {
        const auto sum = [](const std::deque<int> &list, std::size_t from, std::size_t to) {
            const std::size_t begin = list.size() > from ? list.size() - from : 0;
            const std::size_t end = list.size() > to ? list.size() - to : 0;
            return std::accumulate(list.begin() + static_cast<std::ptrdiff_t>(begin),
                                   list.begin() + static_cast<std::ptrdiff_t>(end), 0);
        };
        const int asked = std::max(sum(requests, WindowSteps, 0), sum(requests, 2 * WindowSteps, WindowSteps));
        return sum(repeats, WindowSteps, 0) - SharedRatio * asked - SharedSlack;
    }
};

}

TEST_CASE("Nodes that start again do not repeat more than all nodes together may")
{
    // A service with little traffic, whose nodes all spend what they saved up and are killed, several times in a
    // window.
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

TEST_CASE("Nodes that repeat all they may stay within the shared budget at any traffic")
{
    rc::check("within the budget", [] {
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
    });
}

TEST_CASE("One attempt is never sent to more targets than its route allows, however its tries end")
{
    rc::check("at most maxTargets", [] {
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
        rules.hedges = *rc::gen::arbitrary<bool>();
        rules.maxTargets = *rc::gen::inRange(1U, 4U);
        CallPlan plan(rules);
        std::set<std::string> reached;
        for (auto planned = plan.next(router, budget, random, at(0s)); planned;) {
            budget.firstTry();
            const bool reaches = *rc::gen::arbitrary<bool>();
            bool raced = false;
            if (reaches) {
                reached.insert(planned->choice.target);
                if (const auto hedge = plan.hedge(router, budget, random, at(1ms))) {
                    raced = true;
                    reached.insert(hedge->choice.target);
                }
            }
            TryEnd end;
            end.reachedTarget = reaches;
            end.execution = reaches && *rc::gen::arbitrary<bool>() ? Execution::Unknown : Execution::NotRun;
            end.timeLeft = 1s;
            if (raced) {
                plan.ended(end);
            }
            if (!plan.goesOn(end, router, budget)) {
                break;
            }
            planned = plan.next(router, budget, random, at(2ms));
        }
        RC_ASSERT(reached.size() <= rules.maxTargets);
    });
}

}
