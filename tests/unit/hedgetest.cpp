#include "support.h"

#include "shallotrelay/retry/hedge.h"
#include "shallotrelay/routing/callplan.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

ServiceRouter earliestFinishRouter(std::uint32_t limit)
{
    RouterOptions options;
    options.dataCentre = "brasov-a";
    options.strategy = RoutingStrategy::EarliestFinish;
    ServiceRouter router(options);
    std::vector<RouterTarget> targets;
    for (const char *name : {"t1", "t2", "t3"}) {
        targets.push_back({name, "brasov-a", limit, TargetState::Ready, true, "boot"});
    }
    router.setTargets(targets, at(0s));
    return router;
}

LoadReport loadOf(std::uint32_t inFlight, std::uint32_t slowdownPercent)
{
    LoadReport out;
    out.inFlight = inFlight;
    out.limit = 12;
    out.state = TargetState::Ready;
    out.latencyUs = 80000;
    out.pacePercent = slowdownPercent;
    return out;
}

}

TEST_CASE("Hedge timer chooses a delay above the average latency and early enough for the objective")
{
    HedgeTimer timer;
    for (int i = 0; i < 400; ++i) {
        timer.recordLatency(i % 20 == 0 ? 400ms : 80ms);
    }
    CHECK(timer.averageLatency() > 80ms);
    CHECK(timer.averageLatency() < 130ms);
    CHECK(timer.delay(0s) >= timer.averageLatency());
    CHECK(timer.delay(220ms) <= 140ms);
}

TEST_CASE(
    "Hedge timer hedges at once in a slow phase only if the request would miss its objective and a hedge can meet it")
{
    HedgeTimer timer;
    for (int i = 0; i < 100; ++i) {
        timer.recordLatency(80ms);
    }
    CHECK(timer.shouldHedgeNow(20ms, 200ms, 5.0));
    CHECK_FALSE(timer.shouldHedgeNow(20ms, 200ms, 1.0));
    CHECK_FALSE(timer.shouldHedgeNow(75ms, 200ms, 5.0));
    CHECK_FALSE(timer.shouldHedgeNow(150ms, 200ms, 5.0));
    CHECK_FALSE(timer.shouldHedgeNow(20ms, 0s, 5.0));
}

TEST_CASE("Router with EarliestFinish avoids a slow VM and a nearly full target")
{
    ServiceRouter router = earliestFinishRouter(12);
    Random random(1);
    router.recordLoadReport("t1", loadOf(0, 500), at(1s));
    router.recordLoadReport("t2", loadOf(11, 100), at(1s));
    router.recordLoadReport("t3", loadOf(3, 100), at(1s));
    for (int i = 0; i < 50; ++i) {
        CHECK(router.choose({}, at(1s), random, {80ms})->target == "t3");
    }
    CHECK(router.choose({"t3"}, at(1s), random, {80ms})->target == "t2");
    CHECK(router.slowdownSince("t1", at(900ms)) == 500);
    CHECK(router.slowdownSince("t1", at(1s)) == 0);
}

TEST_CASE("Router avoids a target whose guard has sent no load report for two seconds")
{
    ServiceRouter router = earliestFinishRouter(12);
    Random random(1);
    router.recordLoadReport("t1", loadOf(0, 100), at(1s));
    router.recordLoadReport("t2", loadOf(6, 100), at(3s));
    router.recordLoadReport("t3", loadOf(6, 100), at(3s));
    for (int i = 0; i < 20; ++i) {
        CHECK(router.choose({}, at(3s), random, {80ms})->target != "t1");
    }
}

TEST_CASE("Call plan hedges only repeatable requests with budget left and a target that is not busy")
{
    ServiceRouter router = earliestFinishRouter(12);
    Random random(1);
    RetryBudget budget(20);
    for (int i = 0; i < 100; ++i) {
        budget.recordFirstAttempt();
    }
    CallRules rules{.repeatable = true, .mayHedge = true};
    CallPlan plan(rules);
    REQUIRE(plan.next(router, budget, random, at(0s)));
    const auto second = plan.hedge(router, budget, random, at(0s));
    REQUIRE(second);
    CHECK(second->reason == AttemptReason::Hedge);

    rules.repeatable = false;
    CallPlan unrepeatable(rules);
    unrepeatable.next(router, budget, random, at(0s));
    CHECK_FALSE(unrepeatable.hedge(router, budget, random, at(0s)));

    rules.repeatable = true;
    RetryBudget empty(0);
    CallPlan withoutBudget(rules);
    withoutBudget.next(router, empty, random, at(0s));
    CHECK_FALSE(withoutBudget.hedge(router, empty, random, at(0s)));

    for (const char *it : {"t1", "t2", "t3"}) {
        router.recordLoadReport(it, loadOf(12, 100), at(1s));
    }
    CallPlan allBusy(rules);
    allBusy.next(router, budget, random, at(1s));
    CHECK_FALSE(allBusy.hedge(router, budget, random, at(1s)));
}

namespace
{

/// Records enough first attempts to fill the budget.
void fillBudget(RetryBudget *budget)
{
    for (int i = 0; i < 100; ++i) {
        budget->recordFirstAttempt();
    }
}

}

TEST_CASE("Retry budget in debt after a charge recovers through first attempts")
{
    RetryBudget budget(10);
    budget.setBurst(2);
    fillBudget(&budget);
    budget.charge(5);
    CHECK_FALSE(budget.takeRetry());
    int firstAttempts = 0;
    while (!budget.takeRetry()) {
        budget.recordFirstAttempt();
        ++firstAttempts;
    }
    CHECK(firstAttempts >= 40);
    CHECK(firstAttempts <= 41);
}

TEST_CASE("Retry decision charges the budget for a rejection by a target but not for a refusal by a guard")
{
    RetryBudget budget(10);
    budget.setBurst(1);
    fillBudget(&budget);
    AttemptFailure failure;
    failure.timeLeft = 1s;
    failure.execution = Execution::NotRun;
    CHECK(decideRetry(failure, budget) == RetryDecision::OfferToAnother);
    failure.reachedTarget = true;
    failure.targets = 1;
    CHECK(decideRetry(failure, budget) == RetryDecision::Retry);
    CHECK(decideRetry(failure, budget) == RetryDecision::Abandon);
    budget.charge(-10);
    failure.targets = failure.maxTargets;
    CHECK(decideRetry(failure, budget) == RetryDecision::Abandon);
}

}
