#include "process/clusternodeharness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

namespace shallotrelay
{
namespace
{

/// Time within which a target that is leaving may still get requests.
constexpr Duration DrainTime = 2s;

std::vector<std::string> callerServices(const std::vector<RecordingTarget::Run> &runs)
{
    std::vector<std::string> out;
    for (const RecordingTarget::Run &it : runs) {
        out.push_back(it.callerService);
    }
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

}

// Guards against another writer's heartbeat that takes the place of the target and gives requests a false origin.
TEST_CASE("Node keeps its target and states its own service after a heartbeat of another service")
{
    const SystemClock clock;
    ClusterNodeHarness harness;
    REQUIRE(harness.announce({"i-1", "redactie", "ready", 1, 1000}) == 200);
    CHECK(harness.announce({"i-odd", "qo77nd1", "ready", 1, 2000}) == 400);
    const TimePoint since = clock.now();
    harness.sendRequests(1500ms);
    CHECK(harness.target.runsAfter(since).size() > 20);
    CHECK(callerServices(harness.target.runsAfter(since)) == std::vector<std::string>{"redactie"});
}

// Guards against an address that is used again: a late heartbeat of the former target must not lend its service.
TEST_CASE("Node states its own service although a late heartbeat of another service arrives before any other")
{
    ClusterNodeHarness harness;
    harness.target.setState("i-2", true);
    CHECK(harness.announce({"i-old", "arhiva", "ready", 40, 1000}) == 400);
    const SystemClock clock;
    std::this_thread::sleep_for(1500ms);
    const TimePoint since = clock.now();
    harness.sendRequests(500ms);
    CHECK(harness.target.runsAfter(since).size() > 5);
    CHECK(callerServices(harness.target.runsAfter(since)) == std::vector<std::string>{"redactie"});
}

// Guards against an acknowledged "draining" of a target whose clock was set back before its restart.
TEST_CASE("Node sends nothing to a draining target that restarted under its ID with an earlier start time")
{
    const SystemClock clock;
    ClusterNodeHarness harness;
    REQUIRE(harness.announce({"i-1", "redactie", "ready", 9, 5000}) == 200);
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        CHECK(harness.announce({"i-1", "redactie", "ready", sequence, 4400}) == 200);
        harness.sendRequests(700ms);
    }
    REQUIRE(harness.announce({"i-1", "redactie", "draining", 4, 4400}) == 200);
    const TimePoint acknowledged = clock.now();
    harness.sendRequests(DrainTime + 1s);
    CHECK(harness.target.runsAfter(acknowledged + DrainTime).empty());
}

// Guards against an entry without a start time that makes a draining target ready again.
TEST_CASE("Node sends nothing to a draining target after a heartbeat without a start time")
{
    const SystemClock clock;
    ClusterNodeHarness harness;
    REQUIRE(harness.announce({"i-1", "redactie", "ready", 1, 5000}) == 200);
    REQUIRE(harness.announce({"i-1", "redactie", "draining", 2, 5000}) == 200);
    const TimePoint acknowledged = clock.now();
    CHECK(harness.announce({"i-1", "redactie", "ready", 3, 0}) == 400);
    harness.sendRequests(DrainTime + 1s);
    CHECK(harness.target.runsAfter(acknowledged + DrainTime).empty());
}

TEST_CASE("Node does not acknowledge a heartbeat that it ignores as outdated")
{
    ClusterNodeHarness harness;
    REQUIRE(harness.announce({"i-1", "redactie", "ready", 7, 5000}) == 200);
    CHECK(harness.announce({"i-1", "redactie", "ready", 6, 5000}) == 409);
    CHECK(harness.announce({"i-1", "redactie", "ready", 8, 5000}) == 200);
}

}
