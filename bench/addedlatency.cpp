// Latency that the system adds to a call: direct to a stand-in target, through one node, and through two nodes, with an
// open-loop load in the same run. Also the processor time for each call, the resident memory, and the highest rate.

#include "process/processes.h"
#include "report.h"
#include "standin/loadtool.h"

#include <algorithm>
#include <iostream>
#include <thread>

using namespace shallotrelay;

namespace
{

constexpr std::uint32_t CallsPerSecond = 330;
constexpr int Rounds = 5;
constexpr double TargetAddedMs = 0.35;
constexpr double MaxUsefulP99Ms = 5;

LoadSettings loadTo(const Address &address, std::uint32_t rate, Duration duration)
{
    LoadSettings settings;
    settings.address = address;
    settings.host = "redactie.tipar";
    settings.path = "/item";
    settings.method = "GET";
    settings.rate = rate;
    settings.duration = duration;
    settings.connections = 32;
    settings.timeout = 5s;
    return settings;
}

/// The same load again and again to each address in turn, so that a busy moment of the machine meets all of them.
std::vector<std::vector<double>> p99InTurn(const std::vector<Address> &addresses)
{
    std::vector<std::vector<double>> out(addresses.size());
    for (int i = 0; i < Rounds; ++i) {
        for (std::size_t k = 0; k < addresses.size(); ++k) {
            const LoadResult result = runLoad(loadTo(addresses[k], CallsPerSecond, 3s));
            out[k].push_back(toMilliseconds(result.quantile(0.99)));
        }
    }
    return out;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// The highest rate at which all calls are answered and the 99th percentile stays useful.
std::uint32_t highestRate(const Address &address)
{
    std::uint32_t best = 0;
    for (std::uint32_t rate = 2000; rate <= 64000; rate = rate * 5 / 4) {
        const LoadResult result = runLoad(loadTo(address, rate, 1500ms));
        const bool carried = result.failed == 0 && toMilliseconds(result.quantile(0.99)) < MaxUsefulP99Ms;
        if (!carried) {
            break;
        }
        best = rate;
    }
    return best;
}

void reportAll()
{
    Deployment deployment;
    const NodeProcess &near = deployment.addNode("brasov-a");
    const NodeProcess &far = deployment.addNode("brasov-b");
    const Address direct = freeAddress();
    deployment.addTarget(near, "redactie-1", {"--listen", direct.text()});
    deployment.roll();
    if (!deployment.ready(1)) {
        std::cerr << "the deployment did not get ready\n";
        return;
    }
    runLoad(loadTo(far.callers, CallsPerSecond, 1s));
    const auto p99 = p99InTurn({direct, near.callers, far.callers});
    const double addedOne = median(p99[1]) - median(p99[0]);
    const double addedTwo = median(p99[2]) - median(p99[0]);
    report("direct_p99_ms", median(p99[0]), "ms");
    report("added_p99_one_node_ms", addedOne, "ms");
    report("added_p99_two_nodes_ms", addedTwo, "ms");
    report("added_p99_two_nodes_worst_round_ms", *std::max_element(p99[2].begin(), p99[2].end()) - median(p99[0]),
           "ms");
    report("target_added_p99_ms", TargetAddedMs, "ms");
    report("missed_targets", (addedOne > TargetAddedMs ? 1 : 0) + (addedTwo > TargetAddedMs ? 1 : 0), "count");

    const Duration nearBefore = near.process->processorTime();
    const Duration farBefore = far.process->processorTime();
    const LoadResult steady = runLoad(loadTo(far.callers, 2000, 4s));
    const double calls = static_cast<double>(steady.latencies.size());
    const double door = toMilliseconds(far.process->processorTime() - farBefore) * 1000;
    const double guard = toMilliseconds(near.process->processorTime() - nearBefore) * 1000;
    report("node_cpu_us_per_call", door / calls, "us");
    report("guard_cpu_us_per_call", guard / calls, "us");
    report("node_resident_mb", static_cast<double>(far.process->residentBytes()) / 1e6, "MB");
    const Duration idleBefore = far.process->processorTime();
    std::this_thread::sleep_for(5s);
    report("node_idle_cpu_percent", toMilliseconds(far.process->processorTime() - idleBefore) / 50, "%");
    report("direct_max_calls_per_s", highestRate(direct), "1/s");
    report("node_max_calls_per_s", highestRate(near.callers), "1/s");
    report("two_nodes_max_calls_per_s", highestRate(far.callers), "1/s");
}

}

int main()
{
    reportAll();
    return 0;
}
