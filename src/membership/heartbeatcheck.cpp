#include "shallotrelay/membership/heartbeatcheck.h"

#include <utility>

namespace shallotrelay
{

const char *toString(HeartbeatVerdict verdict)
{
    switch (verdict) {
    case HeartbeatVerdict::Accepted:
        return "accepted";
    case HeartbeatVerdict::OtherService:
        return "other-service";
    case HeartbeatVerdict::OtherAddress:
        return "other-address";
    case HeartbeatVerdict::NoStartTime:
        return "no-start-time";
    }
    return "invalid";
}

HeartbeatCheck::HeartbeatCheck(TargetIdentity target)
    : m_target(std::move(target))
{
}

HeartbeatVerdict HeartbeatCheck::check(const TargetHeartbeat &heartbeat)
{
    if (!m_target.service.empty() && heartbeat.service != m_target.service) {
        return HeartbeatVerdict::OtherService;
    }
    if (!m_target.address.empty() && heartbeat.address != m_target.address) {
        return HeartbeatVerdict::OtherAddress;
    }
    if (heartbeat.startedAtMs == 0 && m_startTimeStated) {
        return HeartbeatVerdict::NoStartTime;
    }
    m_startTimeStated = m_startTimeStated || heartbeat.startedAtMs != 0;
    return HeartbeatVerdict::Accepted;
}

}
