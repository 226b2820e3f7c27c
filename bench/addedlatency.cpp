// Measures the latency that the system adds to a request: an open-loop load goes directly to a stand-in target, through
// one node and through two nodes in the same run. Also measures processor time per request, resident memory and the
// maximum request rate.

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

/// Returns the 99th percentiles of each round for each address. The rounds alternate between the addresses, so that
/// other load on the machine affects all of them alike.
std::vector<std::vector<double>> p99ByAddress(const std::vector<Address> &addresses)
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

/// Returns the highest tested rate per second at which no request fails and the 99th percentile stays below
/// MaxUsefulP99Ms.
std::uint32_t highestRate(const Address &address)
{
    std::uint32_t best = 0;
    for (std::uint32_t rate = 2000; rate <= 64000; rate = rate * 5 / 4) {
        const LoadResult result = runLoad(loadTo(address, rate, 1500ms));
        const bool sustained = result.failed == 0 && toMilliseconds(result.quantile(0.99)) < MaxUsefulP99Ms;
        if (!sustained) {
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
        std::cerr << "the deployment with 1 target did not become ready\n";
        return;
    }
    runLoad(loadTo(far.callers, CallsPerSecond, 1s));
    const auto p99 = p99ByAddress({direct, near.callers, far.callers});
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
    const double frontend = toMilliseconds(far.process->processorTime() - farBefore) * 1000;
    const double guard = toMilliseconds(near.process->processorTime() - nearBefore) * 1000;
    report("node_cpu_us_per_call", frontend / calls, "us");
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
