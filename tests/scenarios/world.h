/// Fakes of the targets, links and callers of one service in virtual time, around the real decision logic.
///
/// A World runs one service of a sample deployment under a load and faults and measures what callers and targets see.
/// The same seed gives the same run. Policies other than Ours are baselines and ablations to compare with.
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

/// How requests are brought to targets.
enum class WorldPolicy {
    Ours, ///< The decision library as the daemons use it.
    NoQueue, ///< Ours, but a guard refuses at once in place of queueing.
    PowerOfTwo, ///< Ours, but with the power of two choices.
    NoHealth, ///< Ours, but blind to failures and latency.
    Naive, ///< Random choice, no guard, retry on any error.
    Oracle, ///< Knows each true load; the bound that no policy can beat.
};

/// Returns the name of a policy for reports.
const char *toString(WorldPolicy policy);

/// What a world is made of.
struct WorldOptions {
    std::string service = "redactie"; ///< Name of the service, which its targets' names start with.
    std::vector<std::string> dataCentres = {"brasov-a", "brasov-b", "sibiu-c"}; ///< Targets stand in them in turn.
    std::uint32_t workers = 6; ///< Number of targets.
    std::uint32_t slots = 12; ///< Requests at once for each target.
    std::uint32_t coldSlots = 2; ///< Requests at once in cold start.
    Duration callerLatency = 3ms; ///< One way between callers and nodes.
    Duration placeLatency = 1ms; ///< One way between data centres.
    Duration meanWork = 20ms; ///< Mean time that a request takes at a target.
    Duration deadline = 2s; ///< Time after which an answer is of no use.
    double load = 0.8; ///< Offered load as a share of all slots.
    double saveShare = 0.1; ///< Share of requests that must not run twice.
    Duration duration = 10s; ///< Time during which requests arrive.
    WorldPolicy policy = WorldPolicy::Ours; ///< How requests are brought to targets.
    std::uint64_t seed = 1; ///< Seed of all randomness.
};

/// Returns the world of the news service of Tipar.
WorldOptions tiparWorld();

/// Returns the world of the formula card service of the Consórcio.
WorldOptions consorcioWorld();

/// What a run showed.
struct WorldMeasures {
    std::uint64_t calls = 0; ///< Requests that callers sent.
    std::uint64_t whole = 0; ///< Whole answers in time.
    std::uint64_t refused = 0; ///< Answers that the request did not run.
    std::uint64_t unknown = 0; ///< Answers that the request may have run.
    std::uint64_t failed = 0; ///< Server errors that were passed on.
    std::uint64_t unanswered = 0; ///< Requests without any answer.
    std::uint64_t limitExceeded = 0; ///< Starts at a target that had as much as it bears.
    std::uint64_t doubleRuns = 0; ///< Saves that started at a target more than once.
    std::uint64_t falseNotRun = 0; ///< Answers "not run" to requests that a target started.
    std::uint64_t cutAnswers = 0; ///< Requests in progress that a planned move cut off.
    std::uint64_t lateStarts = 0; ///< Starts in a data centre more than 4 s after it was taken out.
    std::uint64_t starts = 0; ///< Starts at targets.
    std::vector<Duration> latencies; ///< Of whole answers, in order of size.
    std::vector<std::uint64_t> callsBySecond; ///< Requests by the second in which they were sent.
    std::vector<std::uint64_t> wholeBySecond; ///< Whole answers by the second in which the request was sent.
    std::vector<std::uint64_t> servedBySecond; ///< Whole answers by the second in which they were ready.
    std::map<std::string, std::uint64_t> startsByTarget; ///< Starts by target.

    /// Returns the latency that a share of whole answers does not exceed, in milliseconds.
    double quantileMs(double share) const;

    /// Returns the least share of whole answers among all seconds with requests.
    double worstSecond() const;

    /// Returns a measure by the name that scripts use.
    double byName(const std::string &name) const;
};

/// One service in virtual time.
class World
{
public:
    explicit World(WorldOptions options);
    ~World();

    /// Does something at a time from the start.
    void at(Duration when, std::function<void()> what);

    /// Makes a target take longer by a factor; 1 restores it.
    void slow(const std::string &target, double factor);

    /// Makes a target fail at once, or restores it.
    void failFast(const std::string &target, bool on);

    /// Kills a target; it is back after a moment, cold for two seconds, with a new boot id.
    void restart(const std::string &target);

    /// Lets a target announce that it leaves, or that it is back.
    void leave(const std::string &target, bool on);

    /// Drops messages from one node to another.
    void cut(const std::string &from, const std::string &to, bool on);

    /// Rolls a bundle that takes a data centre out of service or brings it back.
    void moveDataCentre(const std::string &dataCentre, bool out);

    /// Multiplies the offered load.
    void setLoadFactor(double factor);

    /// Returns the names of the targets.
    std::vector<std::string> targets() const;

    /// Runs until all requests have their answers.
    WorldMeasures run();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

}
