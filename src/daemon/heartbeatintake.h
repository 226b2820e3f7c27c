/// Checks the heartbeats that arrive at a node, applies them to the tracked target, and logs and counts those that are
/// not believed.
///
/// Use it wherever a node receives heartbeats.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "shallotrelay/membership/heartbeatcheck.h"
#include "shallotrelay/membership/targettracker.h"

#include <map>
#include <string>

namespace shallotrelay
{

/// The result of a heartbeat.
enum class AnnouncementResult {
    Accepted, ///< It takes effect.
    Stale, ///< Ignored: it is older than the latest known state of its target.
    Refused, ///< Ignored: it cannot be that of the target beside the node.
};

/// Takes in heartbeats. Use it from one event loop only.
class HeartbeatIntake
{
public:
    HeartbeatIntake(TargetIdentity target, EventLog &log, Metrics &metrics);

    /// Checks a heartbeat and applies it to the tracker. Logs at most one line a second for each reason for which
    /// heartbeats are not applied.
    AnnouncementResult take(const TargetHeartbeat &heartbeat, TargetTracker *tracker, TimePoint now);

private:
    void report(const char *event, const char *reason, const TargetHeartbeat &heartbeat, TimePoint now);

    HeartbeatCheck m_check;
    EventLog &m_log;
    Metrics &m_metrics;
    std::map<std::string, TimePoint> m_nextLines; // earliest time of the next log line, by event
};

}
