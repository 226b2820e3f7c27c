/// A target beside this node, behind its guard: admission, connections and the exchange with the target itself.
#pragma once

#include "net/exchange.h"
#include "net/neterror.h"
#include "shallotrelay/containment/crashdetector.h"
#include "shallotrelay/containment/trialslot.h"
#include "shallotrelay/guard/guard.h"

#include <functional>
#include <memory>
#include <string>

namespace shallotrelay
{

/// What the head of a target's answer shows, besides what HTTP says.
struct AnswerCheck {
    enum class Kind {
        Answer, ///< It is the target's answer to the request.
        OtherRequest, ///< It answers another request and is skipped.
        Rejected, ///< The target says that it did not run the request.
        Invalid, ///< It is no answer that may be passed on.
    };

    Kind kind = Kind::Answer; ///< What it is.
    std::uint32_t pacePercent = 0; ///< How long work takes on the target's VM at present; 0 if it does not tell.
};

/// Signs that a target may not be what its guard takes it for.
enum class TargetDoubt {
    Unreachable, ///< It takes no connection.
    CutOff, ///< It ended a connection before its answer was whole.
    Rejected, ///< It rejected a request.
};

/// A decision of the guard on one request, with what decided it.
struct GuardDecision {
    GuardOfferResult answer; ///< What became of the request.
    Duration waited{}; ///< Time that it waited.
    LoadReport load; ///< The load after the decision.
};

/// What a guarded target needs from its node.
struct GuardedTargetOptions {
    /// Judges the head of an answer; all of them are answers if it is not set.
    std::function<AnswerCheck(const RequestHead &request, const ResponseHead &answer)> checkAnswer;
    /// Returns fields that a request to the target gets besides those of the caller.
    std::function<std::vector<HeaderField>(const RequestHead &request)> targetFields;
    /// Returns the path at which the target tells its pace at once, empty if there is none.
    std::function<std::string()> pacePath;
    double looksPerSecond = 0; ///< How often the target may be asked for its pace.
    /// Called when the pace that the target tells has changed by half or more.
    std::function<void()> onPace;
    /// Called at a sign of doubt; without it, a connection that is cut off counts as a restart.
    std::function<void(TargetDoubt doubt)> onDoubt;
    /// Returns whether a request with this head may be under suspicion of crashing targets, so that its body decides.
    std::function<bool(const RequestHead &head)> mayBeSuspect;
    /// Returns whether a request may run; asked only for those that are in doubt.
    std::function<SuspicionLevel(const RequestPrint &print)> standing;
    /// Called when a request in doubt asks for its trial here.
    std::function<void(const RequestHead &request, const RequestPrint &print, TrialDecision answer)> onTrial;
    /// Called when a request ran to its end.
    std::function<void(const RequestPrint &print)> onCleanRun;
    /// Called when the target has crashed, with what it was running.
    std::function<void(const Crash &crash)> onCrash;
    Duration connectTimeout = std::chrono::seconds(1); ///< Time for a connection to the target.
    bool closesAbandoned
        = false; ///< Whether the target ends work when its connection is closed, not when it is half-closed.
    Duration abandonedLinger{}; ///< Time for which the slot of closed work stays taken.

    const Clock *clock = nullptr; ///< Tells the time.
    Duration stallTimeout = std::chrono::seconds(20); ///< Time without progress after which a body is given up.
    Duration abandonBound = std::chrono::seconds(60); ///< Longest wait for the target to end cancelled work.
    /// Called for each request that the guard refuses or lets wait.
    std::function<void(const RequestHead &request, const GuardDecision &decision)> onDecision;
};

/// Runs exchanges with one target, never more at once than its guard allows. Safe for use by several threads.
class GuardedTarget : public Backend, public std::enable_shared_from_this<GuardedTarget>
{
public:
    explicit GuardedTarget(GuardedTargetOptions options);
    ~GuardedTarget() override;

    /// Takes in an announcement and where the target listens.
    void announced(const TargetAnnouncement &announcement, const Address &address);

    /// Notes that the announcement ended without renewal.
    void announcementEnded();

    /// Applies what the bundle says.
    void setPolicy(const GuardPolicy &policy);

    /// Notices slowness and ends waiting that took too long; call it every few milliseconds.
    void tick();

    /// Refuses all requests for a span of time; zero ends this.
    void hold(Duration span);

    /// Notes a sign that the target restarted.
    void suspectRestart();

    /// Notes a sign that the target has crashed; it counts if connections were cut off before it.
    void evaluateCrashEvidence(CrashEvidence evidence);

    /// Notes that the same start of the target has answered what it was sent at a point in time.
    void alive(TimePoint sentAt);

    /// Notes how long work takes on the VM of the target at present.
    void setSlowdown(std::uint32_t percent);

    /// Returns the load as the guard sees it.
    LoadReport load() const;

    /// Returns which share of the requests in flight was sent to another target before.
    double repeatedAttemptShare() const;

    /// Returns how many connections to the target are open.
    std::size_t openConnections() const;

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, AnswerSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

private:
    struct Impl;
    class PaceLook;
    class Slot;
    class Trial;
    class Exchange;

    std::shared_ptr<Impl> m_impl;
};

}
