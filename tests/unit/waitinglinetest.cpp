#include "support.h"

#include "shallotrelay/admission/waitingline.h"
#include "shallotrelay/guard/guard.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

constexpr Duration Work = 60ms;
const ServiceRate twelveSlots{12, 5ms};

WaitingRequest requestOf(GuardTicket ticket, Duration objective, Duration deadline, TimePoint now)
{
    WaitingRequest out;
    out.ticket = ticket;
    out.objective = now + objective;
    out.deadline = now + deadline;
    out.work = Work;
    return out;
}

/// A guard whose target is ready for four requests at once.
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

TEST_CASE("A burst: as many wait as can finish within their objective, the rest is refused on arrival")
{
    WaitingLine line;
    int waiting = 0;
    Duration excess{};
    for (GuardTicket ticket = 1; ticket <= 100; ++ticket) {
        const WaitingAnswer answer = line.offer(requestOf(ticket, 200ms, 500ms, at(0s)), twelveSlots, at(0s));
        waiting += answer.waits ? 1 : 0;
        excess = answer.excess;
    }
    // 140 ms are left to wait; 5 ms until the first slot and 5 ms for each request ahead.
    CHECK(waiting == 28);
    CHECK(excess > 0ms);
    CHECK(line.size() == 28);
}

TEST_CASE("A retry storm: requests that are late already never delay those that are in time")
{
    WaitingLine line;
    for (GuardTicket ticket = 1; ticket <= 10; ++ticket) {
        REQUIRE(line.offer(requestOf(ticket, 20ms, 2s, at(0s)), twelveSlots, at(0s)).waits);
    }
    const WaitingAnswer answer = line.offer(requestOf(99, 200ms, 500ms, at(0s)), twelveSlots, at(0s));
    CHECK(answer.waits);
    CHECK(answer.expectedWait == twelveSlots.untilFirstSlot);
    CHECK(line.takeNext(at(0s))->ticket == 99);
    CHECK(line.takeNext(at(0s))->ticket == 1);
}

TEST_CASE("A slow phase: what becomes late waits behind, and is refused once it cannot finish before its deadline")
{
    WaitingLine line;
    REQUIRE(line.offer(requestOf(1, 200ms, 500ms, at(0s)), twelveSlots, at(0s)).waits);
    REQUIRE(line.offer(requestOf(2, 500ms, 800ms, at(0s)), twelveSlots, at(0s)).waits);
    CHECK(line.dropHopeless(twelveSlots, at(160ms)).empty());
    CHECK(line.dropHopeless(twelveSlots, at(450ms)) == std::vector<GuardTicket>{1});
    CHECK(line.takeNext(at(450ms))->ticket == 2);
}

TEST_CASE("The more urgent rank starts first, whatever came before it")
{
    WaitingLine line;
    WaitingRequest low = requestOf(1, 200ms, 500ms, at(0s));
    low.priority = 2;
    WaitingRequest high = requestOf(2, 250ms, 600ms, at(0s));
    high.priority = 1;
    REQUIRE(line.offer(low, twelveSlots, at(0s)).waits);
    REQUIRE(line.offer(high, twelveSlots, at(0s)).waits);
    CHECK(line.takeNext(at(1ms))->ticket == 2);
}

TEST_CASE("A request that gives up leaves the line")
{
    WaitingLine line;
    REQUIRE(line.offer(requestOf(1, 200ms, 500ms, at(0s)), twelveSlots, at(0s)).waits);
    CHECK(line.remove(1));
    CHECK_FALSE(line.remove(1));
    CHECK_FALSE(line.takeNext(at(0s)).has_value());
}

TEST_CASE("A cold target gets no more starts in any one second than it bears, and all of them afterwards")
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
        if (guard.offer(offer, now).kind == GuardAnswer::Kind::Admitted) {
            (ms < 2000 ? cold : warm) += 1;
            guard.finished(offer.ticket, {false, true, 5ms}, now);
        }
    }
    CHECK(cold <= 80);
    CHECK(cold >= 70);
    CHECK(warm == 200);
}

TEST_CASE("A target that cannot be reached is held, and the hold ends")
{
    Guard guard = readyGuard();
    guard.holdUntil(at(1s));
    CHECK(guard.offer({1, at(5s), true}, at(500ms)).refusal == GuardRefusal::Held);
    CHECK(guard.load(at(500ms)).limit == 0);
    CHECK(guard.offer({2, at(5s), true}, at(1s)).kind == GuardAnswer::Kind::Admitted);
}

TEST_CASE("The share of repeated runs is told while they are in flight")
{
    Guard guard = readyGuard();
    GuardOffer offer{1, at(5s), true};
    offer.repeats = true;
    guard.offer(offer, at(0s));
    guard.offer({2, at(5s), true}, at(0s));
    CHECK(guard.repeatShare() == Approx(0.5));
    guard.finished(1, {}, at(1s));
    CHECK(guard.repeatShare() == Approx(0.0));
}

}
