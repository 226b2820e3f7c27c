/// The guard of one target: decides which requests may go to the target at once.
///
/// All work for a target passes its guard, so the count of requests in flight is exact whatever other nodes believe.
/// The limit is the least of the bundle's bound, the bound that the target announced, the cold-start ramp and the bound
/// that the guard learns when the target slows down suddenly.
///
/// The guard is not thread-safe and does no I/O. Call offer() for each request; start it if it is admitted; call
/// finished() when the target is done with it, also if its caller is gone, and start the requests that it returns.
///
///     Guard guard;
///     guard.setPolicy(policy, now);
///     guard.announced({"boot-1", TargetState::Ready, 12, 240}, now);
///     GuardAnswer answer = guard.offer({ticket, deadline, true}, now);
#pragma once

#include "shallotrelay/admission/pacegate.h"
#include "shallotrelay/admission/waitingline.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/guard/coldrate.h"
#include "shallotrelay/limits/slowdown.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// What the bundle says about a target.
struct GuardPolicy {
    bool served = false; ///< Whether the bundle lets the target serve, with its data centre in service.
    std::uint32_t slots = 0; ///< Requests at once.
    std::uint32_t connections = 0; ///< Connections at once.
    std::uint32_t coldSlots = 1; ///< Requests at once in cold start.
    Duration
        coldRamp{}; ///< Time from cold to full bound once the target is ready, or from half when it is back in service.
    std::uint32_t queueLength = 0; ///< Requests that may wait.
    Duration queueWait{}; ///< Longest time that a request waits.
    std::uint64_t revision = 0; ///< Revision of the bundle.
    double coldPerSecond = 0; ///< Starts a second in cold start; 0 means no bound.
    bool refusesLate = false; ///< Whether a busy target refuses what it cannot answer within the objective.
    Duration coldTime{}; ///< Time that a restarted target stays cold unless it tells otherwise.

    bool operator==(const GuardPolicy &other) const = default;
};

/// What a target said about itself.
struct TargetAnnouncement {
    std::string bootId; ///< Changes each time that the target starts.
    TargetState state = TargetState::Cold; ///< Its state.
    std::uint32_t slots = 0; ///< Requests at once that it says it bears.
    std::uint32_t connections = 0; ///< Connections at once that it says it bears.
    std::optional<Duration> coldLeft{}; ///< How much longer it stays cold, if it tells.
    bool coldLeftIsCurrent = false; ///< Whether it was just asked; heartbeats tell of its start only, and may be late.
};

/// A request that asks for admission.
struct GuardOffer {
    GuardTicket ticket = 0; ///< Chosen by the user, different for each request.
    TimePoint deadline; ///< After this its caller takes no answer.
    bool mayQueue = false; ///< Whether it may wait.
    std::uint32_t priority = 0; ///< Rank; 0 is the most urgent.
    TimePoint objective = TimePoint::max(); ///< An answer is wanted by then.
    std::string route{}; ///< Requests of one route take about the same time.
    bool repeats = false; ///< Whether it was sent to another target before.
    bool lastOffer = false; ///< Whether no other guard will be asked if this one refuses.
    bool alone = false; ///< Whether it may run only while nothing else does.
};

/// Why a request was not admitted.
enum class GuardRefusal {
    None, ///< It was not refused.
    AtLimit, ///< The target has as much as it bears.
    TooLate, ///< It would wait longer than its objective or deadline allows.
    QueueFull, ///< As many requests wait as may.
    Leaving, ///< The target is leaving.
    Held, ///< The target cannot be reached at present.
    NotServed, ///< The bundle does not let the target serve.
    Absent, ///< No target announced itself.
    Expired, ///< The deadline passed before the request could start.
    SlowPhase, ///< Work takes several times as long on the VM at present, and the request may go elsewhere.
    AnotherAlone, ///< It may run only alone, and another such request waits or runs.
};

/// Returns the name of a refusal for logs and answers.
const char *toString(GuardRefusal refusal);

/// The answer to an offer.
struct GuardAnswer {
    enum class Kind {
        Admitted, ///< Start it now.
        Queued, ///< It waits; finished(), tick() or a policy change returns it later.
        Refused, ///< It does not run.
    };

    Kind kind = Kind::Refused; ///< What became of the offer.
    GuardRefusal refusal = GuardRefusal::None; ///< Why it was refused.
    Duration retryAfter{}; ///< When a new try is worthwhile.
};

/// Requests whose waiting ended.
struct GuardRelease {
    std::vector<GuardTicket> admitted; ///< Start these now.
    std::vector<GuardTicket> expired; ///< Refuse these: they waited too long.
};

/// How a request ended at the target.
struct GuardOutcome {
    bool failed = false; ///< Whether the target answered with a server error or not at all.
    bool answered = false; ///< Whether the head of an answer came.
    Duration headLatency{}; ///< Time from the start until the head of the answer, if it came.
    bool ranOut = false; ///< Whether the request's time ended before the answer was whole.
};

/// Decides which requests may go to one target.
class Guard
{
public:
    /// Applies what the bundle says; older revisions are ignored.
    GuardRelease setPolicy(const GuardPolicy &policy, TimePoint now);

    /// Takes in an announcement of the target.
    GuardRelease announced(const TargetAnnouncement &announcement, TimePoint now);

    /// Notes that the announcement ended without renewal.
    GuardRelease announcementEnded(TimePoint now);

    /// Refuses all requests until a point in time; a point that has passed ends this.
    void holdUntil(TimePoint until);

    /// Notes a sign that the target restarted without warning, such as a refused connection.
    void suspectRestart(TimePoint now);

    /// Notes how long work takes on the VM of the target at present, in percent of the usual time.
    void setPace(std::uint32_t percent, TimePoint now);

    /// Sets how often the target may be asked for its pace, in questions a second.
    void setLooksPerSecond(double looks);

    /// Returns whether the target is to be asked for its pace before a request is offered or released; takes the
    /// question out of the bound.
    bool takeLook(TimePoint now);

    /// Returns the expected time until a slow phase of the VM is over, zero if none holds starts back.
    Duration slowPhaseLeft(TimePoint now) const;

    /// Returns whether the target is in cold start as far as is known.
    bool cold(TimePoint now) const;

    /// Asks for admission of a request.
    GuardAnswer offer(const GuardOffer &offer, TimePoint now);

    /// Withdraws a request that waits; returns whether it waited.
    bool withdraw(GuardTicket ticket);

    /// Notes the head of an answer; the slot stays taken.
    void headArrived(GuardTicket ticket, TimePoint now);

    /// Frees the slot of a request that the target is done with.
    GuardRelease finished(GuardTicket ticket, const GuardOutcome &outcome, TimePoint now);

    /// Drops requests that waited too long, and notices a target that slowed down; call it every few milliseconds while
    /// requests are in flight.
    GuardRelease tick(TimePoint now);

    /// Returns how many requests may be in flight at present.
    std::uint32_t limit(TimePoint now) const;

    /// Returns how many connections to the target may be open at present.
    std::uint32_t connectionLimit() const;

    /// Returns the load as it is reported to other nodes.
    LoadReport load(TimePoint now) const;

    /// Returns how many requests are in flight.
    std::uint32_t inFlight() const;

    /// Returns which share of the requests in flight was sent to another target before.
    double repeatShare() const;

    /// Returns how many requests wait.
    std::uint32_t queued() const;

private:
    struct Running {
        TimePoint start;
        bool headSeen = false;
        std::string route;
        bool repeats = false;
        double use = 0;
        bool startedSlow = false;
    };
    struct WaitingDetail {
        std::string route;
        bool repeats = false;
    };

    GuardRefusal standingRefusal() const;
    std::uint32_t fullLimit() const;
    std::uint32_t rampLimit(TimePoint now) const;
    Duration retryAfter() const;
    void start(GuardTicket ticket, const WaitingDetail &detail, TimePoint now);
    bool mayStart(TimePoint now);
    bool coldRateAllows(TimePoint now);
    Duration expectedWork(const std::string &route, TimePoint now) const;
    bool wouldBeLate(const GuardOffer &offer, bool first, TimePoint now) const;
    double useAt(std::size_t running) const;
    bool ranksFirst(const GuardOffer &offer);
    ServiceRate rate(TimePoint now) const;
    GuardRelease releaseWaiting(TimePoint now);
    GuardAnswer offerAlone(const GuardOffer &offer, TimePoint now);
    void releaseAlone(TimePoint now, GuardRelease *release);
    GuardRelease refuseAllWaiting();
    bool ranForLong(const Running &request, TimePoint now) const;
    void learnAbandoned(const Running &request, TimePoint now);
    void learnLatency(const GuardOutcome &outcome, TimePoint now);
    void checkForSlowness(TimePoint now);
    void startRamp(std::uint32_t from, TimePoint now);
    void enterCold(TimePoint now);

    GuardPolicy m_policy;
    TargetAnnouncement m_announcement;
    bool m_present = false;
    bool m_suspected = false;
    TimePoint m_readySince;
    std::uint32_t m_rampFrom = 0;
    std::map<GuardTicket, Running> m_running;
    struct AloneRequest {
        GuardTicket ticket = 0;
        WaitingDetail detail;
        TimePoint giveUp;
        bool running = false;
    };
    std::optional<AloneRequest> m_alone; // holds all others back until it has run
    WaitingLine m_waiting;
    std::map<GuardTicket, WaitingDetail> m_waitingDetails;
    std::map<std::string, double> m_workByRoute; // seconds, average by route
    ColdRate m_coldRate;
    SlowdownModel m_slowdown;
    std::map<std::string, std::uint32_t> m_priorities; // by route
    TimePoint m_coldUntil;
    TimePoint m_heldUntil;
    PaceGate m_pace;
    double m_baselineLatency = 0; // seconds, slow average while the target is healthy
    double m_recentLatency = 0; // seconds, fast average
    double m_failureShare = 0;
    std::uint64_t m_samples = 0;
    bool m_slow = false;
    TimePoint m_slowSince;
    std::uint32_t m_slowLimit = 0;
    std::uint32_t m_fastAnswers = 0;
};

}
