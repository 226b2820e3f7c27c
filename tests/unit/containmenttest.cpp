#include "shallotrelay/containment/crashledger.h"
#include "shallotrelay/containment/trialdesk.h"
#include "shallotrelay/guard/guard.h"
#include "shallotrelay/routing/callplan.h"
#include "support.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace shallotrelay
{
namespace
{

/// Returns the print of a request that comes from one of several services.
RequestPrint printOf(std::uint64_t n, std::uint64_t service = 0)
{
    constexpr std::uint64_t Apart = 1000000;
    return {n + Apart, n, n + (service + 2) * Apart};
}

/// One node's ledger with what it tells the others.
struct Node {
    CrashLedger ledger;
    std::uint64_t nextCrash = 1;

    CrashNotice crash(const std::vector<std::uint64_t> &prints, TimePoint now,
                      const std::vector<std::uint64_t> &onTrial = {})
    {
        std::vector<RequestPrint> runs;
        runs.reserve(prints.size());
        for (const std::uint64_t it : prints) {
            runs.push_back(printOf(it));
        }
        const CrashNotice notice = ledger.weigh(nextCrash++, runs, onTrial);
        ledger.crashed(notice, now);
        return notice;
    }

    Standing standing(std::uint64_t n, TimePoint now) const
    {
        return ledger.standing(printOf(n), now);
    }
};

}

TEST_CASE("A request that crashes its targets is contained after four crashes at most")
{
    Node node;
    node.crash({7, 1, 2}, at(0s));
    CHECK(node.standing(7, at(0s)) == Standing::Clear);
    node.crash({7, 3, 4}, at(1s));
    CHECK(node.standing(7, at(1s)) == Standing::Suspect);
    node.crash({7, 5, 6}, at(2s), {7});
    CHECK(node.standing(7, at(2s)) == Standing::Isolated);
    node.crash({7}, at(3s), {7});
    CHECK(node.standing(7, at(3s)) == Standing::Contained);
    for (std::uint64_t n = 1; n < 7; ++n) {
        CHECK(node.standing(n, at(3s)) == Standing::Clear);
    }
}

TEST_CASE("A popular read that ran at every crash of a bad night is never turned away")
{
    Node node;
    for (int i = 0; i < 20; ++i) {
        node.crash({42, static_cast<std::uint64_t>(100 + i)}, at(i * 1s));
        node.ledger.ranClean(printOf(42), at(i * 1s + 10ms));
        CHECK(node.standing(42, at(i * 1s + 20ms)) == Standing::Clear);
    }
}

TEST_CASE("A request that ran well of late is no suspect of a crash, and the one beside it is its only possible cause")
{
    Node node;
    node.ledger.ranClean(printOf(42), at(0s));
    const CrashNotice notice = node.crash({42, 7}, at(1s));
    REQUIRE(notice.runs.size() == 1);
    CHECK(notice.runs[0].print.whole == 7);
    CHECK(notice.runs[0].weight == CrashWeight::Alone);
}

TEST_CASE("A request that was contained from one service is tried alone once from another")
{
    Node node;
    for (int i = 0; i < 3; ++i) {
        node.crash({7}, at(i * 1s));
    }
    REQUIRE(node.standing(7, at(3s)) == Standing::Contained);
    CHECK(node.ledger.standing(printOf(7, 1), at(3s)) == Standing::Isolated);
    node.ledger.crashed(node.ledger.weigh(100, {printOf(7, 1)}, {7}), at(4s));
    CHECK(node.ledger.standing(printOf(7, 1), at(4s)) == Standing::Contained);
}

TEST_CASE("A request that ends well from one service and crashes targets from another is contained from that one only")
{
    Node node;
    for (int i = 0; i < 6; ++i) {
        const TimePoint now = at(i * 1s);
        node.ledger.crashed(node.ledger.weigh(100 + static_cast<std::uint64_t>(i), {printOf(7, 1)}, {}), now);
        node.ledger.ranClean(printOf(7, 0), now + 10ms);
    }
    CHECK(node.ledger.standing(printOf(7, 1), at(6s)) == Standing::Contained);
    CHECK(node.ledger.standing(printOf(7, 0), at(6s)) == Standing::Clear);
}

TEST_CASE("A run that ends well clears a suspect at once, also after a trial alone was owed")
{
    Node node;
    node.crash({7, 1}, at(0s));
    node.crash({7, 2}, at(1s));
    node.crash({7, 3}, at(2s), {7});
    REQUIRE(node.standing(7, at(2s)) == Standing::Isolated);
    const auto notice = node.ledger.ranClean(printOf(7), at(3s));
    REQUIRE(notice);
    CHECK(notice->crashes.size() == 3);
    CHECK(node.standing(7, at(3s)) == Standing::Clear);
}

TEST_CASE("A contained request is tried again after a while, each time later")
{
    Node node;
    for (int i = 0; i < 3; ++i) {
        node.crash({7}, at(i * 1s));
    }
    CHECK(node.standing(7, at(2s)) == Standing::Contained);
    // Three crashes alone: the term has doubled twice.
    CHECK(node.standing(7, at(39min)) == Standing::Contained);
    CHECK(node.standing(7, at(41min)) == Standing::Isolated);
    node.crash({7}, at(41min));
    CHECK(node.standing(7, at(41min + 79min)) == Standing::Contained);
    CHECK(node.standing(7, at(41min + 81min)) == Standing::Isolated);
}

TEST_CASE("Nodes that exchange what they remember in any order and any number of times agree")
{
    rc::check("agree", [] {
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
            } else if (const auto notice = node.ledger.ranClean(printOf(n), at(i * 1ms))) {
                cleanRuns.push_back(*notice);
            }
            // Some of the notices are lost.
            Node &other = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
            if (!crashes.empty() && *rc::gen::arbitrary<bool>()) {
                other.ledger.crashed(crashes.back(), at(i * 1ms));
            }
            if (!cleanRuns.empty() && *rc::gen::arbitrary<bool>()) {
                other.ledger.cleared(cleanRuns.back(), at(i * 1ms));
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
                RC_ASSERT(it.standing(n, now) == nodes[0].standing(n, now));
            }
        }
        RC_ASSERT(!nodes[0].ledger.merge(nodes[1].ledger.state(now), now));
    });
}

TEST_CASE("A node that starts again knows what is contained once it has asked one other node")
{
    Node veteran;
    for (int i = 0; i < 3; ++i) {
        veteran.crash({7}, at(i * 1s));
    }
    Node started;
    CHECK(started.ledger.digest() != veteran.ledger.digest());
    CHECK(started.ledger.merge(veteran.ledger.state(at(5s)), at(5s)));
    CHECK(started.standing(7, at(5s)) == Standing::Contained);
    CHECK(started.ledger.digest() == veteran.ledger.digest());
}

TEST_CASE("A caller that invents ever new crashing requests does not push out the contained one")
{
    Node node;
    for (int i = 0; i < 3; ++i) {
        node.crash({7}, at(i * 1s));
    }
    for (std::uint64_t n = 1000; n < 6000; ++n) {
        node.crash({n, n + 10000}, at(10s + std::chrono::milliseconds(n)));
    }
    CHECK(node.standing(7, at(20s)) == Standing::Contained);
    CHECK(node.ledger.size() <= 1024);
}

TEST_CASE("What is remembered of a single crash is forgotten after ten minutes")
{
    Node node;
    node.crash({7, 8}, at(0s));
    node.ledger.expire(at(9min));
    CHECK(node.ledger.size() == 4);
    node.ledger.expire(at(11min));
    CHECK(node.ledger.size() == 0);
    CHECK(node.ledger.digest() == 0);
}

TEST_CASE("Only requests with the head of a suspect have their body looked at")
{
    Node node;
    node.crash({7, 1}, at(0s));
    CHECK_FALSE(node.ledger.doubts(printOf(7).head));
    node.crash({7, 2}, at(1s));
    CHECK(node.ledger.doubts(printOf(7).head));
    CHECK_FALSE(node.ledger.doubts(printOf(1).head));
}

TEST_CASE("A target tries one suspect at a time")
{
    TrialDesk desk;
    CHECK(desk.enter(1, Standing::Clear) == TrialAnswer::Run);
    CHECK(desk.enter(7, Standing::Suspect) == TrialAnswer::Run);
    CHECK(desk.enter(7, Standing::Suspect) == TrialAnswer::UnderTrial);
    CHECK(desk.enter(8, Standing::Isolated) == TrialAnswer::Elsewhere);
    CHECK(desk.enter(1, Standing::Clear) == TrialAnswer::Run);
    desk.leave(8);
    CHECK(desk.onTrial() == 7);
    desk.leave(7);
    CHECK(desk.enter(8, Standing::Isolated) == TrialAnswer::RunAlone);
    CHECK(desk.enter(9, Standing::Contained) == TrialAnswer::Refused);
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

TEST_CASE("A request that may run only alone starts when nothing else runs, and holds the others back until it ends")
{
    Guard guard = readyGuard();
    REQUIRE(guard.offer(offerOf(1, false), at(0s)).kind == GuardAnswer::Kind::Admitted);
    CHECK(guard.offer(offerOf(2, true), at(0s)).kind == GuardAnswer::Kind::Queued);
    CHECK(guard.offer(offerOf(3, false), at(0s)).kind == GuardAnswer::Kind::Queued);
    CHECK(guard.offer(offerOf(4, true), at(0s)).refusal == GuardRefusal::AnotherAlone);
    CHECK(guard.load(at(0s)).limit == 0);
    const GuardRelease first = guard.finished(1, {false, true, 50ms}, at(50ms));
    CHECK(first.admitted == std::vector<GuardTicket>{2});
    const GuardRelease second = guard.finished(2, {false, true, 50ms}, at(100ms));
    CHECK(second.admitted == std::vector<GuardTicket>{3});
    CHECK(guard.load(at(100ms)).limit == 4);
}

TEST_CASE("A request that may run only alone does not hold a target up for longer than a few usual answers")
{
    Guard guard = readyGuard();
    REQUIRE(guard.offer(offerOf(1, false), at(0s)).kind == GuardAnswer::Kind::Admitted);
    REQUIRE(guard.offer(offerOf(2, true), at(0s)).kind == GuardAnswer::Kind::Queued);
    CHECK(guard.tick(at(50ms)).expired.empty());
    CHECK(guard.tick(at(150ms)).expired == std::vector<GuardTicket>{2});
    CHECK(guard.offer(offerOf(3, false), at(150ms)).kind == GuardAnswer::Kind::Admitted);
}

TEST_CASE("A caller that leaves while its request waits to run alone frees the target")
{
    Guard guard = readyGuard();
    REQUIRE(guard.offer(offerOf(1, false), at(0s)).kind == GuardAnswer::Kind::Admitted);
    REQUIRE(guard.offer(offerOf(2, true), at(0s)).kind == GuardAnswer::Kind::Queued);
    CHECK(guard.withdraw(2));
    CHECK(guard.offer(offerOf(3, false), at(1ms)).kind == GuardAnswer::Kind::Admitted);
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

TEST_CASE("All nodes send a request on trial to the same target, and to the next one while that takes no work")
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

TEST_CASE("A request on trial runs once, also after a target had rejected it")
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

TEST_CASE("A refusal that holds everywhere is not followed by another offer")
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
