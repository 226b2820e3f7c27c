#include "support.h"

#include "shallotrelay/admission/admissionqueue.h"
#include "shallotrelay/guard/guard.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

constexpr Duration RequestDuration = 60ms;
const ServiceRate twelveSlots{12, 5ms};

QueuedRequest requestOf(GuardTicket ticket, Duration objective, Duration deadline, TimePoint now)
{
    QueuedRequest out;
    out.ticket = ticket;
    out.objective = now + objective;
    out.deadline = now + deadline;
    out.expectedDuration = RequestDuration;
    return out;
}

/// Returns a guard whose target is ready and has four slots.
Guard readyGuard()
{
    Guard guard;
    GuardPolicy policy;
    policy.served = true;
    policy.slots = 4;
    policy.connections = 10;
    guard.setPolicy(policy, at(0s));
    guard.announced({"boot-1", TargetState::Ready, 4, 10}, at(0s));
    return guard;
}

}

TEST_CASE("A burst: requests that can finish within their objective are queued and the rest are refused on arrival")
{
    AdmissionQueue queue;
    int queued = 0;
    Duration excessWait{};
    for (GuardTicket ticket = 1; ticket <= 100; ++ticket) {
        const AdmissionDecision decision = queue.offer(requestOf(ticket, 200ms, 500ms, at(0s)), twelveSlots, at(0s));
        queued += decision.queued ? 1 : 0;
        excessWait = decision.excessWait;
    }
    // A request may wait for 140 ms: 5 ms until the first slot is free and 5 ms for each request ahead.
    CHECK(queued == 28);
    CHECK(excessWait > 0ms);
    CHECK(queue.size() == 28);
}

TEST_CASE("A retry storm: late requests do not delay requests that are in time")
{
    AdmissionQueue queue;
    for (GuardTicket ticket = 1; ticket <= 10; ++ticket) {
        REQUIRE(queue.offer(requestOf(ticket, 20ms, 2s, at(0s)), twelveSlots, at(0s)).queued);
    }
    const AdmissionDecision decision = queue.offer(requestOf(99, 200ms, 500ms, at(0s)), twelveSlots, at(0s));
    CHECK(decision.queued);
    CHECK(decision.expectedWait == twelveSlots.untilFirstSlot);
    CHECK(queue.takeNext(at(0s))->ticket == 99);
    CHECK(queue.takeNext(at(0s))->ticket == 1);
}

TEST_CASE("A slow phase: late requests queue last and are dropped once they cannot finish before their deadline")
{
    AdmissionQueue queue;
    REQUIRE(queue.offer(requestOf(1, 200ms, 500ms, at(0s)), twelveSlots, at(0s)).queued);
    REQUIRE(queue.offer(requestOf(2, 500ms, 800ms, at(0s)), twelveSlots, at(0s)).queued);
    CHECK(queue.dropInfeasible(twelveSlots, at(160ms)).empty());
    CHECK(queue.dropInfeasible(twelveSlots, at(450ms)) == std::vector<GuardTicket>{1});
    CHECK(queue.takeNext(at(450ms))->ticket == 2);
}

TEST_CASE("Admission queue: a more urgent request starts before less urgent ones that arrived earlier")
{
    AdmissionQueue queue;
    QueuedRequest low = requestOf(1, 200ms, 500ms, at(0s));
    low.priority = 2;
    QueuedRequest high = requestOf(2, 250ms, 600ms, at(0s));
    high.priority = 1;
    REQUIRE(queue.offer(low, twelveSlots, at(0s)).queued);
    REQUIRE(queue.offer(high, twelveSlots, at(0s)).queued);
    CHECK(queue.takeNext(at(1ms))->ticket == 2);
}

TEST_CASE("Admission queue: a removed request does not start")
{
    AdmissionQueue queue;
    REQUIRE(queue.offer(requestOf(1, 200ms, 500ms, at(0s)), twelveSlots, at(0s)).queued);
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    CHECK_FALSE(queue.takeNext(at(0s)).has_value());
}

TEST_CASE("Guard: a cold target is limited to its starts per second and a warm target is not")
{
    Guard guard;
    GuardPolicy policy;
    policy.served = true;
    policy.slots = 100;
    policy.coldSlots = 100;
    policy.connections = 1000;
    policy.coldPerSecond = 40;
    guard.setPolicy(policy, at(0s));
    TargetAnnouncement announcement{"boot-1", TargetState::Ready, 100, 1000, 2s};
    guard.announced(announcement, at(0s));
    int cold = 0;
    int warm = 0;
    for (int ms = 0; ms < 3000; ms += 5) {
        GuardOffer offer;
        offer.ticket = static_cast<GuardTicket>(ms) + 1;
        offer.deadline = at(10s);
        const TimePoint now = at(std::chrono::milliseconds(ms));
        if (guard.offer(offer, now).kind == GuardOfferResult::Kind::Admitted) {
            (ms < 2000 ? cold : warm) += 1;
            guard.finished(offer.ticket, {false, true, 5ms}, now);
        }
    }
    CHECK(cold <= 80);
    CHECK(cold >= 70);
    CHECK(warm == 200);
}

TEST_CASE("Guard: a held target refuses requests until the hold ends")
{
    Guard guard = readyGuard();
    guard.holdUntil(at(1s));
    CHECK(guard.offer({1, at(5s), true}, at(500ms)).refusal == GuardRefusal::Held);
    CHECK(guard.load(at(500ms)).limit == 0);
    CHECK(guard.offer({2, at(5s), true}, at(1s)).kind == GuardOfferResult::Kind::Admitted);
}

TEST_CASE("Guard: the share of repeated attempts covers the requests in flight")
{
    Guard guard = readyGuard();
    GuardOffer offer{1, at(5s), true};
    offer.repeats = true;
    guard.offer(offer, at(0s));
    guard.offer({2, at(5s), true}, at(0s));
    CHECK(guard.repeatedAttemptShare() == Approx(0.5));
    guard.finished(1, {}, at(1s));
    CHECK(guard.repeatedAttemptShare() == Approx(0.0));
}

}
