/// Decides whether the instance at the address of the target belongs to the service of the VM.
///
/// A probe of the address tells which instance is there, but not of which service it is: the address of a target that
/// has ended may be given to a target of another service. Only heartbeats name the service, and the settings, which are
/// read when the node starts and so hold for the instance that is there then.
///
/// Load pattern: targets end, and targets of other services come up at their addresses within seconds, while requests
/// to the former targets still arrive.
///
///     ServiceClaims claims;
///     claims.record(heartbeat, check.check(heartbeat));
///     if (claims.mayServe(tracker.current()->reported.id)) { announce(*tracker.current()); }
#pragma once

#include "shallotrelay/membership/heartbeatcheck.h"
#include "shallotrelay/membership/targettracker.h"

#include <deque>
#include <string>

namespace shallotrelay
{

/// Remembers which instances belong to the service of the VM.
class ServiceClaims
{
public:
    /// Records a heartbeat and the verdict on it. A heartbeat of the service of the VM outweighs those of another one
    /// under the same id, which may be from another writer.
    void record(const TargetHeartbeat &heartbeat, HeartbeatVerdict verdict);

    /// Records which instance responded to a probe of the address, or an empty id if none did.
    void recordProbe(const std::string &id);

    /// Returns whether the instance may get requests to the service of the VM: it has named the service, or it
    /// responded to the first probe and has not named another one.
    bool mayServe(const std::string &id) const;

private:
    std::deque<std::string> m_own; // ids that named the service of the VM; the newest is the last
    std::deque<std::string> m_foreign; // ids that named only another service; the newest is the last
    bool m_probed = false;
    std::string m_foundAtStart; // by the first probe
};

}
