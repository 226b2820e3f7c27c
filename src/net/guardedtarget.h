/// Sends requests to a target of this node: requests admission from the guard, manages connections and relays the
/// response. Use it as the Backend for every target that this node guards.
#pragma once

#include "net/exchange.h"
#include "net/neterror.h"
#include "shallotrelay/containment/crashdetector.h"
#include "shallotrelay/containment/trialslot.h"
#include "shallotrelay/guard/guard.h"
#include "shallotrelay/membership/targetstatement.h"

#include <functional>
#include <memory>
#include <string>

namespace shallotrelay
{

/// The classification of a response head from a target, beyond HTTP parsing.
struct ResponseCheck {
    enum class Kind {
        Response, ///< The target's response to the request.
        OtherRequest, ///< A response to another request; it is skipped.
        Rejected, ///< The target rejected the request without running it.
        Invalid, ///< A response that must not be passed on to the caller.
    };

    Kind kind = Kind::Response; ///< The kind of response.
    std::uint32_t pacePercent = 0; ///< Current slowdown: 100 is full speed, 200 twice the time; 0 if not reported.
    /// Time until the target is warm; none if it did not report one or another instance responded.
    std::optional<Duration> remainingColdTime;
    /// What the target states about itself; none if another instance responded.
    std::optional<TargetStatement> statement;
};

/// Target faults after which the guard's view of the target may be outdated.
enum class TargetFault {
    Unreachable, ///< The target accepts no connection.
    ConnectionLost, ///< The target closed a connection before its response was complete.
    Rejected, ///< The target rejected a request.
};

/// The guard's decision on one request, with the wait and the load behind it.
struct GuardDecision {
    GuardOfferResult answer; ///< The guard's decision.
    Duration waited{}; ///< Time that the request spent in the queue.
    LoadReport load; ///< The load after the decision.
};

/// Settings and callbacks that a node gives to a guarded target.
struct GuardedTargetOptions {
    std::string name; ///< Name of the target, which identifies it in responses to probes.
    /// Classifies a response head; if unset, every response counts as ResponseCheck::Kind::Response.
    std::function<ResponseCheck(const RequestHead &request, const ResponseHead &response)> checkResponse;
    /// Returns the header fields that are added to a request to the target.
    std::function<std::vector<HeaderField>(const RequestHead &request)> targetFields;
    /// Returns the path at which the target reports its slowdown without delay; empty if there is none.
    std::function<std::string()> slowdownPath;
    double slowdownProbesPerSecond = 0; ///< Maximum rate of slowdown probes to the target.
    /// Called when the reported slowdown has risen by more than half or fallen by more than a third.
    std::function<void()> onSlowdownChange;
    /// Called on a target fault; if unset, a lost connection counts as a suspected restart.
    std::function<void(TargetFault fault)> onTargetFault;
    /// Returns whether requests with this head may be suspect, so that the fingerprint must include the body.
    std::function<bool(const RequestHead &head)> mayBeSuspect;
    /// Returns the suspicion level of a request; called only for requests that mayBeSuspect() selects.
    std::function<SuspicionLevel(const RequestPrint &fingerprint)> standing;
    /// Called when a suspect request asks for a trial at this target.
    std::function<void(const RequestHead &request, const RequestPrint &fingerprint, TrialDecision decision)> onTrial;
    /// Called when a request ran to completion without a server error.
    std::function<void(const RequestPrint &fingerprint)> onCleanRun;
    /// Called with the statement of each response of the target.
    std::function<void(const TargetStatement &statement, StatementSource source)> onStatement;
    /// Called for each request that is sent to the target.
    std::function<void(const RequestHead &request)> onRequestSent;
    /// Called when the target has crashed, with the requests that it was running.
    std::function<void(const Crash &crash)> onCrash;
    Duration connectTimeout = std::chrono::seconds(1); ///< Time limit for a connection attempt to the target.
    bool cancelsOnClose
        = false; ///< Whether the target cancels work on a full close of the connection instead of a half-close.
    Duration abandonedSlotHold{}; ///< Time for which an abandoned request keeps its slot after a full close.

    const Clock *clock = nullptr; ///< Time source; must be set.
    Duration stallTimeout = std::chrono::seconds(20); ///< Time without progress after which a body transfer fails.
    Duration cancelTimeout = std::chrono::seconds(60); ///< Maximum wait for the target to end cancelled work.
    /// Called for each request that the guard refuses or queues for a noticeable time.
    std::function<void(const RequestHead &request, const GuardDecision &decision)> onDecision;
};

/// Runs exchanges with one target within the in-flight limit of its guard. Thread-safe.
class GuardedTarget : public Backend, public std::enable_shared_from_this<GuardedTarget>
{
public:
    explicit GuardedTarget(GuardedTargetOptions options);
    ~GuardedTarget() override;

    /// Applies an announcement of the target, which listens at the address.
    void announced(const TargetAnnouncement &announcement, const Address &address);

    /// Records that the announcement expired without renewal.
    void announcementEnded();

    /// Applies the guard policy from the current bundle.
    void setPolicy(const GuardPolicy &policy);

    /// Updates the guard's limits and expires queued requests; call it every few milliseconds.
    void tick();

    /// Refuses all requests for the given time; zero ends a previous refusal period.
    void refuseFor(Duration span);

    /// Records that the target may have restarted.
    void suspectRestart();

    /// Records evidence of a crash of the target; it counts only if connections were lost before it.
    void evaluateCrashEvidence(CrashEvidence evidence);

    /// Records that the same incarnation of the target has responded to a message sent at the given time.
    void responded(TimePoint sentAt);

    /// Records the current slowdown of the target's VM as a percentage: 100 is full speed, 200 means that work takes
    /// twice as long; 0 is ignored.
    void setSlowdown(std::uint32_t percent);

    /// Applies what the target states about itself in the response to a probe that was sent when startNumber() returned
    /// the given number; ignored if the target has started again since then.
    void applyStatement(const TargetStatement &statement, StatementSource source, std::uint64_t startNumber);

    /// Returns a number that increases with each start of the target that the guard detects.
    std::uint64_t startNumber() const;

    /// Returns the limit that the target states, in requests per second; none if it states none.
    std::optional<double> statedLimit() const;

    /// Calls a function with the guard and the time, and starts or refuses queued requests as the guard then decides.
    /// Nothing else uses the guard meanwhile, and the function must not call this object.
    void withGuard(const std::function<void(Guard &guard, TimePoint now)> &action);

    /// Returns the guard's load report.
    LoadReport load() const;

    /// Returns the share of the requests in flight that were sent to another target before.
    double repeatedAttemptShare() const;

    /// Returns the number of open connections to the target.
    std::size_t openConnections() const;

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

private:
    struct Impl;
    class SlowdownProbe;
    class Slot;
    class Trial;
    class Exchange;

    std::shared_ptr<Impl> m_impl;
};

}
