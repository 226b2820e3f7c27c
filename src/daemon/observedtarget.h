/// Counts how a target serves while a roll-out of its service is in progress, so that its version can be judged.
///
/// Use ObservedTarget as the Backend of a target in place of the one that it wraps. A request counts once the target
/// has run it; the outcome counts as a failure if it is a server error of the target or no complete response. What a
/// caller gives up says nothing about the target unless it ran longer than usual.
#pragma once

#include "net/exchange.h"
#include "shallotrelay/rollout/startallowance.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Responses of a target by route since it learned of a roll-out. Thread-safe.
class RolloutCounts
{
public:
    /// Sets the terms; another roll-out or incarnation begins new counts.
    void setTerms(const StartTerms &terms);

    /// Records that a request is about to be offered to the target.
    void recordOffer(const std::string &requestId);

    /// Records that the request was sent to the target; others than those offered are ignored.
    void recordSent(const std::string &requestId, TimePoint now);

    /// Forgets the request and returns when it was sent, none if it was not.
    std::optional<TimePoint> takeSent(const std::string &requestId);

    /// Records a response to a request of a route, with its latency unless it failed.
    void recordResponse(const std::string &route, std::optional<Duration> latency);

    /// Records a request that was ended without a response after it ran for a time.
    void recordAbandoned(const std::string &route, Duration ran, bool deadlinePassed);

    /// Returns the counts of all routes.
    std::vector<RolloutRouteSample> routes() const;

private:
    struct RouteCounts {
        RolloutRouteSample sample;
        double latency = 0; // seconds, moving average
    };

    RouteCounts *find(const std::string &route);

    mutable std::mutex m_mutex;
    StartTerms m_terms;
    std::map<std::string, RouteCounts> m_routes;
    std::map<std::string, std::optional<TimePoint>> m_offered; // when requests were sent, by id
};

/// Passes exchanges to another backend and counts their outcomes. Thread-safe.
class ObservedTarget : public Backend
{
public:
    ObservedTarget(std::shared_ptr<Backend> next, std::shared_ptr<RolloutCounts> counts, const Clock &clock);

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

    /// Returns the counts.
    RolloutCounts &counts();

    /// Returns the counts, which outlive this object.
    std::shared_ptr<const RolloutCounts> sharedCounts() const;

private:
    class Observation;

    std::shared_ptr<Backend> m_next;
    std::shared_ptr<RolloutCounts> m_counts;
    const Clock &m_clock;
};

}
