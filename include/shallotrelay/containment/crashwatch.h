/// Tells a crash of a target from a connection that was merely cut off, and which requests ran at that moment.
///
/// A cut-off connection alone proves nothing: links break, and targets reset single connections. It takes a second sign
/// after it: nothing listens at the target's address any more, or another start of the target answers there. What ran
/// when the connections were cut off is then the list of suspects.
///
/// The watch belongs to one target, does no I/O and is not thread-safe.
#pragma once

#include "shallotrelay/admission/waitingline.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// What shows that a target crashed.
enum class CrashEvidence {
    NothingListens, ///< A connection was refused after others had been cut off.
    NewStart, ///< Another start of the target stands at its address.
};

/// Returns the name of an evidence for logs.
const char *toString(CrashEvidence evidence);

/// A request that the target was working on.
struct WatchedRun {
    RequestPrint print; ///< Its identity across attempts.
    std::string requestId; ///< Id of the attempt, for logs.
};

/// A crash with what was running.
struct Crash {
    CrashEvidence evidence = CrashEvidence::NothingListens; ///< What showed it.
    Duration age{}; ///< Time from the first connection that was cut off to the evidence.
    std::vector<WatchedRun> runs; ///< What ran when the target crashed.
    std::vector<std::uint64_t> onTrial; ///< Prints of those that were on trial.
};

/// Watches the runs at one target.
class CrashWatch
{
public:
    /// Notes that the target has a whole request and may begin to work on it.
    void started(GuardTicket ticket, WatchedRun run, TimePoint now);

    /// Notes that a run ended without a sign of a crash: it was answered or rejected.
    void ended(GuardTicket ticket);

    /// Notes that the caller gave a run up before there was an answer. A target that falls silent when it crashes cuts
    /// no connection off; then these runs count if a sign of a crash follows before a sign of life.
    void abandoned(GuardTicket ticket, TimePoint now);

    /// Notes that the connection of a run was cut off before the answer was whole.
    void cutOff(GuardTicket ticket, TimePoint now);

    /// Notes that the same start of the target has answered something that it was sent at a point in time: whatever was
    /// cut off before was no crash.
    void alive(TimePoint sentAt);

    /// Takes in a sign of a crash; returns the crash unless nothing was cut off or given up, or runs that are as old
    /// still go on and may yet be answered.
    std::optional<Crash> signOfCrash(CrashEvidence evidence, TimePoint now);

private:
    struct Run {
        WatchedRun run;
        TimePoint start;
        std::optional<TimePoint> cutAt; // when its connection was cut off
        std::optional<TimePoint> abandonedAt; // when its caller gave it up
    };

    std::optional<TimePoint> firstOf(std::optional<TimePoint> Run::*time) const;

    std::map<GuardTicket, Run> m_runs;
};

}
