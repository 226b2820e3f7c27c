/// The router of one service: chooses a target for each request from load reports that are always stale.
///
/// A target is drawn at random with a weight that grows with its estimated free slots and falls with its recent
/// failures and latency relative to the other targets of the service. Drawing by weight keeps many nodes from choosing
/// the same idle target; relative health keeps the share of targets that are avoided bounded, since a fault that all
/// targets share changes no weight.
///
/// The router is not thread-safe and does no I/O. Tell it about each try and each report:
///
///     ServiceRouter router(options);
///     router.setTargets(targets, now);
///     std::optional<RouterChoice> choice = router.choose({}, now, random);
///     router.started(choice->target, now);
///     router.reported(choice->target, load, now);
///     router.finished(choice->target, outcome, now);
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/limits/slowphase.h"
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

/// How targets are chosen.
enum class RoutingStrategy {
    WeightedFree, ///< Draw by estimated free slots, health and latency.
    PowerOfTwo, ///< Draw two at random and take the one with the lower estimated load.
    UniformRandom, ///< Draw at random; the naive baseline.
    EarliestFinish, ///< Of a few that are drawn, take the one that is expected to finish first; needs frequent reports.
};

/// How a router behaves.
struct RouterOptions {
    std::string dataCentre; ///< Data centre of the node.
    RoutingStrategy strategy = RoutingStrategy::WeightedFree; ///< How targets are chosen.
    double remoteWeight = 0.7; ///< Factor on the weight of targets in other data centres.
    std::string node{}; ///< Name of the node; with one, it prefers a part of the targets.
    SubsetSize subset{}; ///< How many targets it prefers.
    bool useFailures = true; ///< Whether recent failures lower a weight.
    bool useLatency = true; ///< Whether recent latency lowers a weight.
};

/// A target as the router may choose it.
struct RouterTarget {
    std::string name; ///< Name, unique in the service.
    std::string dataCentre; ///< Data centre of its VM.
    std::uint32_t limit = 0; ///< Requests at once until a report says otherwise.
    TargetState state = TargetState::Ready; ///< The announced state.
    bool inService = true; ///< Whether the bundle lets it serve.
    std::string bootId; ///< A change forgets what was learnt about it.

    bool operator==(const RouterTarget &other) const = default;
};

/// What a request is expected to take; zero where it is not known.
struct RequestCost {
    Duration work{}; ///< Time at a target, which helps to weigh a wait against a slow VM.
    double answerBytes = 0; ///< Bytes of the answer, which helps to weigh a wait against traffic between data centres.
};

/// The target that was chosen.
struct RouterChoice {
    std::string target; ///< Its name.
    std::uint32_t candidates = 0; ///< Targets that were looked at.
    double estimatedInFlight = 0; ///< Estimate of its requests in flight.
    std::uint32_t limit = 0; ///< Its last known limit.
    bool remote = false; ///< Whether it is in another data centre.
    std::uint32_t pacePercent = 0; ///< How long work takes on its VM, as last reported; 0 if unknown.
    Duration reportAge{}; ///< Age of its last report, zero if there is none.
};

/// How a try ended, as the router needs to know it.
struct RouterOutcome {
    bool ran = false; ///< Whether the target ran the request; a refusal tells nothing about its health.
    bool failed = false; ///< Whether the target failed or could not be reached.
    Duration headLatency{}; ///< Time from the start of the try until the head of the answer.
};

/// Chooses targets of one service.
class ServiceRouter
{
public:
    explicit ServiceRouter(RouterOptions options);

    /// Replaces the list of targets; what is known about targets that stay is kept.
    void setTargets(const std::vector<RouterTarget> &targets, TimePoint now);

    /// Chooses a target that is not excluded, or none if no target may take work.
    std::optional<RouterChoice> choose(const std::set<std::string> &excluded, TimePoint now, Random &random,
                                       const RequestCost &cost = {}) const;

    /// Chooses the target for a request on trial: all nodes choose the same one, so that one target tries it at a time.
    /// Targets that take no work at the moment come last.
    std::optional<RouterChoice> chooseForTrial(std::uint64_t print, const std::set<std::string> &excluded,
                                               TimePoint now) const;

    /// Notes that a try starts.
    void started(const std::string &target, TimePoint now);

    /// Takes in a load report of the target's guard.
    void reported(const std::string &target, const LoadReport &load, TimePoint now);

    /// Notes within which time the target's guard has promised the next report; several missing ones make it silent.
    void promised(const std::string &target, Duration next);

    /// Notes how a try ended.
    void finished(const std::string &target, const RouterOutcome &outcome, TimePoint now);

    /// Returns the pace of a target, in percent, that was reported after a point in time; 0 if none was.
    std::uint32_t paceSince(const std::string &target, TimePoint since) const;

    /// Returns the targets that are preferred, whose load the node wants to be told.
    std::vector<std::string> preferred() const;

    /// Returns how many targets may take work.
    std::size_t usableTargets() const;

    /// Returns whether a target that is not excluded may take work.
    bool hasTargetBeside(const std::set<std::string> &excluded) const;

private:
    struct Entry {
        RouterTarget target;
        bool preferred = true;
        std::optional<LoadReport> report;
        TimePoint reportedAt;
        Duration nextReport{}; // promised, zero if none was
        std::uint32_t outstanding = 0;
        std::uint32_t startedSinceReport = 0;
        double failureShare = 0;
        TimePoint failureNoted;
        double latency = 0; // seconds
        std::optional<TimePoint> slowSince; // start of a slow phase of its VM
    };
    struct Averages {
        double utilisation = 0;
        double failureShare = 0;
        double latency = 0; // seconds, median
        double pace = 1; // time that work takes relative to the usual time
    };
    struct Candidate {
        const Entry *entry = nullptr;
        double weight = 0;
        double estimate = 0;
    };

    std::vector<Candidate> candidates(const std::set<std::string> &excluded, bool preferredOnly, TimePoint now,
                                      const RequestCost &cost) const;
    void notePreferred();
    bool isSilent(const Entry &entry, TimePoint now) const;
    bool mayTakeWork(const Entry &entry) const;
    std::uint32_t limitOf(const Entry &entry) const;
    Averages averages(TimePoint now) const;
    double estimateInFlight(const Entry &entry, const Averages &averages, TimePoint now) const;
    double failureShareOf(const Entry &entry, TimePoint now) const;
    double weightOf(const Entry &entry, double estimate, const Averages &averages, TimePoint now) const;
    double finishTime(const Entry &entry, double estimate, const Averages &averages, const RequestCost &cost,
                      TimePoint now) const;
    double paceOf(const Entry &entry, const Averages &averages, TimePoint now) const;
    const Candidate &draw(const std::vector<Candidate> &candidates, Random &random) const;
    const Candidate &drawEarly(const std::vector<Candidate> &candidates, Random &random) const;
    RouterChoice toChoice(const Candidate &candidate, std::size_t candidates, TimePoint now) const;

    void noteSlowPhase(Entry &entry, const LoadReport &load, TimePoint now);

    RouterOptions m_options;
    std::map<std::string, Entry> m_entries;
    SlowPhaseLength m_slowPhase;
};

}
