/// Checks the heartbeats that arrive at a node, applies them to the tracked target, and logs and counts those that are
/// not believed.
///
/// Use it wherever a node receives heartbeats.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "shallotrelay/membership/heartbeatcheck.h"
#include "shallotrelay/membership/serviceclaims.h"
#include "shallotrelay/membership/targettracker.h"

#include <map>
#include <optional>
#include <string>

namespace shallotrelay
{

/// The result of a heartbeat.
enum class AnnouncementResult {
    Accepted, ///< It takes effect, now or when its target is confirmed.
    Stale, ///< Ignored: it is older than the latest known state of its target.
    Refused, ///< Ignored: it cannot be that of the target beside the node.
};

/// What follows from a heartbeat.
struct HeartbeatEffect {
    AnnouncementResult result = AnnouncementResult::Accepted; ///< What to respond.
    bool changesTarget = false; ///< Whether the current target is to be announced again; a probe is due otherwise.
    std::optional<Duration> remainingColdTime; ///< Remaining time of its cold start, if the heartbeat tells it.
};

/// Takes in heartbeats. Use it from one event loop only.
class HeartbeatIntake
{
public:
    HeartbeatIntake(TargetIdentity target, EventLog &log, Metrics &metrics);

    /// Checks a heartbeat and applies it to the tracker. Logs at most one line a second of each event that says that
    /// heartbeats are not applied.
    HeartbeatEffect take(const TargetHeartbeat &heartbeat, TargetTracker *tracker, TimePoint now);

    /// Returns what is known of the service of the instances at the target's address.
    ServiceClaims &claims();

private:
    void report(const char *event, const char *reason, const TargetHeartbeat &heartbeat, TimePoint now);

    HeartbeatCheck m_check;
    ServiceClaims m_claims;
    EventLog &m_log;
    Metrics &m_metrics;
    std::map<std::string, TimePoint> m_nextLines; // earliest time of the next log line, by event
};

}
