/// The router of one service: chooses a target for each request from load reports, which are always somewhat stale.
///
/// By default a target is drawn at random with a weight that increases with its estimated free slots and decreases with
/// its recent failure rate and latency relative to the other targets of the service. Weighted random choice prevents
/// many nodes from choosing the same idle target. Comparing health with that of the other targets limits how many of
/// them are avoided: a fault that affects all targets equally changes no weight.
///
/// The router is not thread-safe and does no I/O. Report each attempt and each load report to it:
///
///     ServiceRouter router(options);
///     router.setTargets(targets, now);
///     std::optional<RouterChoice> choice = router.choose({}, now, random);
///     router.recordAttemptStart(choice->target, now);
///     router.recordLoadReport(choice->target, load, now);
///     router.recordAttemptOutcome(choice->target, outcome, now);
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/limits/slowphase.h"
#include "shallotrelay/locality/departurepolicy.h"
#include "shallotrelay/locality/roundtriptable.h"
#include "shallotrelay/messages.h"
#include "shallotrelay/routing/subset.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Algorithms for choosing a target.
enum class RoutingStrategy {
    WeightedFreeSlots, ///< Random choice weighted by estimated free slots, health and latency.
    PowerOfTwo, ///< Two random candidates; the one with the higher weight is chosen.
    UniformRandom, ///< Uniform random choice, a baseline for comparisons.
    EarliestFinish, ///< The earliest expected finish among a few random candidates; needs frequent load reports.
};

/// Options of a router.
struct RouterOptions {
    std::string dataCentre; ///< Data centre of the node.
    RoutingStrategy strategy = RoutingStrategy::WeightedFreeSlots; ///< Algorithm for choosing a target.
    double remoteWeight = 0.7; ///< Weight factor for targets in other data centres.
    std::string node{}; ///< Name of the node; if set, the node prefers a subset of the targets.
    SubsetSize subset{}; ///< Size of the preferred subset.
    bool useFailures = true; ///< Whether recent failures reduce the weight.
    bool useLatency = true; ///< Whether high recent latency reduces the weight.
    /// Value of traffic between data centres; if set, EarliestFinish uses other data centres only where that pays.
    std::optional<DepartureOptions> departures{};
};

/// A target that the router may choose.
struct RouterTarget {
    std::string name; ///< Name, unique within the service.
    std::string dataCentre; ///< Data centre of its VM.
    std::uint32_t limit = 0; ///< In-flight limit until a load report gives another.
    TargetState state = TargetState::Ready; ///< The announced state.
    bool inService = true; ///< Whether the bundle has it in service.
    std::string bootId; ///< Boot ID; a change resets the failure rate and latency learnt for the target.
    bool byGrant = false; ///< Whether it gets requests only while a load report shows that its guard may start them.

    bool operator==(const RouterTarget &other) const = default;
};

/// Expected cost of a request; zero where unknown.
struct RequestCost {
    Duration work{}; ///< Time at a target, used to compare waiting in a queue with running on a slow VM.
    double responseBytes = 0; ///< Bytes of the response, used to compare waiting with traffic between data centres.
    double requestBytes = 0; ///< Bytes of the request, for the same comparison.
    Duration objective{}; ///< Time until the objective is missed, zero if there is none.
};

/// The chosen target and the state on which the choice was based.
struct RouterChoice {
    std::string target; ///< Name of the target.
    std::uint32_t candidates = 0; ///< Number of targets that could take the request.
    double estimatedInFlight = 0; ///< Estimated number of requests in flight at the target.
    std::uint32_t limit = 0; ///< Last known in-flight limit of the target.
    bool remote = false; ///< Whether the target is in another data centre.
    std::uint32_t pacePercent = 0; ///< Last reported slowdown of its VM, in percent of the usual time; 0 if unknown.
    Duration reportAge{}; ///< Age of its last load report, zero if there is none.
};

/// Outcome of an attempt, for the health statistics of the target.
struct RouterOutcome {
    bool ran = false; ///< Whether the target ran the request; a refusal does not affect its health.
    bool failed = false; ///< Whether the target failed or could not be reached.
    Duration headLatency{}; ///< Time from the start of the attempt until the response head.
};

/// Chooses a target for each request to one service.
class ServiceRouter
{
public:
    explicit ServiceRouter(RouterOptions options);

    /// Replaces the list of targets and keeps the statistics of targets that remain.
    void setTargets(const std::vector<RouterTarget> &targets, TimePoint now);

    /// Returns a target that is not excluded, or none if no such target accepts requests.
    std::optional<RouterChoice> choose(const std::set<std::string> &excluded, TimePoint now, Random &random,
                                       const RequestCost &cost = {}) const;

    /// Returns the target for a request on trial. All nodes choose the same one, so that only one target at a time runs
    /// the request. Targets without a recent load report or with an in-flight limit of 0 are chosen last.
    std::optional<RouterChoice> chooseForTrial(std::uint64_t fingerprint, const std::set<std::string> &excluded,
                                               TimePoint now) const;

    /// Records the start of an attempt.
    void recordAttemptStart(const std::string &target, TimePoint now);

    /// Records a load report from the guard of a target.
    void recordLoadReport(const std::string &target, const LoadReport &load, TimePoint now);

    /// Records the time of a round trip to the VM of a target.
    void recordRoundTrip(const std::string &target, Duration roundTrip, TimePoint now);

    /// Records the time within which the guard of a target promised its next load report; after several missed reports
    /// the guard counts as silent.
    void recordReportInterval(const std::string &target, Duration next);

    /// Records the outcome of an attempt.
    void recordAttemptOutcome(const std::string &target, const RouterOutcome &outcome, TimePoint now);

    /// Returns the slowdown of a target in percent if it was reported after the given point in time, otherwise 0.
    std::uint32_t slowdownSince(const std::string &target, TimePoint since) const;

    /// Returns the names of the preferred targets, whose load reports the node subscribes to.
    std::vector<std::string> preferred() const;

    /// Returns the number of targets that accept requests.
    std::size_t usableTargets() const;

    /// Returns whether any target that is not excluded accepts requests.
    bool hasOtherTarget(const std::set<std::string> &excluded) const;

private:
    struct Entry {
        RouterTarget target;
        bool preferred = true;
        std::optional<LoadReport> report;
        TimePoint reportedAt;
        Duration reportInterval{}; // promised by the guard, zero if unknown
        std::uint32_t outstanding = 0;
        std::uint32_t startedSinceReport = 0;
        double failureRate = 0;
        TimePoint failureRateUpdated;
        double latency = 0; // seconds
        std::optional<TimePoint> slowSince; // start of the current slow phase of its VM
    };
    struct Averages {
        double utilisation = 0;
        double failureRate = 0; // median
        double latency = 0; // seconds, median
        double slowdown = 1; // time that work takes relative to the usual time
    };
    struct Candidate {
        const Entry *entry = nullptr;
        double weight = 0;
        double estimate = 0;
        double finishSeconds = 0; // expected time at the target, without the way to it
    };

    std::vector<Candidate> candidates(const std::set<std::string> &excluded, bool preferredOnly, TimePoint now,
                                      const RequestCost &cost) const;
    void updatePreferred();
    bool isSilent(const Entry &entry, TimePoint now) const;
    bool acceptsRequests(const Entry &entry) const;
    std::uint32_t limitOf(const Entry &entry) const;
    Averages averages(TimePoint now) const;
    double estimateInFlight(const Entry &entry, const Averages &averages, TimePoint now) const;
    double failureRateOf(const Entry &entry, TimePoint now) const;
    double weightOf(const Entry &entry, double estimate, const Averages &averages, TimePoint now) const;
    double finishTime(const Entry &entry, double estimate, const Averages &averages, const RequestCost &cost,
                      TimePoint now) const;
    double slowdownOf(const Entry &entry, const Averages &averages, TimePoint now) const;
    const Candidate &draw(const std::vector<Candidate> &candidates, const RequestCost &cost, Random &random) const;
    const Candidate &drawEarliestFinish(const std::vector<Candidate> &candidates, Random &random) const;
    const Candidate &drawByLocality(const std::vector<Candidate> &candidates, const RequestCost &cost,
                                    Random &random) const;
    double waySeconds(const Entry &entry, const RequestCost &cost) const;
    bool isAway(const Entry &entry) const;
    void updateUtilisation(TimePoint now);
    RouterChoice toChoice(const Candidate &candidate, std::size_t candidates, TimePoint now) const;

    void recordSlowPhase(Entry &entry, const LoadReport &load, TimePoint now);

    RouterOptions m_options;
    std::map<std::string, Entry> m_entries;
    SlowPhaseLength m_slowPhase;
    DeparturePolicy m_departures;
    RoundTripTable m_roundTrips;
    TimePoint m_nextUtilisation;
};

}
