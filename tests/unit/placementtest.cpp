#include "support.h"

#include "shallotrelay/routing/router.h"

#include <catch2/catch.hpp>

#include <array>
#include <queue>
#include <set>

namespace shallotrelay
{
namespace
{

constexpr std::uint32_t Slots = 12;
constexpr std::size_t Targets = 26;
constexpr std::uint32_t SlowPhaseSlowdown = 500;
constexpr std::uint32_t NormalSlowdown = 100;

/// Counts of how the nodes of a simulated service placed its requests.
struct PlacementCounts {
    int requests = 0;
    int placedAtFull = 0; ///< Requests placed at a target with all slots in use.
    int remote = 0; ///< Requests placed in another data centre.
    int slow = 0; ///< Requests placed on a VM in a slow phase.
};

std::string dataCentreOf(std::size_t index)
{
    return "dc" + std::to_string(index % 3);
}

/// Simulates in virtual time how many nodes place the requests of one service. Each target reports its load to all
/// nodes at about the given interval, and to the requesting node with each response. A quarter of the VMs is in a slow
/// phase at any time.
class PlacementSimulation
{
public:
    PlacementSimulation(std::size_t nodes, Duration reportInterval)
        : m_nodes(nodes)
        , m_reportInterval(reportInterval)
    {
        std::vector<RouterTarget> list;
        for (std::size_t i = 0; i < Targets; ++i) {
            list.push_back({"t" + std::to_string(i), dataCentreOf(i), Slots, TargetState::Ready, true, "boot"});
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            RouterOptions options;
            options.dataCentre = dataCentreOf(i);
            options.strategy = RoutingStrategy::EarliestFinish;
            m_routers.emplace_back(options);
            m_routers.back().setTargets(list, at(0s));
        }
    }

    /// Simulates a period at a constant rate, in requests per second; each request takes the same work.
    PlacementCounts run(Duration length, double rate, Duration work)
    {
        const auto interval = fromSeconds(1 / rate);
        const auto steps = static_cast<int>(length / interval);
        for (int i = 0; i < steps; ++i) {
            const TimePoint now = at(0s) + interval * i;
            finishUntil(now);
            updateSlowPhases(now);
            sendReports(now);
            place(now, work);
        }
        return m_counts;
    }

private:
    struct Finish {
        TimePoint at;
        std::size_t target = 0;
        std::size_t node = 0;

        bool operator>(const Finish &other) const
        {
            return at > other.at;
        }
    };

    void finishUntil(TimePoint now)
    {
        while (!m_finishes.empty() && m_finishes.top().at <= now) {
            const Finish it = m_finishes.top();
            m_finishes.pop();
            --m_running[it.target];
            ServiceRouter &router = m_routers[it.node];
            const std::string name = "t" + std::to_string(it.target);
            router.recordLoadReport(name, load(it.target), it.at);
            router.recordAttemptOutcome(name, {true, false, 40ms}, it.at);
        }
    }

    void updateSlowPhases(TimePoint now)
    {
        constexpr Duration Phase = std::chrono::milliseconds(150);
        const auto phase = now.time_since_epoch() / Phase;
        if (phase == m_phaseIndex) {
            return;
        }
        m_phaseIndex = phase;
        for (std::uint32_t &it : m_slowdowns) {
            it = randomBelow(m_random, 4) == 0 ? SlowPhaseSlowdown : NormalSlowdown;
        }
    }

    void sendReports(TimePoint now)
    {
        for (std::size_t i = 0; i < Targets; ++i) {
            if (now < m_nextReport[i]) {
                continue;
            }
            m_nextReport[i] = now + fromSeconds(toSeconds(m_reportInterval) * (0.75 + randomFraction(m_random) / 2));
            for (ServiceRouter &it : m_routers) {
                it.recordLoadReport("t" + std::to_string(i), load(i), now);
            }
        }
    }

    void place(TimePoint now, Duration work)
    {
        const std::size_t node = randomBelow(m_random, m_nodes);
        ServiceRouter &router = m_routers[node];
        const auto choice = router.choose({}, now, m_random, {work, 400});
        const std::size_t target = std::stoul(choice->target.substr(1));
        router.recordAttemptStart(choice->target, now);
        ++m_counts.requests;
        m_counts.placedAtFull += m_running[target] >= Slots ? 1 : 0;
        m_counts.remote += choice->remote ? 1 : 0;
        m_counts.slow += m_slowdowns[target] == SlowPhaseSlowdown ? 1 : 0;
        ++m_running[target];
        const double seconds = toSeconds(work) * m_slowdowns[target] / NormalSlowdown;
        m_finishes.push({now + fromSeconds(seconds), target, node});
    }

    LoadReport load(std::size_t target) const
    {
        LoadReport out;
        out.inFlight = std::min(m_running[target], Slots);
        out.queued = m_running[target] - out.inFlight;
        out.limit = Slots;
        out.state = TargetState::Ready;
        out.latencyUs = 50000;
        out.pacePercent = m_slowdowns[target];
        return out;
    }

    std::size_t m_nodes;
    Duration m_reportInterval;
    std::vector<ServiceRouter> m_routers;
    std::array<std::uint32_t, Targets> m_running{};
    std::array<std::uint32_t, Targets> m_slowdowns{};
    std::array<TimePoint, Targets> m_nextReport{};
    std::priority_queue<Finish, std::vector<Finish>, std::greater<>> m_finishes;
    std::int64_t m_phaseIndex = -1;
    Random m_random{5};
    PlacementCounts m_counts;
};

}

TEST_CASE("Placement by 63 nodes with load reports every 300 ms rarely meets full targets")
{
    // A third of the slots is in use; random placement meets a full target for one request in a thousand.
    const PlacementCounts counts = PlacementSimulation(63, 300ms).run(20s, 1000, 50ms);
    CAPTURE(counts.requests, counts.placedAtFull, counts.remote, counts.slow);
    CHECK(counts.placedAtFull * 100 < counts.requests);
    // Random placement would send a quarter of the requests to slow VMs; the phases change faster than reports arrive.
    CHECK(counts.slow * 4 < counts.requests);
}

TEST_CASE("Placement by 10 nodes with load reports every 40 ms avoids slow VMs and prefers the local data centre")
{
    const PlacementCounts counts = PlacementSimulation(10, 40ms).run(20s, 600, 50ms);
    CAPTURE(counts.requests, counts.placedAtFull, counts.remote, counts.slow);
    CHECK(counts.placedAtFull * 100 < counts.requests);
    CHECK(counts.slow * 8 < counts.requests);
    CHECK(counts.remote * 2 < counts.requests);
}

TEST_CASE("Router relies on an older slowdown report only if slow phases have been long")
{
    const auto choiceAfterPhases = [](Duration length, Duration age) {
        RouterOptions options;
        options.strategy = RoutingStrategy::EarliestFinish;
        ServiceRouter router(options);
        std::vector<RouterTarget> targets = {{"slow", "", Slots, TargetState::Ready, true, "boot"},
                                             {"busy", "", Slots, TargetState::Ready, true, "boot"}};
        std::set<std::string> others;
        for (int i = 0; i < 8; ++i) {
            others.insert("t" + std::to_string(i));
            targets.push_back({"t" + std::to_string(i), "", Slots, TargetState::Ready, true, "boot"});
        }
        router.setTargets(targets, at(0s));
        LoadReport slow;
        slow.limit = Slots;
        slow.pacePercent = SlowPhaseSlowdown;
        LoadReport normal = slow;
        normal.pacePercent = NormalSlowdown;
        TimePoint now = at(1s);
        for (int i = 0; i < 100; ++i) {
            router.recordLoadReport("slow", slow, now);
            router.recordLoadReport("slow", slow, now + length);
            router.recordLoadReport("slow", normal, now + length + 1ms);
            now += 2s;
        }
        LoadReport busy = normal;
        busy.inFlight = Slots - 1;
        router.recordLoadReport("slow", slow, now - age);
        router.recordLoadReport("busy", busy, now);
        for (const std::string &it : others) {
            router.recordLoadReport(it, normal, now);
        }
        Random random(1);
        return router.choose(others, now, random, {300ms})->target;
    };
    CHECK(choiceAfterPhases(50ms, 120ms) == "slow");
    CHECK(choiceAfterPhases(900ms, 120ms) == "busy");
    // A new report always counts: work that starts in a slow phase is slowed down by the same factor until its end.
    CHECK(choiceAfterPhases(50ms, 0ms) == "busy");
    CHECK(choiceAfterPhases(900ms, 0ms) == "busy");
}

}
