/// Discrete-event simulation of one service that runs the real decision library in virtual time.
///
/// Use a Simulation to test or benchmark routing, admission and retries: it simulates the callers, nodes, links and
/// targets of a sample deployment under load and faults, and measures the results at callers and targets. A run is
/// determined by its seed. Policies other than Ours are baselines and ablations.
#pragma once

#include "shallotrelay/guard/guard.h"
#include "shallotrelay/routing/callplan.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace shallotrelay
{

using namespace std::chrono_literals;

/// Routing and admission policy of a simulation.
enum class SimulationPolicy {
    Ours, ///< The decision library, used as in the daemons.
    NoQueue, ///< Ours, but guards reject requests instead of queueing them.
    PowerOfTwo, ///< Ours, but nodes pick targets by the power of two choices.
    NoHealth, ///< Ours, but routers ignore the failures and latency of targets.
    Naive, ///< Random target, no guard, retry on any error.
    Oracle, ///< Global scheduler that knows the state of each target; the upper limit for all policies.
};

/// Returns the name of a policy in reports.
const char *toString(SimulationPolicy policy);

/// Topology, load and policy of a simulation.
struct SimulationOptions {
    std::string service = "redactie"; ///< Name of the service and prefix of target names.
    std::vector<std::string> dataCentres = {"brasov-a", "brasov-b", "sibiu-c"}; ///< Assigned to targets round-robin.
    std::uint32_t targetCount = 6; ///< Number of targets.
    std::uint32_t slots = 12; ///< Concurrent requests per target.
    std::uint32_t coldSlots = 2; ///< Concurrent requests per target during cold start.
    Duration callerLatency = 3ms; ///< One-way latency between callers and nodes.
    Duration dataCentreLatency = 1ms; ///< One-way latency between data centres.
    Duration meanWork = 20ms; ///< Mean service time of a request at a healthy target.
    Duration deadline = 2s; ///< Time from the arrival at a node to the deadline of a request.
    double load = 0.8; ///< Offered load as a fraction of all slots.
    double nonIdempotentShare = 0.1; ///< Fraction of requests that are not idempotent.
    Duration duration = 10s; ///< Time span in which callers send requests.
    SimulationPolicy policy = SimulationPolicy::Ours; ///< Routing and admission policy.
    std::uint64_t seed = 1; ///< Seed of all random number generators.
};

/// Returns the simulation options of the news service of the firm Tipar.
SimulationOptions tiparSimulation();

/// Returns the simulation options of the formula card service of the firm Consórcio.
SimulationOptions consorcioSimulation();

/// Results of a simulation run.
struct SimulationResults {
    std::uint64_t calls = 0; ///< Requests sent by callers.
    std::uint64_t succeeded = 0; ///< Successful responses before the deadline.
    std::uint64_t refused = 0; ///< Responses stating that the request did not run.
    std::uint64_t unknown = 0; ///< Responses stating that the request may have run.
    std::uint64_t failed = 0; ///< Server errors forwarded to callers.
    std::uint64_t unanswered = 0; ///< Requests without a response.
    std::uint64_t limitExceeded = 0; ///< Executions started at a target without a free slot.
    std::uint64_t doubleRuns = 0; ///< Non-idempotent requests whose execution started more than once.
    std::uint64_t falseNotRun = 0; ///< "Not run" responses to requests whose execution had started.
    std::uint64_t interruptedRequests
        = 0; ///< Requests interrupted when a data centre was taken out of service as planned.
    std::uint64_t lateStarts
        = 0; ///< Executions started in a data centre that has been out of service for more than 4 s.
    std::uint64_t starts = 0; ///< Executions started at targets.
    std::vector<Duration> latencies; ///< Latencies of successful responses, in ascending order.
    std::vector<std::uint64_t> callsBySecond; ///< Requests by second of sending.
    std::vector<std::uint64_t> succeededBySecond; ///< Successful responses by second in which the request was sent.
    std::vector<std::uint64_t> servedBySecond; ///< Successful responses by second of completion.
    std::map<std::string, std::uint64_t> startsByTarget; ///< Executions started, by target name.

    /// Returns a latency quantile of successful responses in milliseconds, or 0 without responses; `share` is between 0
    /// and 1.
    double quantileMs(double share) const;

    /// Returns the lowest fraction of successful responses among all seconds with requests.
    double lowestGoodputPerSecond() const;

    /// Returns the measure with a name of the script language, or NaN if the name is unknown.
    double byName(const std::string &name) const;
};

/// Simulation of one service in virtual time.
class Simulation
{
public:
    explicit Simulation(SimulationOptions options);
    ~Simulation();

    /// Schedules an action at a time after the start of the run.
    void schedule(Duration when, std::function<void()> action);

    /// Multiplies the service times of a target by a factor; 1 restores them.
    void setSlowdown(const std::string &target, double factor);

    /// Makes a target respond to each request with status 500 after 1 ms, or restores it.
    void setFailFast(const std::string &target, bool enabled);

    /// Kills a target; it restarts after 200 ms with a new boot id and stays in cold start for 2 s.
    void restart(const std::string &target);

    /// Makes a target announce that it is leaving, or that it is ready again.
    void setLeaving(const std::string &target, bool leaving);

    /// Drops messages from one node to another, or restores the link; the reverse direction is not affected.
    void setPartitioned(const std::string &from, const std::string &to, bool partitioned);

    /// Distributes a bundle that takes a data centre out of service or brings it back.
    void setOutOfService(const std::string &dataCentre, bool outOfService);

    /// Multiplies the offered load.
    void setLoadFactor(double factor);

    /// Returns the names of all targets.
    std::vector<std::string> targets() const;

    /// Runs the simulation until the deadlines of all requests have passed and returns the results.
    SimulationResults run();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

}
