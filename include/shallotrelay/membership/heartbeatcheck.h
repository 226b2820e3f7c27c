/// Decides whether a heartbeat can be that of the one target beside a node, before any of it is believed.
///
/// Load pattern: another program writes entries among the heartbeats of targets, once or many times a second. Such an
/// entry must not take the place of the target.
///
///     HeartbeatCheck check({"redactie", "10.0.0.4:8145"});
///     if (check.check(heartbeat) == HeartbeatVerdict::Accepted) { tracker.applyHeartbeat(heartbeat, now); }
#pragma once

#include "shallotrelay/membership/targettracker.h"

#include <string>

namespace shallotrelay
{

/// Why a heartbeat is refused, if it is.
enum class HeartbeatVerdict {
    Accepted, ///< It may be that of the target.
    OtherService, ///< It names another service than that of the VM.
    OtherAddress, ///< It names another address than that of the target.
    NoStartTime, ///< It lacks the start time that targets on this VM state.
};

/// Returns the name of a verdict, for logs and metrics.
const char *toString(HeartbeatVerdict verdict);

/// What a node knows of its target without asking it; an empty value is not known and not checked.
struct TargetIdentity {
    std::string service; ///< Service of the VM.
    std::string address; ///< Address at which the target accepts requests.
};

/// Checks heartbeats against what the node knows of its target.
class HeartbeatCheck
{
public:
    explicit HeartbeatCheck(TargetIdentity target);

    /// Returns whether the heartbeat may be that of the target. Once a heartbeat with a start time was accepted, those
    /// without are refused.
    HeartbeatVerdict check(const TargetHeartbeat &heartbeat);

private:
    TargetIdentity m_target;
    bool m_startTimeStated = false;
};

}
