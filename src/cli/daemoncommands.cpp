#include "cli/commandsupport.h"
#include "daemon/controldaemon.h"
#include "daemon/eventlog.h"
#include "daemon/nodedaemon.h"
#include "standin/loadtool.h"
#include "standin/standintarget.h"

#include <fmt/format.h>

#include <iostream>
#include <thread>

namespace shallotrelay
{
namespace
{

constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
/// Requests are served for this long after a stop signal, so that peers can first learn that the node is leaving.
constexpr Duration DrainGracePeriod = std::chrono::milliseconds(1500);

/// Polls a condition until it holds; returns false if it does not within the timeout.
bool waitUntil(const std::function<bool()> &condition, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(DrainPollInterval);
    }
    return true;
}

int runNode(const NodeSettings &settings, const Arguments &)
{
    limitAllocatorArenas();
    blockStopSignals();
    const auto log = EventLog::open(settings.logFile, settings.logLevel);
    if (!log.ok()) {
        return failWith(ExitFailed, std::string(log.status().message()));
    }
    const SystemClock clock;
    Runtime runtime(settings.threads);
    NodeDaemon node(runtime, clock, settings, **log);
    if (const absl::Status status = node.start(); !status.ok()) {
        return failWith(ExitFailed, std::string(status.message()));
    }
    runtime.start();
    waitForStopSignal();
    node.drain();
    std::this_thread::sleep_for(DrainGracePeriod);
    const bool drained = waitUntil([&] { return node.drained(); }, settings.drainTimeout);
    runtime.stop();
    return drained ? ExitOk
                   : failWith(ExitFailed, fmt::format("requests still in progress after --drain-timeout {}ms",
                                                      toMilliseconds(settings.drainTimeout)));
}

int runControl(const ControlSettings &settings, const Arguments &)
{
    limitAllocatorArenas();
    blockStopSignals();
    const auto trust = readFile(settings.trustFile);
    if (!trust.ok()) {
        return failWith(ExitFailed, std::string(trust.status().message()));
    }
    const auto log = EventLog::open(settings.logFile, settings.logLevel);
    if (!log.ok()) {
        return failWith(ExitFailed, std::string(log.status().message()));
    }
    const SystemClock clock;
    Runtime runtime(settings.threads);
    ControlDaemon control(runtime, clock, settings, **log);
    if (const absl::Status status = control.start(*trust); !status.ok()) {
        return failWith(ExitFailed, std::string(status.message()));
    }
    runtime.start();
    waitForStopSignal();
    runtime.stop();
    return ExitOk;
}

int runTarget(const TargetSettings &settings, const Arguments &)
{
    limitAllocatorArenas();
    blockStopSignals();
    const SystemClock clock;
    Runtime runtime(settings.threads);
    StandInTarget target(runtime, clock, settings);
    if (const absl::Status status = target.start(); !status.ok()) {
        return failWith(ExitFailed, std::string(status.message()));
    }
    runtime.start();
    waitForStopSignal();
    target.leave();
    std::this_thread::sleep_for(DrainGracePeriod);
    waitUntil([&] { return target.counts().inFlight == 0; }, std::chrono::minutes(1));
    runtime.stop();
    return ExitOk;
}

int runLoadAndPrint(const LoadSettings &settings, const Arguments &)
{
    const LoadResult result = runLoad(settings);
    fmt::print("answers: {} count\nfailed: {} count\n", result.latencies.size(), result.failed);
    for (const auto &it : result.statuses) {
        fmt::print("status_{}: {} count\n", it.first, it.second);
    }
    for (const auto &it : {std::pair("p50", 0.5), std::pair("p99", 0.99), std::pair("p999", 0.999)}) {
        fmt::print("{}: {:.3f} ms\n", it.first, toMilliseconds(result.quantile(it.second)));
    }
    return result.failed == 0 ? ExitOk : ExitFailed;
}

}

int runNodeCommand(const Arguments &args)
{
    return runWithSettings<NodeSettings>(
        "node", "Runs beside a target VM: front end for callers, router and guard of the local targets",
        nodeSettingSpecs(), args, parseNodeSettings, [](const NodeSettings &it) { return validate(it); }, runNode);
}

int runControlCommand(const Arguments &args)
{
    return runWithSettings<ControlSettings>(
        "control", "Stores the accepted bundles and the directory of announced targets", controlSettingSpecs(), args,
        parseControlSettings, [](const ControlSettings &it) { return validate(it); }, runControl);
}

int runTargetCommand(const Arguments &args)
{
    return runWithSettings<TargetSettings>(
        "target", "Runs a stand-in target for tests and demos", targetSettingSpecs(), args, parseTargetSettings,
        [](const TargetSettings &it) { return validate(it); }, runTarget);
}

int runLoadCommand(const Arguments &args)
{
    return runWithSettings<LoadSettings>(
        "load", "Generates an open-loop load and prints latencies", loadSettingSpecs(), args, parseLoadSettings,
        [](const LoadSettings &) { return absl::OkStatus(); }, runLoadAndPrint);
}

}
