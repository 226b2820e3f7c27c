#include "shallotrelay/containment/crashledger.h"
#include "shallotrelay/containment/trialslot.h"
#include "shallotrelay/guard/guard.h"
#include "shallotrelay/routing/callplan.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace shallotrelay
{
namespace
{

/// Returns the fingerprint of request `n` as sent by one of several services.
RequestPrint fingerprintOf(std::uint64_t n, std::uint64_t service = 0)
{
    constexpr std::uint64_t Offset = 1000000;
    return {n + Offset, n, n + (service + 2) * Offset};
}

/// The crash ledger of one node with the ids for its crash notices.
struct Node {
    CrashLedger ledger;
    std::uint64_t nextCrash = 1;

    CrashNotice crash(const std::vector<std::uint64_t> &fingerprints, TimePoint now,
                      const std::vector<std::uint64_t> &onTrial = {})
    {
        std::vector<RequestPrint> runs;
        runs.reserve(fingerprints.size());
        for (const std::uint64_t it : fingerprints) {
            runs.push_back(fingerprintOf(it));
        }
        const CrashNotice notice = ledger.weigh(nextCrash++, runs, onTrial);
        ledger.recordCrash(notice, now);
        return notice;
    }

    SuspicionLevel suspicionLevel(std::uint64_t n, TimePoint now) const
    {
        return ledger.suspicionLevel(fingerprintOf(n), now);
    }
};

}

TEST_CASE("A request that crashes its targets is contained after at most four crashes")
{
    Node node;
    node.crash({7, 1, 2}, at(0s));
    CHECK(node.suspicionLevel(7, at(0s)) == SuspicionLevel::Clear);
    node.crash({7, 3, 4}, at(1s));
    CHECK(node.suspicionLevel(7, at(1s)) == SuspicionLevel::Suspect);
    node.crash({7, 5, 6}, at(2s), {7});
    CHECK(node.suspicionLevel(7, at(2s)) == SuspicionLevel::Isolated);
    node.crash({7}, at(3s), {7});
    CHECK(node.suspicionLevel(7, at(3s)) == SuspicionLevel::Contained);
    for (std::uint64_t n = 1; n < 7; ++n) {
        CHECK(node.suspicionLevel(n, at(3s)) == SuspicionLevel::Clear);
    }
}

TEST_CASE("A frequent read that is running at every crash and then completes is never suspected")
{
    Node node;
    for (int i = 0; i < 20; ++i) {
        node.crash({42, static_cast<std::uint64_t>(100 + i)}, at(i * 1s));
        node.ledger.recordCleanRun(fingerprintOf(42), at(i * 1s + 10ms));
        CHECK(node.suspicionLevel(42, at(i * 1s + 20ms)) == SuspicionLevel::Clear);
    }
}

TEST_CASE("A request with a recent clean run is excluded from a crash so that the other one is its only possible cause")
{
    Node node;
    node.ledger.recordCleanRun(fingerprintOf(42), at(0s));
    const CrashNotice notice = node.crash({42, 7}, at(1s));
    REQUIRE(notice.runs.size() == 1);
    CHECK(notice.runs[0].print.whole == 7);
    CHECK(notice.runs[0].weight == CrashWeight::Alone);
}

TEST_CASE(
    "A request that is contained for one service runs alone once for another service before it is contained there")
{
    Node node;
    for (int i = 0; i < 3; ++i) {
        node.crash({7}, at(i * 1s));
    }
    REQUIRE(node.suspicionLevel(7, at(3s)) == SuspicionLevel::Contained);
    CHECK(node.ledger.suspicionLevel(fingerprintOf(7, 1), at(3s)) == SuspicionLevel::Isolated);
    node.ledger.recordCrash(node.ledger.weigh(100, {fingerprintOf(7, 1)}, {7}), at(4s));
    CHECK(node.ledger.suspicionLevel(fingerprintOf(7, 1), at(4s)) == SuspicionLevel::Contained);
}

TEST_CASE("A request that crashes targets for one service and runs clean for another is contained for the first only")
{
    Node node;
    for (int i = 0; i < 6; ++i) {
        const TimePoint now = at(i * 1s);
        node.ledger.recordCrash(node.ledger.weigh(100 + static_cast<std::uint64_t>(i), {fingerprintOf(7, 1)}, {}), now);
        node.ledger.recordCleanRun(fingerprintOf(7, 0), now + 10ms);
    }
    CHECK(node.ledger.suspicionLevel(fingerprintOf(7, 1), at(6s)) == SuspicionLevel::Contained);
    CHECK(node.ledger.suspicionLevel(fingerprintOf(7, 0), at(6s)) == SuspicionLevel::Clear);
}

TEST_CASE("A clean run clears a request at once even if it was already isolated")
{
    Node node;
    node.crash({7, 1}, at(0s));
    node.crash({7, 2}, at(1s));
    node.crash({7, 3}, at(2s), {7});
    REQUIRE(node.suspicionLevel(7, at(2s)) == SuspicionLevel::Isolated);
    const auto notice = node.ledger.recordCleanRun(fingerprintOf(7), at(3s));
    REQUIRE(notice);
    CHECK(notice->crashes.size() == 3);
    CHECK(node.suspicionLevel(7, at(3s)) == SuspicionLevel::Clear);
}

TEST_CASE("A contained request becomes isolated again after a time that doubles with each crash")
{
    Node node;
    for (int i = 0; i < 3; ++i) {
        node.crash({7}, at(i * 1s));
    }
    CHECK(node.suspicionLevel(7, at(2s)) == SuspicionLevel::Contained);
    // After three crashes as the only possible cause, the containment time has doubled twice, to 40 minutes.
    CHECK(node.suspicionLevel(7, at(39min)) == SuspicionLevel::Contained);
    CHECK(node.suspicionLevel(7, at(41min)) == SuspicionLevel::Isolated);
    node.crash({7}, at(41min));
    CHECK(node.suspicionLevel(7, at(41min + 79min)) == SuspicionLevel::Contained);
    CHECK(node.suspicionLevel(7, at(41min + 81min)) == SuspicionLevel::Isolated);
}

TEST_CASE("Crash ledgers that nodes merge in any order and repeatedly become equal")
{
    CHECK(rc::check("agree", [] {
        std::vector<Node> nodes(3);
        std::vector<CrashNotice> crashes;
        std::vector<CleanRunNotice> cleanRuns;
        const auto steps = *rc::gen::inRange(1, 25);
        for (int i = 0; i < steps; ++i) {
            Node &node = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
            const auto n = *rc::gen::inRange<std::uint64_t>(1, 5);
            node.nextCrash = static_cast<std::uint64_t>(i) + 1;
            if (*rc::gen::arbitrary<bool>()) {
                crashes.push_back(node.crash({n, n + 1}, at(i * 1ms)));
            } else if (const auto notice = node.ledger.recordCleanRun(fingerprintOf(n), at(i * 1ms))) {
                cleanRuns.push_back(*notice);
            }
            // Some of the notices are lost in transit.
            Node &other = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
            if (!crashes.empty() && *rc::gen::arbitrary<bool>()) {
                other.ledger.recordCrash(crashes.back(), at(i * 1ms));
            }
            if (!cleanRuns.empty() && *rc::gen::arbitrary<bool>()) {
                other.ledger.applyCleanRun(cleanRuns.back(), at(i * 1ms));
            }
        }
        const TimePoint now = at(1s);
        for (int round = 0; round < 2; ++round) {
            for (Node &to : nodes) {
                for (const Node &from : nodes) {
                    to.ledger.merge(from.ledger.state(now), now);
                }
            }
        }
        for (const Node &it : nodes) {
            RC_ASSERT(it.ledger.digest() == nodes[0].ledger.digest());
            for (std::uint64_t n = 1; n < 7; ++n) {
                RC_ASSERT(it.suspicionLevel(n, now) == nodes[0].suspicionLevel(n, now));
            }
        }
        RC_ASSERT(!nodes[0].ledger.merge(nodes[1].ledger.state(now), now));
    }));
}

TEST_CASE("A restarted node knows the contained requests after it merges the ledger of one other node")
{
    Node informed;
    for (int i = 0; i < 3; ++i) {
        informed.crash({7}, at(i * 1s));
    }
    Node restarted;
    CHECK(restarted.ledger.digest() != informed.ledger.digest());
    CHECK(restarted.ledger.merge(informed.ledger.state(at(5s)), at(5s)));
    CHECK(restarted.suspicionLevel(7, at(5s)) == SuspicionLevel::Contained);
    CHECK(restarted.ledger.digest() == informed.ledger.digest());
}

TEST_CASE("A contained request is not evicted when a caller crashes targets with ever new requests")
{
    Node node;
    for (int i = 0; i < 3; ++i) {
        node.crash({7}, at(i * 1s));
    }
    for (std::uint64_t n = 1000; n < 6000; ++n) {
        node.crash({n, n + 10000}, at(10s + std::chrono::milliseconds(n)));
    }
    CHECK(node.suspicionLevel(7, at(20s)) == SuspicionLevel::Contained);
    CHECK(node.ledger.size() <= 1024);
}

TEST_CASE("The evidence of a single crash expires after ten minutes")
{
    Node node;
    node.crash({7, 8}, at(0s));
    node.ledger.expire(at(9min));
    CHECK(node.ledger.size() == 4);
    node.ledger.expire(at(11min));
    CHECK(node.ledger.size() == 0);
    CHECK(node.ledger.digest() == 0);
}

TEST_CASE("A crash ledger requires the body only for requests with the head of a suspect")
{
    Node node;
    node.crash({7, 1}, at(0s));
    CHECK_FALSE(node.ledger.mayBeSuspect(fingerprintOf(7).head));
    node.crash({7, 2}, at(1s));
    CHECK(node.ledger.mayBeSuspect(fingerprintOf(7).head));
    CHECK_FALSE(node.ledger.mayBeSuspect(fingerprintOf(1).head));
}

TEST_CASE("A trial slot lets one suspect run at a time")
{
    TrialSlot slot;
    CHECK(slot.acquire(1, SuspicionLevel::Clear) == TrialDecision::Run);
    CHECK(slot.acquire(7, SuspicionLevel::Suspect) == TrialDecision::Run);
    CHECK(slot.acquire(7, SuspicionLevel::Suspect) == TrialDecision::AlreadyOnTrial);
    CHECK(slot.acquire(8, SuspicionLevel::Isolated) == TrialDecision::Elsewhere);
    CHECK(slot.acquire(1, SuspicionLevel::Clear) == TrialDecision::Run);
    slot.release(8);
    CHECK(slot.onTrial() == 7);
    slot.release(7);
    CHECK(slot.acquire(8, SuspicionLevel::Isolated) == TrialDecision::RunAlone);
    CHECK(slot.acquire(9, SuspicionLevel::Contained) == TrialDecision::Refused);
}

namespace
{

Guard readyGuard()
{
    Guard guard;
    GuardPolicy policy;
    policy.served = true;
    policy.slots = 4;
    policy.connections = 100;
    policy.coldSlots = 4;
    policy.queueLength = 10;
    policy.queueWait = 10s;
    policy.revision = 1;
    guard.setPolicy(policy, at(0s));
    guard.announced({"boot", TargetState::Ready, 4, 100}, at(0s));
    return guard;
}

GuardOffer offerOf(GuardTicket ticket, bool alone)
{
    GuardOffer out;
    out.ticket = ticket;
    out.deadline = at(10s);
    out.mayQueue = true;
    out.alone = alone;
    return out;
}

}

TEST_CASE("A request that must run alone starts when the target is idle and blocks other requests until it ends")
{
    Guard guard = readyGuard();
    REQUIRE(guard.offer(offerOf(1, false), at(0s)).kind == GuardOfferResult::Kind::Admitted);
    CHECK(guard.offer(offerOf(2, true), at(0s)).kind == GuardOfferResult::Kind::Queued);
    CHECK(guard.offer(offerOf(3, false), at(0s)).kind == GuardOfferResult::Kind::Queued);
    CHECK(guard.offer(offerOf(4, true), at(0s)).refusal == GuardRefusal::AnotherAlone);
    CHECK(guard.load(at(0s)).limit == 0);
    const GuardRelease first = guard.finished(1, {false, true, 50ms}, at(50ms));
    CHECK(first.admitted == std::vector<GuardTicket>{2});
    const GuardRelease second = guard.finished(2, {false, true, 50ms}, at(100ms));
    CHECK(second.admitted == std::vector<GuardTicket>{3});
    CHECK(guard.load(at(100ms)).limit == 4);
}

TEST_CASE("A request that must run alone expires in the queue after a few typical response times")
{
    Guard guard = readyGuard();
    REQUIRE(guard.offer(offerOf(1, false), at(0s)).kind == GuardOfferResult::Kind::Admitted);
    REQUIRE(guard.offer(offerOf(2, true), at(0s)).kind == GuardOfferResult::Kind::Queued);
    CHECK(guard.tick(at(50ms)).expired.empty());
    CHECK(guard.tick(at(150ms)).expired == std::vector<GuardTicket>{2});
    CHECK(guard.offer(offerOf(3, false), at(150ms)).kind == GuardOfferResult::Kind::Admitted);
}

TEST_CASE("A request that waits to run alone no longer blocks the target after it is withdrawn")
{
    Guard guard = readyGuard();
    REQUIRE(guard.offer(offerOf(1, false), at(0s)).kind == GuardOfferResult::Kind::Admitted);
    REQUIRE(guard.offer(offerOf(2, true), at(0s)).kind == GuardOfferResult::Kind::Queued);
    CHECK(guard.withdraw(2));
    CHECK(guard.offer(offerOf(3, false), at(1ms)).kind == GuardOfferResult::Kind::Admitted);
}

namespace
{

ServiceRouter routerOf(int targets)
{
    ServiceRouter router(RouterOptions{});
    std::vector<RouterTarget> list;
    for (int i = 0; i < targets; ++i) {
        RouterTarget target;
        target.name = "t" + std::to_string(i);
        target.state = TargetState::Ready;
        target.bootId = "b";
        target.limit = 4;
        target.inService = true;
        list.push_back(target);
    }
    router.setTargets(list, at(0s));
    for (const RouterTarget &it : list) {
        LoadReport load;
        load.limit = 4;
        load.state = TargetState::Ready;
        router.recordLoadReport(it.name, load, at(0s));
    }
    return router;
}

}

TEST_CASE("Routers choose the same target for a request on trial and the same next one while the first has no capacity")
{
    ServiceRouter one = routerOf(5);
    ServiceRouter other = routerOf(5);
    const auto first = one.chooseForTrial(7, {}, at(1ms));
    REQUIRE(first);
    CHECK(other.chooseForTrial(7, {}, at(1ms))->target == first->target);
    LoadReport busy;
    busy.state = TargetState::Ready;
    one.recordLoadReport(first->target, busy, at(2ms));
    const auto second = one.chooseForTrial(7, {}, at(3ms));
    CHECK(second->target != first->target);
    CHECK(other.chooseForTrial(7, {first->target}, at(3ms))->target == second->target);
}

TEST_CASE("A request on trial runs at most once even after a target has rejected it")
{
    ServiceRouter router = routerOf(4);
    RetryBudget budget(100);
    Random random(1);
    CallRules rules;
    rules.repeatable = true;
    rules.mayHedge = true;
    CallPlan plan(rules);
    plan.requireTrial(7);
    REQUIRE(plan.next(router, budget, random, at(0s)));
    CHECK_FALSE(plan.hedge(router, budget, random, at(0s)));
    AttemptOutcome rejected;
    rejected.execution = Execution::NotRun;
    rejected.reachedTarget = true;
    rejected.timeLeft = 1s;
    REQUIRE(plan.shouldContinue(rejected, router, budget));
    REQUIRE(plan.next(router, budget, random, at(0s)));
    AttemptOutcome crashed = rejected;
    crashed.execution = Execution::Unknown;
    CHECK_FALSE(plan.shouldContinue(crashed, router, budget));
    CHECK(plan.overallExecution(Execution::NotRun) == Execution::Unknown);
}

TEST_CASE("A call plan makes no further attempt after a refusal that applies to all targets")
{
    ServiceRouter router = routerOf(4);
    RetryBudget budget(100);
    Random random(1);
    CallPlan plan(CallRules{});
    REQUIRE(plan.next(router, budget, random, at(0s)));
    AttemptOutcome refused;
    refused.refusedEverywhere = true;
    refused.timeLeft = 1s;
    CHECK_FALSE(plan.shouldContinue(refused, router, budget));
}

}
