/// The guard of one target: the admission control through which every request to the target passes.
///
/// Because all requests for a target pass its guard, the number of requests in flight is exact, whatever other nodes
/// assume. The in-flight limit is the minimum of the limit in the bundle, the limit that the target announced, the
/// cold-start ramp, and the limit that the guard sets itself when the target suddenly becomes slow. Starts are limited
/// in addition by the rate of a cold start and by the rate that the target states in its responses.
///
/// The guard is not thread-safe and does no I/O. Call offer() for each request and start the request if it is admitted.
/// Call finished() when the target is done with the request, even if its caller has disconnected, and start the
/// requests that it returns.
///
///     Guard guard;
///     guard.setPolicy(policy, now);
///     guard.announced({"boot-1", TargetState::Ready, 12, 240}, now);
///     GuardOfferResult result = guard.offer({ticket, deadline, true}, now);
#pragma once

#include "shallotrelay/admission/admissionqueue.h"
#include "shallotrelay/admission/slowphasegate.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/guard/startlimits.h"
#include "shallotrelay/limits/slowdown.h"
#include "shallotrelay/membership/targetstatement.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Settings for a target from the bundle.
struct GuardPolicy {
    bool served = false; ///< Whether the bundle lets the target serve and its data centre is in service.
    std::uint32_t slots = 0; ///< Maximum number of requests in flight.
    std::uint32_t connections = 0; ///< Maximum number of open connections.
    std::uint32_t coldSlots = 1; ///< Maximum number of requests in flight during cold start.
    /// Time to ramp up to the full limit: from the cold limit once the target is ready, or from half of the full limit
    /// once it is back in service.
    Duration coldRamp{};
    std::uint32_t queueLength = 0; ///< Maximum number of queued requests.
    Duration queueWait{}; ///< Maximum time that a request stays queued.
    std::uint64_t revision = 0; ///< Revision of the bundle.
    double coldPerSecond = 0; ///< Maximum number of starts per second during cold start; 0 means no limit.
    bool refusesLate = false; ///< Whether a busy target refuses requests that it cannot finish within their objective.
    Duration coldTime{}; ///< Time for which a restarted target stays cold unless it reports another time.
    /// Whether the target makes a statement in each response. Until the first one, the guard does not know of a limit
    /// that the target may have stated before, and keeps few requests in flight.
    bool expectsStatements = false;
    StartTerms starts; ///< Whether starts are counted and limited for a roll-out.

    bool operator==(const GuardPolicy &other) const = default;
};

/// State and limits that a target reported about itself.
struct TargetAnnouncement {
    std::string bootId; ///< Changes each time that the target starts.
    TargetState state = TargetState::Cold; ///< State of the target.
    std::uint32_t slots = 0; ///< Maximum number of requests in flight according to the target.
    std::uint32_t connections = 0; ///< Maximum number of open connections according to the target.
    std::optional<Duration> remainingColdTime{}; ///< Time until the target is warm, if it reports one.
    /// Whether the target was probed just now for the time until it is warm. Heartbeats report only the cold time after
    /// the start of the target, and may be out of date.
    bool remainingColdTimeIsCurrent = false;
};

/// A request that is offered for admission.
struct GuardOffer {
    GuardTicket ticket = 0; ///< Chosen by the user, different for each request.
    TimePoint deadline; ///< Point in time after which the caller does not accept a response.
    bool mayQueue = false; ///< Whether the request may be queued.
    std::uint32_t priority = 0; ///< Rank; 0 is the most urgent.
    TimePoint objective = TimePoint::max(); ///< Point in time by which a response is wanted.
    std::string route{}; ///< Route of the request; requests of one route take about the same time.
    bool repeats = false; ///< Whether the request was sent to another target before.
    bool lastOffer = false; ///< Whether no other guard will be asked if this one refuses.
    bool alone = false; ///< Whether the request may run only while no other request runs at the target.
    std::string workspace{}; ///< Workspace of the caller, empty if there is none.
    bool nested = false; ///< Whether the request is a call of a running request.
};

/// The reason why a request was not admitted.
enum class GuardRefusal {
    None, ///< The request was not refused.
    AtLimit, ///< The in-flight limit is reached.
    AtStatedLimit, ///< The target states a limit in requests per second, which is reached.
    TooLate, ///< The request would finish later than its objective or deadline allows.
    QueueFull, ///< The queue is full.
    Leaving, ///< The target is draining.
    Held, ///< The target is unreachable at present.
    NotServed, ///< The bundle does not let the target serve.
    Absent, ///< No target has announced itself.
    Expired, ///< The deadline passed before the request could start.
    SlowPhase, ///< The VM is in a slow phase, and the request can be offered to another target.
    AnotherAlone, ///< The request may run only alone, and another such request is queued or running.
    NotGranted, ///< The target is of a new version, and the allowance of the roll-out is spent or has ended.
};

/// Returns the name of a refusal for logs and responses.
const char *toString(GuardRefusal refusal);

/// The result of an offer.
struct GuardOfferResult {
    enum class Kind {
        Admitted, ///< Start the request now.
        Queued, ///< The request is queued; finished(), tick() or a policy change returns it later.
        Refused, ///< The request does not run at this target.
    };

    Kind kind = Kind::Refused; ///< Outcome of the offer.
    GuardRefusal refusal = GuardRefusal::None; ///< Reason for a refusal.
    Duration retryAfter{}; ///< Time after which a retry is worthwhile.
};

/// Requests that have left the queue.
struct GuardRelease {
    std::vector<GuardTicket> admitted; ///< Requests to start now.
    std::vector<GuardTicket> expired; ///< Requests to refuse, since their time in the queue is over.
};

/// The outcome of a request at the target.
struct GuardOutcome {
    bool failed = false; ///< Whether the target sent a server error or no response.
    bool headReceived = false; ///< Whether the head of a response arrived.
    Duration headLatency{}; ///< Time from the start until the head of the response, if it arrived.
    bool deadlineExceeded = false; ///< Whether the deadline passed before the response was complete.
};

/// Decides which requests may run at one target.
class Guard
{
public:
    /// Applies the settings of the bundle; older revisions are ignored.
    GuardRelease setPolicy(const GuardPolicy &policy, TimePoint now);

    /// Applies an announcement of the target.
    GuardRelease announced(const TargetAnnouncement &announcement, TimePoint now);

    /// Records that the announcement ended without renewal.
    GuardRelease announcementEnded(TimePoint now);

    /// Applies what the target states in the response to a request or probe, for which startNumber() returned the given
    /// number when it was sent. Returns none if the target has started again since then; the statement is ignored.
    std::optional<GuardRelease> applyStatement(const TargetStatement &statement, StatementSource source,
                                               std::uint64_t startNumber, TimePoint now);

    /// Applies the remaining cold time that the target reported in response to a probe; never shortens a cold start,
    /// whose end is decided by announcements.
    void extendColdTime(Duration remaining, TimePoint now);

    /// Returns a number that increases with each start of the target that the guard detects.
    std::uint64_t startNumber() const;

    /// Returns the limit that the target states, in requests per second; none if it states none.
    std::optional<double> statedLimit() const;

    /// Refuses all requests until a point in time; a point in the past ends the hold.
    void holdUntil(TimePoint until);

    /// Records a sign that the target restarted without warning, such as a refused connection.
    void suspectRestart(TimePoint now);

    /// Records the slowdown of the target's VM: the present duration of work in percent of the usual duration.
    void setSlowdown(std::uint32_t percent, TimePoint now);

    /// Sets the maximum rate at which the target may be probed for its slowdown, in probes per second.
    void setSlowdownProbesPerSecond(double probesPerSecond);

    /// Returns whether the target is to be probed for its slowdown before a request is offered or released, and counts
    /// the probe against the rate limit.
    bool tryAcquireSlowdownProbe(TimePoint now);

    /// Returns the expected time until the slow phase of the VM is over, zero if no slow phase delays starts.
    Duration remainingSlowPhase(TimePoint now) const;

    /// Returns whether the target is in cold start according to the latest reports.
    bool cold(TimePoint now) const;

    /// Decides on the admission of a request.
    GuardOfferResult offer(const GuardOffer &offer, TimePoint now);

    /// Removes a queued request; returns whether it was queued.
    bool withdraw(GuardTicket ticket);

    /// Records that the head of a response arrived; the slot stays in use.
    void headArrived(GuardTicket ticket, TimePoint now);

    /// Frees the slot of a request that the target is done with.
    GuardRelease finished(GuardTicket ticket, const GuardOutcome &outcome, TimePoint now);

    /// Expires requests that were queued for too long and detects a target that became slow; call it every few
    /// milliseconds while requests are in flight.
    GuardRelease tick(TimePoint now);

    /// Returns the present in-flight limit.
    std::uint32_t limit(TimePoint now) const;

    /// Returns the maximum number of open connections to the target.
    std::uint32_t connectionLimit() const;

    /// Returns the load as it is reported to other nodes.
    LoadReport load(TimePoint now) const;

    /// Returns the number of requests in flight.
    std::uint32_t inFlight() const;

    /// Returns the share of the requests in flight that were sent to another target before.
    double repeatedAttemptShare() const;

    /// Returns the number of queued requests.
    std::uint32_t queued() const;

    /// Returns the allowance of a roll-out; call tick() after each grant.
    StartAllowance &startAllowance();

private:
    struct RunningRequest {
        TimePoint start;
        bool headSeen = false;
        std::string route;
        bool repeats = false;
        double utilisation = 0;
        bool startedInSlowPhase = false;
    };
    struct QueuedDetail {
        std::string route;
        bool repeats = false;
    };

    GuardRefusal unavailability() const;
    std::uint32_t fullLimit() const;
    std::uint32_t rampLimit(TimePoint now) const;
    Duration retryAfter(TimePoint now) const;
    void start(GuardTicket ticket, const QueuedDetail &detail, TimePoint now);
    bool mayStart(TimePoint now);
    bool startRatesAllow(TimePoint now);
    Duration expectedDuration(const std::string &route, TimePoint now) const;
    bool wouldBeLate(const GuardOffer &offer, bool outranks, TimePoint now) const;
    double utilisationAt(std::size_t running) const;
    bool outranksOtherRoutes(const GuardOffer &offer);
    ServiceRate serviceRate(TimePoint now) const;
    GuardRelease releaseQueued(TimePoint now);
    GuardOfferResult offerAlone(const GuardOffer &offer, TimePoint now);
    void releaseAlone(TimePoint now, GuardRelease *release);
    GuardRelease refuseAllQueued();
    bool ranUnusuallyLong(const RunningRequest &request, TimePoint now) const;
    void learnFromAbandoned(const RunningRequest &request, TimePoint now);
    void learnLatency(const GuardOutcome &outcome, TimePoint now);
    void detectSlowTarget(TimePoint now);
    void startRamp(std::uint32_t from, TimePoint now);
    void enterCold(TimePoint now);

    GuardPolicy m_policy;
    TargetAnnouncement m_announcement;
    bool m_present = false;
    bool m_restartSuspected = false;
    TimePoint m_readySince;
    std::uint32_t m_rampFrom = 0;
    std::map<GuardTicket, RunningRequest> m_running;
    struct AloneRequest {
        GuardTicket ticket = 0;
        QueuedDetail detail;
        TimePoint queueDeadline;
        bool running = false;
    };
    std::optional<AloneRequest> m_alone; // blocks all other starts until it has run
    AdmissionQueue m_queue;
    std::map<GuardTicket, QueuedDetail> m_queuedDetails;
    std::map<std::string, double> m_durationByRoute; // seconds, moving average
    StartLimits m_limits;
    bool m_statementReceived = false; // since the last start of the target
    bool m_leavingStated = false;
    std::uint64_t m_startNumber = 0;
    SlowdownModel m_slowdown;
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> m_priorities; // by route and workspace priority
    TimePoint m_coldUntil;
    TimePoint m_heldUntil;
    SlowPhaseGate m_slowPhaseGate;
    double m_baselineLatency = 0; // seconds, slow moving average while the target is healthy
    double m_recentLatency = 0; // seconds, fast moving average
    double m_failureShare = 0;
    std::uint64_t m_samples = 0;
    bool m_slow = false;
    TimePoint m_slowSince;
    std::uint32_t m_slowLimit = 0;
    std::uint32_t m_fastResponses = 0;
};

}
