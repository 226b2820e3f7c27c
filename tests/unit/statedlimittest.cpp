#include "support.h"

#include "shallotrelay/guard/guard.h"
#include "shallotrelay/limits/statedlimit.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace shallotrelay
{
namespace
{

constexpr auto Response = StatementSource::Response;
constexpr auto HealthProbe = StatementSource::HealthProbe;
constexpr std::uint32_t Slots = 14;
constexpr Duration Work = 60ms;
constexpr Duration Step = 5ms;

TargetStatement limitOf(double requestsPerSecond)
{
    return {requestsPerSecond};
}

GuardPolicy policyOf(bool expectsStatements)
{
    GuardPolicy policy;
    policy.served = true;
    policy.slots = Slots;
    policy.connections = 240;
    policy.coldSlots = Slots;
    policy.queueLength = 100;
    policy.queueWait = 5s;
    policy.revision = 1;
    policy.refusesLate = true;
    policy.expectsStatements = expectsStatements;
    return policy;
}

Guard readyGuard(bool expectsStatements = false)
{
    Guard guard;
    guard.setPolicy(policyOf(expectsStatements), at(0s));
    guard.announced({"boot-1", TargetState::Ready, Slots, 240}, at(0s));
    return guard;
}

GuardOffer offerOf(GuardTicket ticket, TimePoint now, Duration timeLeft = 500ms)
{
    GuardOffer offer;
    offer.ticket = ticket;
    offer.deadline = now + timeLeft;
    offer.mayQueue = true;
    offer.lastOffer = true;
    offer.objective = now + 200ms;
    offer.route = "r";
    return offer;
}

/// A span of time in which the limit and the number of offers per step stay the same.
struct Phase {
    Duration length{};
    std::optional<double> limit;
    std::uint32_t offersPerStep = 0;
};

/// Replays phases in virtual time at the guard of a target that states its limit in each response, if it states limits.
class LimitReplay
{
public:
    explicit LimitReplay(bool states)
        : m_states(states)
    {
    }

    void run(const std::vector<Phase> &phases)
    {
        for (const Phase &phase : phases) {
            m_limit = phase.limit;
            const TimePoint end = m_now + phase.length;
            for (; m_now < end; m_now += Step) {
                step(phase.offersPerStep);
            }
        }
    }

    /// Returns whether any 4 s had more starts than one and a half times what the limit allowed in them, and 5 more.
    bool exceedsLimit() const
    {
        constexpr std::size_t WindowSteps = 4s / Step;
        for (std::size_t first = 0; first < m_startsByStep.size(); ++first) {
            double allowed = 0;
            std::uint32_t starts = 0;
            const std::size_t last = std::min(first + WindowSteps, m_startsByStep.size());
            for (std::size_t i = first; i < last; ++i) {
                allowed += m_limitByStep[i] * toSeconds(Step);
                starts += m_startsByStep[i];
            }
            if (starts > 1.5 * allowed + 5) {
                return true;
            }
        }
        return false;
    }

    std::uint32_t starts() const
    {
        std::uint32_t n = 0;
        for (const std::uint32_t it : m_startsByStep) {
            n += it;
        }
        return n;
    }

private:
    void step(std::uint32_t offers)
    {
        m_startsThisStep = 0;
        for (auto it = m_running.begin(); it != m_running.end() && it->first <= m_now; it = m_running.erase(it)) {
            if (m_states && m_limit) {
                const auto release = m_guard.applyStatement(limitOf(*m_limit), Response, m_guard.startNumber(), m_now);
                begin(release->admitted);
            }
            begin(m_guard.finished(it->second, {false, true, Work}, m_now).admitted);
        }
        begin(m_guard.tick(m_now).admitted);
        for (std::uint32_t i = 0; i < offers; ++i) {
            const GuardTicket ticket = ++m_lastTicket;
            if (m_guard.offer(offerOf(ticket, m_now), m_now).kind == GuardOfferResult::Kind::Admitted) {
                begin({ticket});
            }
        }
        m_startsByStep.push_back(m_startsThisStep);
        m_limitByStep.push_back(m_limit.value_or(1e9));
    }

    void begin(const std::vector<GuardTicket> &tickets)
    {
        for (const GuardTicket it : tickets) {
            ++m_startsThisStep;
            m_running.emplace(m_now + Work, it);
        }
    }

    bool m_states;
    Guard m_guard = readyGuard();
    std::multimap<TimePoint, GuardTicket> m_running;
    std::optional<double> m_limit;
    TimePoint m_now = at(10s);
    GuardTicket m_lastTicket = 0;
    std::uint32_t m_startsThisStep = 0;
    std::vector<std::uint32_t> m_startsByStep;
    std::vector<double> m_limitByStep;
};

/// A steady load of 200 requests per second at a target that states 25 per second after 5 s.
const std::vector<Phase> needyTarget = {{5s, std::nullopt, 1}, {200ms, 1e6, 1}, {15s, 25, 1}};

}

TEST_CASE("Replay: a target that states a limit gets its rate although slots are free")
{
    LimitReplay before(true);
    before.run({needyTarget[0], needyTarget[1]});
    LimitReplay replay(true);
    replay.run(needyTarget);
    const std::uint32_t starts = replay.starts() - before.starts();
    CHECK_FALSE(replay.exceedsLimit());
    CHECK(starts >= 0.9 * 25 * 15);
    CHECK(starts <= 25 * 15 + 20);
}

TEST_CASE("Replay: the same load exceeds the limit if the guard is not told of it")
{
    LimitReplay replay(false);
    replay.run(needyTarget);
    CHECK(replay.exceedsLimit());
}

TEST_CASE("Starts stay within generated sequences of limits and pauses and bursts")
{
    CHECK(rc::check("starts within stated limits", [] {
        std::vector<Phase> phases = {{200ms, 1e6, 1}};
        const int count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            Phase phase;
            phase.length = std::chrono::milliseconds(*rc::gen::inRange(1, 60) * 100);
            phase.limit = *rc::gen::element(0.3, 1.0, 3.0, 11.8, 35.7, 100.0);
            phase.offersPerStep = *rc::gen::element(0U, 1U, 1U, 8U);
            phases.push_back(phase);
        }
        // The guard learns of a lower limit with the next response, so the burst of one latency is tolerated.
        std::stable_sort(phases.begin() + 1, phases.end(),
                         [](const Phase &a, const Phase &b) { return *a.limit < *b.limit; });
        // The rule holds for whole windows, so the last phase is followed by a window without offers.
        phases.push_back({4s, phases.back().limit, 0});
        LimitReplay replay(true);
        replay.run(phases);
        RC_ASSERT(!replay.exceedsLimit());
    }));
}

TEST_CASE("A stated limit that falls to a tenth applies to the next start")
{
    StatedLimit limit;
    limit.recordStatement(limitOf(50), Response, at(0s));
    CHECK(limit.permittedStarts(0ms, at(10s)) == 25);
    limit.recordStatement(limitOf(5), Response, at(10s));
    CHECK(limit.permittedStarts(0ms, at(10s)) == 2);
    limit.recordStart(at(10s));
    limit.recordStart(at(10s));
    CHECK_FALSE(limit.allowsStart(at(10s)));
    CHECK(limit.untilNextStart(at(10s)) <= 200ms);
    CHECK(limit.startInterval(at(10s)) == 200ms);
}

TEST_CASE("A response without a limit ends the limit only half a second after the last statement of it")
{
    StatedLimit limit;
    limit.recordStatement(limitOf(4), Response, at(0s));
    limit.recordStatement({}, Response, at(499ms));
    CHECK(limit.stated() == 4.0);
    limit.recordStatement({std::nullopt, true}, Response, at(900ms));
    CHECK(limit.stated() == 4.0);
    limit.recordStatement({}, HealthProbe, at(900ms));
    CHECK(limit.stated() == 4.0);
    limit.recordStatement({}, Response, at(900ms));
    CHECK_FALSE(limit.stated());
}

TEST_CASE("After the end of a stated limit the permitted rate rises for one second")
{
    StatedLimit limit;
    limit.recordStatement(limitOf(10), Response, at(0s));
    limit.recordStatement({}, Response, at(1s));
    CHECK(*limit.startsPerSecond(at(1s)) == Approx(10));
    CHECK(*limit.startsPerSecond(at(1125ms)) == Approx(20));
    CHECK(*limit.startsPerSecond(at(1500ms)) == Approx(160));
    CHECK_FALSE(limit.startsPerSecond(at(2s)));
    CHECK(limit.allowsStart(at(2s)));
}

TEST_CASE("A stated limit of 0 permits no start if probes notice its end and one in 5 s otherwise")
{
    StatedLimit probed;
    probed.recordStatement(limitOf(0), Response, at(0s));
    probed.recordStatement(limitOf(0), HealthProbe, at(0s));
    CHECK_FALSE(probed.allowsStart(at(100s)));
    CHECK(probed.untilNextStart(at(100s)) == StatedLimit::MaxStartWait);
    StatedLimit unprobed;
    unprobed.recordStatement(limitOf(0), Response, at(0s));
    CHECK_FALSE(unprobed.allowsStart(at(4900ms)));
    CHECK(unprobed.allowsStart(at(5s)));
}

TEST_CASE("Guard: requests at a stated limit wait by rank and those whose turn comes too late are refused at once")
{
    Guard guard = readyGuard();
    guard.applyStatement(limitOf(10), Response, guard.startNumber(), at(10s));
    const TimePoint now = at(10s);
    std::uint32_t queued = 0;
    GuardOfferResult last;
    for (GuardTicket ticket = 1; ticket <= 20; ++ticket) {
        GuardOffer offer = offerOf(ticket, now, 2s);
        offer.objective = now + 450ms;
        offer.priority = 2;
        last = guard.offer(offer, now);
        queued += last.kind == GuardOfferResult::Kind::Queued ? 1 : 0;
    }
    // One request starts in each 100 ms, so four or five start within their objective.
    CHECK(queued >= 4);
    CHECK(queued <= 5);
    CHECK(last.refusal == GuardRefusal::AtStatedLimit);
    CHECK(last.retryAfter > 0ms);
    CHECK(last.retryAfter < 1s);
    GuardOffer urgent = offerOf(100, now, 2s);
    urgent.priority = 1;
    REQUIRE(guard.offer(urgent, now).kind == GuardOfferResult::Kind::Queued);
    CHECK(guard.tick(at(10100ms)).admitted == std::vector<GuardTicket>{100});
}

TEST_CASE("Guard: a load report counts slots as free only as far as the stated limit permits starts")
{
    Guard guard = readyGuard();
    CHECK(guard.load(at(10s)).limit == Slots);
    guard.applyStatement(limitOf(20), Response, guard.startNumber(), at(10s));
    CHECK(guard.load(at(10s)).limit == 2);
    guard.applyStatement(limitOf(0.5), Response, guard.startNumber(), at(10s));
    CHECK(guard.load(at(10s)).limit == 0);
    CHECK(guard.load(at(12s)).limit == 1);
}

TEST_CASE("Guard: a request that runs alone waits for the stated limit")
{
    Guard guard = readyGuard();
    guard.applyStatement(limitOf(1), Response, guard.startNumber(), at(10s));
    GuardOffer offer = offerOf(1, at(10s), 5s);
    offer.alone = true;
    CHECK(guard.offer(offer, at(10s)).kind == GuardOfferResult::Kind::Queued);
    CHECK_FALSE(guard.tryAcquireSlowdownProbe(at(10s)));
}

TEST_CASE("Guard: a statement concerns only the start of the target that made it")
{
    Guard guard = readyGuard();
    const std::uint64_t first = guard.startNumber();
    guard.applyStatement(limitOf(1), Response, first, at(10s));
    guard.announced({"boot-2", TargetState::Ready, Slots, 240}, at(11s));
    CHECK_FALSE(guard.statedLimit());
    CHECK_FALSE(guard.applyStatement(limitOf(1), Response, first, at(12s)));
    CHECK_FALSE(guard.statedLimit());
    CHECK(guard.applyStatement(limitOf(2), Response, guard.startNumber(), at(12s)));
    CHECK(guard.statedLimit() == 2.0);
}

TEST_CASE("Guard: two requests at most are in flight until the first statement if the target makes statements")
{
    Guard guard = readyGuard(true);
    CHECK(guard.limit(at(10s)) == 2);
    guard.applyStatement({}, HealthProbe, guard.startNumber(), at(10s));
    CHECK(guard.limit(at(10s)) == Slots);
    guard.announced({"boot-2", TargetState::Ready, Slots, 240}, at(11s));
    CHECK(guard.limit(at(11s)) == 2);
}

TEST_CASE("Guard: a target that states that it is leaving gets no request until it has started again")
{
    Guard guard = readyGuard();
    guard.applyStatement(limitOf(5), Response, guard.startNumber(), at(10s));
    GuardOffer waiting = offerOf(1, at(10s), 5s);
    waiting.objective = TimePoint::max();
    REQUIRE(guard.offer(waiting, at(10s)).kind == GuardOfferResult::Kind::Queued);
    const TargetStatement leaving{std::nullopt, false, true};
    const auto release = guard.applyStatement(leaving, Response, guard.startNumber(), at(10s));
    REQUIRE(release);
    CHECK(release->expired == std::vector<GuardTicket>{1});
    CHECK(guard.offer(offerOf(2, at(11s)), at(11s)).refusal == GuardRefusal::Leaving);
    CHECK(guard.load(at(11s)).state == TargetState::Leaving);
    // Later responses and announcements of the same start do not revoke it.
    guard.applyStatement({}, Response, guard.startNumber(), at(12s));
    guard.announced({"boot-1", TargetState::Ready, Slots, 240}, at(12s));
    CHECK(guard.offer(offerOf(3, at(12s)), at(12s)).refusal == GuardRefusal::Leaving);
    guard.announced({"boot-2", TargetState::Ready, Slots, 240}, at(13s));
    CHECK(guard.offer(offerOf(4, at(13s)), at(13s)).kind == GuardOfferResult::Kind::Admitted);
}

}
