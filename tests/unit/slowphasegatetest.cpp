#include "support.h"

#include "shallotrelay/admission/slowphasegate.h"
#include "shallotrelay/guard/guard.h"

#include <catch2/catch.hpp>

#include <map>

namespace shallotrelay
{
namespace
{

constexpr std::uint32_t SlowPercent = 500;
constexpr std::uint32_t UsualPercent = 100;
constexpr Duration PhaseLength = 150ms;

/// Returns a guard of a ready target with the given number of slots.
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
    guard.setSlowdownProbesPerSecond(50);
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

TEST_CASE("Slow phase gate: a target is probed before a start unless its slowdown is recent and within the probe rate")
{
    SlowPhaseGate gate;
    gate.setSlowdownProbesPerSecond(5);
    CHECK_FALSE(gate.tryAcquireSlowdownProbe(at(1s)));
    gate.recordSlowdown(UsualPercent, at(1s));
    CHECK_FALSE(gate.tryAcquireSlowdownProbe(at(1005ms)));
    int probes = 0;
    for (TimePoint now = at(2s); now < at(4s); now += 20ms) {
        probes += gate.tryAcquireSlowdownProbe(now) ? 1 : 0;
    }
    // Unused probes accumulate up to five, and two seconds add ten more.
    CHECK(probes >= 10);
    CHECK(probes <= 15);
}

TEST_CASE("Slow phase gate: a slow phase delays starts until it is over but a permanently slow target does not")
{
    SlowPhaseGate gate;
    gate.recordSlowdown(UsualPercent, at(1s));
    CHECK_FALSE(gate.delaysStarts(at(1s)));
    gate.recordSlowdown(SlowPercent, at(1100ms));
    CHECK(gate.delaysStarts(at(1110ms)));
    CHECK(gate.expectedDelay(at(1110ms)) > 0s);
    CHECK(gate.slowdownFactor(at(1110ms)) == 5);
    gate.recordSlowdown(UsualPercent, at(1200ms));
    CHECK_FALSE(gate.delaysStarts(at(1200ms)));
    for (TimePoint now = at(2s); now <= at(4s); now += 10ms) {
        gate.recordSlowdown(SlowPercent, now);
    }
    CHECK_FALSE(gate.delaysStarts(at(4s)));
    CHECK(gate.slowdownFactor(at(4s)) == 5);
}

TEST_CASE("Slow phase gate: an outdated slowdown does not delay starts")
{
    SlowPhaseGate gate;
    gate.recordSlowdown(SlowPercent, at(1s));
    CHECK(gate.delaysStarts(at(1020ms)));
    CHECK_FALSE(gate.delaysStarts(at(3s)));
    CHECK(gate.slowdownFactor(at(3s)) == 1);
}

TEST_CASE("Guard: in a slow phase the last offer of a request is queued and earlier offers are refused")
{
    Guard guard = readyGuard(9);
    guard.setSlowdown(SlowPercent, at(1s));
    const GuardOfferResult elsewhere = guard.offer(offerOf(1, at(1s), false), at(1s));
    CHECK(elsewhere.kind == GuardOfferResult::Kind::Refused);
    CHECK(elsewhere.refusal == GuardRefusal::SlowPhase);
    CHECK(elsewhere.retryAfter <= 500ms);
    CHECK(guard.offer(offerOf(2, at(1s), true), at(1s)).kind == GuardOfferResult::Kind::Queued);
    CHECK(guard.tick(at(1020ms)).admitted.empty());
    guard.setSlowdown(UsualPercent, at(1100ms));
    CHECK(guard.tick(at(1100ms)).admitted == std::vector<GuardTicket>{2});
}

TEST_CASE("Guard: a cold or held target is not probed for its slowdown")
{
    Guard guard = readyGuard(9);
    guard.setSlowdown(UsualPercent, at(10s));
    CHECK(guard.tryAcquireSlowdownProbe(at(11s)));
    guard.holdUntil(at(13s));
    CHECK_FALSE(guard.tryAcquireSlowdownProbe(at(12s)));
    CHECK(guard.tryAcquireSlowdownProbe(at(14s)));
    GuardPolicy policy;
    policy.served = true;
    policy.slots = 9;
    policy.connections = 100;
    policy.coldTime = 3s;
    policy.coldPerSecond = 6;
    policy.revision = 2;
    guard.setPolicy(policy, at(15s));
    guard.suspectRestart(at(15s));
    CHECK_FALSE(guard.tryAcquireSlowdownProbe(at(16s)));
}

TEST_CASE("Replay: delaying starts during slow phases completes more requests than starting at once")
{
    // The target has nine slots. Requests take 260 ms, or five times as long if they start in a slow phase; a quarter
    // of the phases of 150 ms are slow. More requests arrive than the target can run.
    const auto completedRequests = [](bool probes) {
        Guard guard = readyGuard(9);
        Random random(7);
        std::multimap<TimePoint, GuardTicket> ends;
        GuardTicket ticket = 0;
        int completed = 0;
        std::int64_t phase = -1;
        std::uint32_t slowdown = UsualPercent;
        const auto start
            = [&](GuardTicket it, TimePoint now) { ends.emplace(now + 260ms * slowdown / UsualPercent, it); };
        for (TimePoint now = at(10s); now < at(40s); now += 5ms) {
            if (now.time_since_epoch() / PhaseLength != phase) {
                phase = now.time_since_epoch() / PhaseLength;
                slowdown = randomBelow(random, 4) == 0 ? SlowPercent : UsualPercent;
            }
            const auto release = [&](const GuardRelease &released) {
                for (const GuardTicket it : released.admitted) {
                    start(it, now);
                }
            };
            if (probes && guard.tryAcquireSlowdownProbe(now)) {
                guard.setSlowdown(slowdown, now);
            }
            while (!ends.empty() && ends.begin()->first <= now) {
                if (probes) {
                    guard.setSlowdown(slowdown, now);
                }
                ++completed;
                const GuardTicket done = ends.begin()->second;
                ends.erase(ends.begin());
                release(guard.finished(done, {false, true, 260ms}, now));
            }
            release(guard.tick(now));
            if (probes && ticket == 0) {
                guard.setSlowdown(slowdown, now);
            }
            GuardOffer offer = offerOf(++ticket, now, true);
            if (guard.offer(offer, now).kind == GuardOfferResult::Kind::Admitted) {
                start(ticket, now);
            }
        }
        return completed;
    };
    const int delayed = completedRequests(true);
    const int atOnce = completedRequests(false);
    CAPTURE(delayed, atOnce);
    // If requests start at once, each takes twice its usual time on average.
    CHECK(delayed > atOnce * 13 / 10);
}

}
