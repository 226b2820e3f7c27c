#include "process/clusternodeharness.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <thread>
#include <vector>

namespace shallotrelay
{
namespace
{

/// Time within which a target that is leaving may still get requests.
constexpr Duration DrainTime = 2s;

std::set<std::string> callerServices(const std::vector<RecordingTarget::Run> &runs)
{
    std::set<std::string> out;
    for (const RecordingTarget::Run &it : runs) {
        out.insert(it.callerService);
    }
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
    CHECK(callerServices(harness.target.runsAfter(since)) == std::set<std::string>{"redactie"});
}

// Guards against an address that is used again: a late heartbeat of the former target must not lend its service.
TEST_CASE("Node states its own service although a late heartbeat of another service arrives before any other")
{
    ClusterNodeHarness harness;
    harness.target.setState("i-2", true);
    CHECK(harness.announce({"i-old", "arhiva", "ready", 40, 1000}) == 400);
    const SystemClock clock;
    std::this_thread::sleep_for(1500ms);
    REQUIRE(harness.announce({"i-2", "redactie", "ready", 1, 2000}) == 200);
    const TimePoint since = clock.now();
    harness.sendRequests(500ms);
    CHECK(harness.target.runsAfter(since).size() > 5);
    CHECK(callerServices(harness.target.runsAfter(since)) == std::set<std::string>{"redactie"});
}

// Guards against an address that is used again: a target of another service must not run requests to the former one.
TEST_CASE("Target of another service that comes up at the address of a target runs no requests")
{
    const SystemClock clock;
    ClusterNodeHarness harness;
    REQUIRE(harness.announce({"i-1", "redactie", "ready", 1, 1000}) == 200);
    const TimePoint since = clock.now();
    harness.target.setState("i-9", true);
    harness.sendRequests(1500ms);
    CHECK(harness.announce({"i-9", "arhiva", "ready", 1, 2000}) == 400);
    harness.sendRequests(1500ms);
    CHECK(harness.target.runsAfter(since).empty());
    harness.target.setState("i-2", true);
    REQUIRE(eventually([&] { return harness.announce({"i-2", "redactie", "ready", 1, 3000}) == 200; }));
    CHECK(eventually([&] { return harness.request().rfind("HTTP/1.1 200", 0) == 0; }));
}

TEST_CASE("Target that a starting node found runs no more requests once it names another service")
{
    const SystemClock clock;
    ClusterNodeHarness harness;
    REQUIRE(harness.announce({"i-1", "arhiva", "ready", 1, 1000}) == 400);
    const TimePoint since = clock.now();
    harness.sendRequests(1500ms);
    CHECK(harness.target.runsAfter(since).empty());
}

TEST_CASE("Target of another service that comes up after the start of the node runs no requests")
{
    const SystemClock clock;
    ClusterNodeHarness harness;
    harness.target.setState("", true);
    const TimePoint since = clock.now();
    harness.restartNode();
    std::this_thread::sleep_for(1s);
    harness.target.setState("i-9", true);
    harness.sendRequests(1500ms);
    CHECK(harness.target.runsAfter(since).empty());
}

TEST_CASE("Node that starts beside a target of another service sends it nothing")
{
    const SystemClock clock;
    ClusterNodeHarness harness;
    harness.target.setState("i-9", true);
    const TimePoint since = clock.now();
    harness.restartNode();
    harness.sendRequests(1500ms);
    CHECK(harness.target.runsAfter(since).empty());
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

// Guards against an odd entry among the heartbeats that ends the node or stops it from following its target.
TEST_CASE("Node refuses odd heartbeats sent a hundred times and keeps serving and following its target")
{
    const SystemClock clock;
    ClusterNodeHarness harness;
    REQUIRE(harness.announce({"i-1", "redactie", "ready", 1, 5000}) == 200);
    const auto entry = [&](const std::string &slots, const std::string &address, const std::string &more) {
        return R"({"service":"redactie","zone":"a","version":"v","state":"ready","coldRemaining":"0ms","sequence":9,)"
               R"("born":9999,"slots":)"
               + slots + R"(,"address":")" + address + '"' + more + '}';
    };
    const std::string target = harness.target.address().text();
    constexpr std::size_t Depth = 15000;
    const std::string deep = std::string(Depth, '[') + std::string(Depth, ']');
    const std::vector<std::string> odd = {entry("12", "127.0.0.1:65536", ""),
                                          entry("12", "127.0.0.1:-1", ""),
                                          entry("12", "127.0.0.1:99999999999999999999", ""),
                                          entry("12", "127.0.0.1:0", ""),
                                          entry("12", "", ""),
                                          entry("18446744073709551616", target, ""),
                                          entry("4294967295", target, ""),
                                          entry("1e999", target, ""),
                                          entry("-1", target, ""),
                                          entry("12", target, R"(,"x":)" + deep),
                                          entry("12", target, R"(,"sequence":99999999999999999999999)"),
                                          entry("12", target, R"(,"born":1e400)"),
                                          entry("12", target, R"(,"coldRemaining":"9999999999999999h")"),
                                          deep,
                                          "\xff\xfe{",
                                          ""};
    for (int i = 0; i < 100; ++i) {
        for (const std::string &it : odd) {
            REQUIRE(harness.announceRaw("i-odd", it) == 400);
        }
    }
    CHECK(harness.announceRaw("i-odd", std::string(100 * 1024, ' ')) == 413);
    CHECK(harness.node->running());
    CHECK(harness.announce({"i-1", "redactie", "ready", 2, 5000}) == 200);
    const TimePoint since = clock.now();
    harness.sendRequests(500ms);
    CHECK(harness.target.runsAfter(since).size() > 5);
}

TEST_CASE("Node does not acknowledge a heartbeat that it ignores as outdated")
{
    ClusterNodeHarness harness;
    REQUIRE(harness.announce({"i-1", "redactie", "ready", 7, 5000}) == 200);
    CHECK(harness.announce({"i-1", "redactie", "ready", 6, 5000}) == 409);
    CHECK(harness.announce({"i-1", "redactie", "ready", 8, 5000}) == 200);
}

}
