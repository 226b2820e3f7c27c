#include "scenarios/script.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace shallotrelay;

namespace
{

/// Generated fault: kind, location and start time as small integers, so that RapidCheck can shrink it.
using Fault = std::tuple<int, int, int>;

/// Returns the events of a fault on one target, link or data centre. Faults with a duration end after 1 s, load spikes
/// after 200 ms.
std::vector<ScriptEvent> eventsOf(const Fault &fault, const SimulationOptions &options)
{
    const auto [kind, location, tenths] = fault;
    const Duration begin = 500ms + tenths * 100ms;
    const std::string target = options.service + "-" + std::to_string(location % int(options.targetCount) + 1);
    const std::string a = "node-" + std::to_string(location % int(options.targetCount) + 1);
    const std::string b = "node-" + std::to_string((location + 1) % int(options.targetCount) + 1);
    const std::string dataCentre = options.dataCentres[static_cast<std::size_t>(location) % options.dataCentres.size()];
    switch (kind) {
    case 0:
        return {{begin, "slow", target, "x10"}, {begin + 1s, "restore", target, ""}};
    case 1:
        return {{begin, "failfast", target, ""}, {begin + 1s, "restore", target, ""}};
    case 2:
        return {{begin, "cold", target, ""}};
    case 3:
        return {{begin, "cut", a, b}, {begin + 1s, "heal", a, b}};
    case 4:
        return {{begin, "out", dataCentre, ""}, {begin + 1s, "in", dataCentre, ""}};
    case 5:
        return {{begin, "leave", target, ""}, {begin + 1s, "return", target, ""}};
    default:
        return {{begin, "load", "x2", ""}, {begin + 200ms, "load", "x1", ""}};
    }
}

Script scriptOf(const std::vector<Fault> &faults, bool tipar, int load, std::uint64_t seed)
{
    Script script;
    script.options = tipar ? tiparSimulation() : consorcioSimulation();
    script.options.load = load / 100.0;
    script.options.duration = 3s;
    script.options.seed = seed;
    for (const Fault &it : faults) {
        const auto events = eventsOf(it, script.options);
        script.events.insert(script.events.end(), events.begin(), events.end());
    }
    for (const char *it :
         {"limit_exceeded", "double_runs", "false_not_run", "unanswered", "cut_answers", "late_starts"}) {
        script.expectations.push_back({it, "==", 0});
    }
    return script;
}

}

TEST_CASE("Generated: the invariants of all scenarios hold under any combination of faults")
{
    const bool held = rc::check("invariants hold", [] {
        const auto fault = rc::gen::tuple(rc::gen::inRange(0, 7), rc::gen::inRange(0, 7), rc::gen::inRange(0, 20));
        const auto faults = *rc::gen::container<std::vector<Fault>>(fault);
        const bool tipar = *rc::gen::arbitrary<bool>();
        const int load = *rc::gen::inRange(20, 110);
        const Script script = scriptOf(faults, tipar, load, *rc::gen::inRange<std::uint64_t>(1, 1000));
        const std::vector<std::string> violations
            = unmetExpectations(script, runScript(script, SimulationPolicy::Ours));
        if (!violations.empty()) {
            RC_LOG() << script.text() << "# " << violations.front() << "\n";
        }
        RC_ASSERT(violations.empty());
    });
    CHECK(held);
}

TEST_CASE("Generated: the Naive policy violates the invariants under restarts and partitions")
{
    int failures = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const std::vector<Fault> faults = {{2, int(seed), 5}, {3, int(seed) + 2, 5}};
        const Script script = scriptOf(faults, seed % 2 == 0, 70, seed);
        failures += unmetExpectations(script, runScript(script, SimulationPolicy::Naive)).empty() ? 0 : 1;
    }
    CHECK(failures == 10);
}
