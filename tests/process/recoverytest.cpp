#include "process/singlevotercontrol.h"

#include "shallotrelay/storage/replicalog.h"
#include "wire/frame.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>

namespace shallotrelay
{
namespace
{

/// Memory of a control VM of the platform.
constexpr std::uint64_t MaxResidentBytes = 256ULL * 1024 * 1024;
constexpr int Changes = 150;
constexpr std::size_t Routes = 2832;

nlohmann::json routeOf(std::size_t i, int timeoutMs)
{
    return {{"name", fmt::format("r-{:07}", i)},
            {"host", "ficu95.example"},
            {"pathPrefix", fmt::format("/w{:06}/", i)},
            {"routeType", "idempotent"},
            {"timeout", fmt::format("{}ms", timeoutMs)},
            {"targetLatency", "200ms"},
            {"priority", 2},
            {"weightedClusters", {{{"service", "a"}, {"weight", 90}}, {{"service", "b"}, {"weight", 10}}}},
            {"maxAttempts", 2}};
}

nlohmann::json largeState(int version, int base)
{
    nlohmann::json state = {{"version", version}, {"baseVersion", base}, {"routes", nlohmann::json::array()}};
    for (std::size_t i = 0; i < Routes; ++i) {
        state["routes"].push_back(routeOf(i, 1200));
    }
    for (const char *name : {"a", "b"}) {
        state["services"].push_back({{"name", name}, {"healthPath", "/healthz"}, {"maxConnections", 260}});
    }
    return state;
}

std::string changeOf(int version)
{
    const nlohmann::json change = {
        {"version", version},
        {"baseVersion", version - 1},
        {"upsert", {{"routes", nlohmann::json::array({routeOf(static_cast<std::size_t>(version), 1200 + version)})}}}};
    return change.dump();
}

/// Kills the control process and starts it again on the same data.
void restart(SingleVoterControl &control)
{
    control.process->signal(SIGKILL);
    control.process->wait();
    control.start("false");
}

/// Appends entries that each carry a large state, all of them committed, as versions of the program without a limit on
/// the bytes of the log have left them on disk.
void appendLargeEntries(const std::string &folder)
{
    RecoveredReplica recovery;
    const auto log = ReplicaLog::open(folder, &recovery);
    REQUIRE(log.ok());
    std::uint64_t index = recovery.disk.snapshot.index;
    const auto countEntry = [&](const ConsensusEntry &entry) {
        index = entry.index;
        return absl::OkStatus();
    };
    REQUIRE((*log)->readEntries(countEntry).ok());
    HardState hardState = recovery.disk.hardState;
    for (int version = 1; version <= Changes; ++version) {
        IntentOrder order;
        order.kind = IntentKind::State;
        order.digest = fmt::format("digest {}", version);
        order.basedOn = static_cast<std::uint64_t>(version - 1);
        order.version = static_cast<std::uint64_t>(version);
        order.document = largeState(version, version - 1).dump();
        const ConsensusEntry entry{++index, hardState.term, EntryKind::Command, encodePayload(order)};
        hardState.commit = index;
        REQUIRE((*log)->store({std::nullopt, hardState, {entry}}).ok());
    }
}

/// Returns an order that adds a route of `bytes` bytes.
std::string growthOf(int version, std::size_t bytes)
{
    nlohmann::json route = routeOf(static_cast<std::size_t>(version), 1200);
    route["pathPrefix"] = fmt::format("/{}{}/", version, std::string(bytes, 'x'));
    const nlohmann::json change = {
        {"version", version}, {"baseVersion", version - 1}, {"upsert", {{"routes", nlohmann::json::array({route})}}}};
    return change.dump();
}

}

// Guards against a state that no frame can carry to the other control VMs and to nodes.
TEST_CASE("Control process refuses a change after which the state would be too large and accepts a smaller one")
{
    constexpr std::size_t Growth = 1500 * 1024;
    SingleVoterControl control;
    REQUIRE(control.callWithRetries("PUT", "/config", largeState(1, 0).dump()).status == 200);
    REQUIRE(control.callWithRetries("PATCH", "/config", growthOf(2, Growth)).status == 200);
    CHECK(control.callWithRetries("PATCH", "/config", growthOf(3, Growth)).status == 400);
    CHECK(control.callWithRetries("PATCH", "/config", growthOf(3, 100)).status == 200);
}

// Guards against a log that holds so many large states that no control VM has the memory to start with it.
TEST_CASE("Control process starts within its memory after many changes of a large state and returns the state")
{
    SingleVoterControl control;
    REQUIRE(control.callWithRetries("PUT", "/config", largeState(1, 0).dump()).status == 200);
    for (int version = 2; version <= Changes; ++version) {
        REQUIRE(control.callWithRetries("PATCH", "/config", changeOf(version)).status == 200);
    }
    CHECK(control.process->peakResidentBytes() < MaxResidentBytes);
    restart(control);
    const HttpResponse response = control.callWithRetries("GET", "/config");
    REQUIRE(response.status == 200);
    CHECK(nlohmann::json::parse(response.body)["version"] == Changes);
    CHECK(control.process->peakResidentBytes() < MaxResidentBytes);
}

// Guards against the same failure with a log that was written before its size was limited.
TEST_CASE("Control process starts within its memory with a log of many large states and compacts it")
{
    SingleVoterControl control;
    REQUIRE(control.callWithRetries("POST", "/evacuations/brasov-a").status == 200);
    control.process->signal(SIGKILL);
    control.process->wait();
    appendLargeEntries(control.dataFolder());
    const std::string file = control.dataFolder() + "/replica.log";
    REQUIRE(std::filesystem::file_size(file) > 64 * 1024 * 1024);
    control.start("false");
    const HttpResponse response = control.callWithRetries("GET", "/config");
    REQUIRE(response.status == 200);
    CHECK(nlohmann::json::parse(response.body)["version"] == Changes);
    CHECK(control.process->peakResidentBytes() < MaxResidentBytes);
    constexpr std::uintmax_t MaxCompactedBytes = 32 * 1024 * 1024;
    CHECK(eventually([&] { return std::filesystem::file_size(file) < MaxCompactedBytes; }));
    restart(control);
    CHECK(control.callWithRetries("GET", "/config").body == response.body);
}

}
