#include "support.h"

#include "shallotrelay/admission/pacegate.h"
#include "shallotrelay/guard/guard.h"

#include <catch2/catch.hpp>

#include <map>

namespace shallotrelay
{
namespace
{

constexpr std::uint32_t Slow = 500;
constexpr std::uint32_t Usual = 100;
constexpr Duration Phase = 150ms;

/// Returns a guard of a ready target with a number of slots.
Guard readyGuard(std::uint32_t slots)
{
    Guard guard;
    GuardPolicy policy;
    policy.served = true;
    policy.slots = slots;
    policy.connections = 100;
    policy.queueLength = 50;
    policy.queueWait = 10s;
    policy.revision = 1;
    policy.refusesLate = true;
    guard.setPolicy(policy, at(0s));
    guard.announced({"boot", TargetState::Ready, slots, 100}, at(0s));
    guard.setLooksPerSecond(50);
    return guard;
}

GuardOffer offerOf(GuardTicket ticket, TimePoint now, bool last)
{
    GuardOffer out;
    out.ticket = ticket;
    out.deadline = now + 2s;
    out.objective = now + 1s;
    out.mayQueue = true;
    out.lastOffer = last;
    out.route = "read";
    return out;
}

}

TEST_CASE("A target is asked before a start unless its pace is fresh, and within the bound")
{
    PaceGate gate;
    gate.setLooksPerSecond(5);
    CHECK_FALSE(gate.takeLook(at(1s)));
    gate.observed(Usual, at(1s));
    CHECK_FALSE(gate.takeLook(at(1005ms)));
    int looks = 0;
    for (TimePoint now = at(2s); now < at(4s); now += 20ms) {
        looks += gate.takeLook(now) ? 1 : 0;
    }
    // Five at once were saved up, and two seconds give ten more.
    CHECK(looks >= 10);
    CHECK(looks <= 15);
}

TEST_CASE("A slow phase holds starts until it is over, not for as long as a target stays slow")
{
    PaceGate gate;
    gate.observed(Usual, at(1s));
    CHECK_FALSE(gate.holds(at(1s)));
    gate.observed(Slow, at(1100ms));
    CHECK(gate.holds(at(1110ms)));
    CHECK(gate.rest(at(1110ms)) > 0s);
    CHECK(gate.factor(at(1110ms)) == 5);
    gate.observed(Usual, at(1200ms));
    CHECK_FALSE(gate.holds(at(1200ms)));
    for (TimePoint now = at(2s); now <= at(4s); now += 10ms) {
        gate.observed(Slow, now);
    }
    CHECK_FALSE(gate.holds(at(4s)));
    CHECK(gate.factor(at(4s)) == 5);
}

TEST_CASE("A pace that was told long ago holds nothing")
{
    PaceGate gate;
    gate.observed(Slow, at(1s));
    CHECK(gate.holds(at(1020ms)));
    CHECK_FALSE(gate.holds(at(3s)));
    CHECK(gate.factor(at(3s)) == 1);
}

TEST_CASE("In a slow phase a request goes elsewhere if it can, and waits for the end of the phase if it cannot")
{
    Guard guard = readyGuard(9);
    guard.setPace(Slow, at(1s));
    const GuardAnswer elsewhere = guard.offer(offerOf(1, at(1s), false), at(1s));
    CHECK(elsewhere.kind == GuardAnswer::Kind::Refused);
    CHECK(elsewhere.refusal == GuardRefusal::SlowPhase);
    CHECK(elsewhere.retryAfter <= 500ms);
    CHECK(guard.offer(offerOf(2, at(1s), true), at(1s)).kind == GuardAnswer::Kind::Queued);
    CHECK(guard.tick(at(1020ms)).admitted.empty());
    guard.setPace(Usual, at(1100ms));
    CHECK(guard.tick(at(1100ms)).admitted == std::vector<GuardTicket>{2});
}

TEST_CASE("Nobody asks a cold target, or one that is held, for its pace")
{
    Guard guard = readyGuard(9);
    guard.setPace(Usual, at(10s));
    CHECK(guard.takeLook(at(11s)));
    guard.holdUntil(at(13s));
    CHECK_FALSE(guard.takeLook(at(12s)));
    CHECK(guard.takeLook(at(14s)));
    GuardPolicy policy;
    policy.served = true;
    policy.slots = 9;
    policy.connections = 100;
    policy.coldTime = 3s;
    policy.coldPerSecond = 6;
    policy.revision = 2;
    guard.setPolicy(policy, at(15s));
    guard.suspectRestart(at(15s));
    CHECK_FALSE(guard.takeLook(at(16s)));
}

TEST_CASE("Replay: a queue that starts nothing in slow phases finishes more of it than one that starts at once")
{
    // Nine slots, 260 ms of work that takes five times as long when it starts in a slow phase; a quarter of the phases
    // of 150 ms is slow; more requests come than the target can run.
    const auto finishedIn = [](bool looks) {
        Guard guard = readyGuard(9);
        Random random(7);
        std::multimap<TimePoint, GuardTicket> ends;
        GuardTicket ticket = 0;
        int finished = 0;
        std::int64_t phase = -1;
        std::uint32_t pace = Usual;
        const auto start = [&](GuardTicket it, TimePoint now) { ends.emplace(now + 260ms * pace / Usual, it); };
        for (TimePoint now = at(10s); now < at(40s); now += 5ms) {
            if (now.time_since_epoch() / Phase != phase) {
                phase = now.time_since_epoch() / Phase;
                pace = randomBelow(random, 4) == 0 ? Slow : Usual;
            }
            const auto release = [&](const GuardRelease &released) {
                for (const GuardTicket it : released.admitted) {
                    start(it, now);
                }
            };
            if (looks && guard.takeLook(now)) {
                guard.setPace(pace, now);
            }
            while (!ends.empty() && ends.begin()->first <= now) {
                if (looks) {
                    guard.setPace(pace, now);
                }
                ++finished;
                const GuardTicket done = ends.begin()->second;
                ends.erase(ends.begin());
                release(guard.finished(done, {false, true, 260ms}, now));
            }
            release(guard.tick(now));
            if (looks && ticket == 0) {
                guard.setPace(pace, now);
            }
            GuardOffer offer = offerOf(++ticket, now, true);
            if (guard.offer(offer, now).kind == GuardAnswer::Kind::Admitted) {
                start(ticket, now);
            }
        }
        return finished;
    };
    const int held = finishedIn(true);
    const int atOnce = finishedIn(false);
    CAPTURE(held, atOnce);
    // Starting at once, each request takes twice its usual time on average.
    CHECK(held > atOnce * 13 / 10);
}

}
