/// Decides whether a new version of a service is worse than the old one, by comparing both on the same routes in the
/// same intervals.
///
/// Load pattern: both versions serve at once, the new one a small share. Bad versions fail part of their requests or
/// are several times slower: at once, later, under load or on one route only. Trouble of the machines and the network
/// hits both versions, and single targets of either version fail or slow down for some seconds.
///
/// Method: the answers of an interval form likelihood ratios against the hypothesis that the new version fails at most
/// 2.5 points more often than the old one on that route (Bernoulli), and that its latencies are at most 1.4 times those
/// of the old one (ranks within the buckets of the old one). The evidence is a mixture over routes, alternatives and
/// intervals at which a fault may begin, so that it may be looked at after each interval. It ignores as many targets as
/// may be at fault on their own, judged by the targets of the old version, and at least one if there are two.
///
/// Rates of error over a whole roll-out with three targets of the new version or more: a good version is found bad in
/// at most 1 of 1000, and a version that is found good fails 20 points more often or has latencies of more than twice
/// the old ones in at most 1 of 100. With two targets, both may be at fault on their own.
///
///     RolloutJudge judge(intervals);
///     judge.add("vm-7", Side::New, "read", counts); // for each target and route
///     judge.endInterval();
///     if (judge.verdict().finding == RolloutFinding::Bad) { ... }
#pragma once

#include "shallotrelay/rollout/latencybuckets.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace shallotrelay
{

/// Responses on one route.
struct RolloutCounts {
    std::uint64_t responses = 0; ///< Number of requests that ended.
    std::uint64_t failures = 0; ///< Number of these that failed.
    std::array<std::uint64_t, RolloutLatencyBuckets> latencies{}; ///< Number of requests by bucket of latency.

    RolloutCounts &operator+=(const RolloutCounts &other);
};

/// The version to which a target belongs.
enum class RolloutSide {
    Old, ///< The version in service.
    New, ///< The version under trial.
};

/// What the evidence shows so far.
enum class RolloutFinding {
    Undecided, ///< The evidence is not sufficient.
    Good, ///< The version is not worse; later evidence may still turn it into Bad.
    Bad, ///< The version is worse; final.
};

/// Returns the finding in lower case, for logs.
std::string toString(RolloutFinding finding);

/// A finding with the figures that led to it.
struct RolloutVerdict {
    RolloutFinding finding = RolloutFinding::Undecided; ///< The finding.
    std::string route; ///< The route with the strongest evidence, empty if that is all routes together.
    bool byLatency = false; ///< Whether the strongest evidence comes from latencies rather than failures.
    double evidence = 0; ///< Natural logarithm of the evidence against the new version.
    std::uint64_t responses = 0; ///< Responses of the new version that were compared.
    std::uint64_t failures = 0; ///< Failures among them.
    double oldFailureShare = 0; ///< Share of failures of the old version on the same routes in the same intervals.
    double rank = 0; ///< Mean rank of the latencies among those of the old version; 0.5 if they are equal.
    std::size_t targets = 0; ///< Number of targets of the new version with responses.
    std::size_t ignored = 0; ///< Number of these that may be at fault on their own.
    bool needsTargets = false; ///< Whether the evidence is strong, but comes from too few targets.
};

/// Judges one roll-out; not thread-safe.
class RolloutJudge
{
public:
    /// The number of intervals in which the roll-out is judged spreads the prior of the beginning of a fault.
    explicit RolloutJudge(std::size_t intervals);

    /// Adds responses of a target on a route in the current interval.
    void add(const std::string &target, RolloutSide side, const std::string &route, const RolloutCounts &counts);

    /// Ends the interval and updates the verdict.
    void endInterval();

    /// Returns the verdict after the last interval.
    const RolloutVerdict &verdict() const;

    /// Returns the estimated number of responses that failed or were slow because of the new version.
    double excessResponses() const;

    /// Returns whether the latest responses speak against the version, for a decision that cannot wait any longer.
    bool leansBad() const;

private:
    /// Failure alternatives, followed by latency alternatives.
    static constexpr std::size_t Alternatives = 7;

    /// Logarithms of likelihood ratios or of evidence, by alternative.
    using Evidence = std::array<double, Alternatives>;

    /// Evidence that the version is good, by kind.
    struct Clearance {
        double failures = 0;
        double latencies = 0;
    };

    /// Responses that could be compared, with what the old version would have shown.
    struct Comparison {
        std::uint64_t responses = 0;
        std::uint64_t failures = 0;
        double expectedFailures = 0;
        double toleratedFailures = 0;
        double rankSum = 0;
        double toleratedRanks = 0; // against latencies 1.4 times as high
        std::uint64_t ranked = 0;

        Comparison &operator+=(const Comparison &other);
    };

    /// What a route contributes to the evidence of a target in one interval.
    struct Contribution {
        Evidence ratios{};
        Clearance clearance;
        Comparison comparison;
    };

    /// One interval of a target, by index of the route; index 0 is all routes together.
    using Contributions = std::map<std::size_t, Contribution>;

    /// How the old version serves a route now.
    struct Reference {
        double failureShare = 0;
        double failureBound = 0;
        double tolerated = 0; // as failureBound, without the error of the estimate
        bool hasFailures = false;
        bool hasLatencies = false;
        std::array<double, RolloutLatencyBuckets> ranks{}; // against latencies 1.4 times as high
        std::array<double, RolloutLatencyBuckets> clearRanks{}; // against latencies twice as high
        std::array<double, RolloutLatencyBuckets> plainRanks{};
    };

    struct Target {
        RolloutSide side = RolloutSide::Old;
        std::map<std::size_t, RolloutCounts> current; // by index of the route
        std::deque<Contributions> history; // of the new version only
        std::map<std::size_t, Evidence> evidence; // running, by index of the route
        std::uint64_t responses = 0;
        bool wasAtFault = false; // on its own, at any time
    };

    struct Route {
        std::string name;
        std::deque<RolloutCounts> old; // by interval, the latest one last
        std::uint64_t oldResponses = 0;
    };

    std::size_t routeIndex(const std::string &route);
    Reference referenceOf(const Route &route) const;
    Contributions contributionsOf(const Target &target, const std::vector<Reference> &references) const;
    void accumulate(std::map<std::size_t, Evidence> &evidence, const Contributions &contributions, bool first) const;
    double combine(const std::map<std::size_t, Evidence> &evidence) const;
    std::size_t ignoredTargets(std::size_t targets) const;
    std::map<std::size_t, Evidence> pooledEvidence(const std::vector<const Target *> &targets) const;
    static bool hasSoundTarget(const std::vector<std::pair<double, const Target *>> &ranked);
    void updateVerdict();
    void updateClearance(const std::vector<const Target *> &targets);
    void describe(const std::map<std::size_t, Evidence> &evidence, const std::vector<const Target *> &targets);
    static std::map<std::size_t, Comparison> compare(const std::vector<const Target *> &targets, std::size_t intervals);
    bool isClear(const std::map<std::size_t, Clearance> &clearances) const;

    double m_laterPrior;
    std::vector<Route> m_routes;
    std::map<std::string, Target> m_targets;
    std::map<std::size_t, Comparison> m_total; // as m_recent
    std::map<std::size_t, Comparison> m_recent; // of the targets that are not ignored, by index of the route
    RolloutVerdict m_verdict;
};

}
