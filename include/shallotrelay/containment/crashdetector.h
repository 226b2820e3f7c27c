/// Distinguishes a crash of a target from a lost connection, and determines which requests were running.
///
/// A lost connection alone is no proof of a crash: networks fail, and targets reset single connections. It takes
/// further evidence: nothing listens at the target's address any more, or another instance of the target responds
/// there. The requests that were running when the connections were lost are then the suspects.
///
/// One CrashDetector serves one target. No I/O; not thread-safe.
#pragma once

#include "shallotrelay/admission/admissionqueue.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Evidence that a target has crashed.
enum class CrashEvidence {
    NothingListens, ///< A new connection was refused after others had been lost.
    NewStart, ///< Another instance of the target responds at its address.
};

/// Returns the name of a kind of evidence for logs.
const char *toString(CrashEvidence evidence);

/// A request that is running at the target.
struct TrackedRun {
    RequestPrint print; ///< Fingerprint of the request, the same for all attempts.
    std::string requestId; ///< Id of the attempt, for logs.
};

/// A crash with the requests that were running.
struct Crash {
    CrashEvidence evidence = CrashEvidence::NothingListens; ///< Evidence that confirmed it.
    Duration age{}; ///< Time from the first lost connection or abandoned run to the evidence.
    std::vector<TrackedRun> runs; ///< Requests that were running when the target crashed.
    std::vector<std::uint64_t> onTrial; ///< Fingerprints of the requests on trial.
};

/// Detects crashes of one target from the runs of requests there.
class CrashDetector
{
public:
    /// Records that the target has received a complete request and may begin to run it.
    void started(GuardTicket ticket, TrackedRun run, TimePoint now);

    /// Records that a run ended without evidence of a crash: with a response or a rejection.
    void ended(GuardTicket ticket);

    /// Records that the caller abandoned a run before there was a response. A target that stops responding when it
    /// crashes closes no connections; abandoned runs then count if evidence of a crash follows before a response.
    void abandoned(GuardTicket ticket, TimePoint now);

    /// Records that the connection of a run was lost before the response was complete.
    void connectionLost(GuardTicket ticket, TimePoint now);

    /// Records that the same instance of the target has responded to something sent at the given time: connections lost
    /// before that time were not lost to a crash.
    void responded(TimePoint sentAt);

    /// Evaluates evidence of a crash and returns the crash. Returns none if no connection was lost and no run
    /// abandoned, or if, shortly after the first loss, runs that started before it are still in progress and may yet
    /// complete.
    std::optional<Crash> evaluateCrashEvidence(CrashEvidence evidence, TimePoint now);

private:
    struct Run {
        TrackedRun run;
        TimePoint start;
        std::optional<TimePoint> disconnectedAt; // when its connection was lost
        std::optional<TimePoint> abandonedAt; // when its caller abandoned it
    };

    std::optional<TimePoint> earliest(std::optional<TimePoint> Run::*time) const;

    std::map<GuardTicket, Run> m_runs;
};

}
