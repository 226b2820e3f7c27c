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
constexpr std::uint32_t SlowPace = 500;
constexpr std::uint32_t UsualPace = 100;

/// How the nodes of a simulated service placed its requests.
struct Placing {
    int requests = 0;
    int foundFull = 0; ///< Requests that met a target with all slots in use.
    int remote = 0; ///< Requests that went to another data centre.
    int slow = 0; ///< Requests that went to a VM in a slow phase.
};

std::string dataCentreOf(std::size_t index)
{
    return "dc" + std::to_string(index % 3);
}

/// Many nodes place the requests of one service in virtual time. Each target tells its load to all nodes every few
/// hundred milliseconds and in each answer to the node that asked; a quarter of the VMs is in a slow phase.
class PlacingSimulation
{
public:
    PlacingSimulation(std::size_t nodes, Duration reportGap)
        : m_nodes(nodes)
        , m_reportGap(reportGap)
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

    /// Plays some seconds at a steady rate of requests a second, each of which takes the same work.
    Placing run(Duration length, double rate, Duration work)
    {
        const auto gap = fromSeconds(1 / rate);
        const auto steps = static_cast<int>(length / gap);
        for (int i = 0; i < steps; ++i) {
            const TimePoint now = at(0s) + gap * i;
            finishUntil(now);
            changePaces(now);
            reportAll(now);
            place(now, work);
        }
        return m_placing;
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
            router.reported(name, load(it.target), it.at);
            router.finished(name, {true, false, 40ms}, it.at);
        }
    }

    void changePaces(TimePoint now)
    {
        constexpr Duration Phase = std::chrono::milliseconds(150);
        const auto phase = now.time_since_epoch() / Phase;
        if (phase == m_phase) {
            return;
        }
        m_phase = phase;
        for (std::uint32_t &it : m_paces) {
            it = randomBelow(m_random, 4) == 0 ? SlowPace : UsualPace;
        }
    }

    void reportAll(TimePoint now)
    {
        for (std::size_t i = 0; i < Targets; ++i) {
            if (now < m_nextReport[i]) {
                continue;
            }
            m_nextReport[i] = now + fromSeconds(toSeconds(m_reportGap) * (0.75 + randomFraction(m_random) / 2));
            for (ServiceRouter &it : m_routers) {
                it.reported("t" + std::to_string(i), load(i), now);
            }
        }
    }

    void place(TimePoint now, Duration work)
    {
        const std::size_t node = randomBelow(m_random, m_nodes);
        ServiceRouter &router = m_routers[node];
        const auto choice = router.choose({}, now, m_random, {work, 400});
        const std::size_t target = std::stoul(choice->target.substr(1));
        router.started(choice->target, now);
        ++m_placing.requests;
        m_placing.foundFull += m_running[target] >= Slots ? 1 : 0;
        m_placing.remote += choice->remote ? 1 : 0;
        m_placing.slow += m_paces[target] == SlowPace ? 1 : 0;
        ++m_running[target];
        const double seconds = toSeconds(work) * m_paces[target] / UsualPace;
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
        out.pacePercent = m_paces[target];
        return out;
    }

    std::size_t m_nodes;
    Duration m_reportGap;
    std::vector<ServiceRouter> m_routers;
    std::array<std::uint32_t, Targets> m_running{};
    std::array<std::uint32_t, Targets> m_paces{};
    std::array<TimePoint, Targets> m_nextReport{};
    std::priority_queue<Finish, std::vector<Finish>, std::greater<>> m_finishes;
    std::int64_t m_phase = -1;
    Random m_random{5};
    Placing m_placing;
};

}

TEST_CASE("Sixty nodes with reports of a quarter of a second do not gather at the target that told the least load")
{
    // A third of the slots is in use; placing at random fills a target for one request in a thousand.
    const Placing placing = PlacingSimulation(63, 300ms).run(20s, 1000, 50ms);
    CAPTURE(placing.requests, placing.foundFull, placing.remote, placing.slow);
    CHECK(placing.foundFull * 100 < placing.requests);
    // A quarter of the VMs is slow at any time, and reports come less often than phases change.
    CHECK(placing.slow * 4 < placing.requests);
}

TEST_CASE("Few nodes with fresh reports stay clear of slow VMs and prefer their own data centre")
{
    const Placing placing = PlacingSimulation(10, 40ms).run(20s, 600, 50ms);
    CAPTURE(placing.requests, placing.foundFull, placing.remote, placing.slow);
    CHECK(placing.foundFull * 100 < placing.requests);
    CHECK(placing.slow * 8 < placing.requests);
    CHECK(placing.remote * 2 < placing.requests);
}

TEST_CASE("The length of slow phases is learnt: a pace that was told a while ago counts where they are long")
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
        slow.pacePercent = SlowPace;
        LoadReport usual = slow;
        usual.pacePercent = UsualPace;
        TimePoint now = at(1s);
        for (int i = 0; i < 100; ++i) {
            router.reported("slow", slow, now);
            router.reported("slow", slow, now + length);
            router.reported("slow", usual, now + length + 1ms);
            now += 2s;
        }
        LoadReport busy = usual;
        busy.inFlight = Slots - 1;
        router.reported("slow", slow, now - age);
        router.reported("busy", busy, now);
        for (const std::string &it : others) {
            router.reported(it, usual, now);
        }
        Random random(1);
        return router.choose(others, now, random, {300ms})->target;
    };
    CHECK(choiceAfterPhases(50ms, 120ms) == "slow");
    CHECK(choiceAfterPhases(900ms, 120ms) == "busy");
    // Just told, it counts in any case: work that starts in a slow phase takes as many times longer to its end.
    CHECK(choiceAfterPhases(50ms, 0ms) == "busy");
    CHECK(choiceAfterPhases(900ms, 0ms) == "busy");
}

}
