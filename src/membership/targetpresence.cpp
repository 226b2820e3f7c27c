#include "shallotrelay/membership/targetpresence.h"

namespace shallotrelay
{

bool TargetPresence::isOlder(const TargetHeartbeat &heartbeat) const
{
    if (!m_current) {
        return false;
    }
    const TargetHeartbeat &known = m_current->reported;
    if (heartbeat.bornMs != 0 && known.bornMs != 0 && heartbeat.bornMs != known.bornMs) {
        return heartbeat.bornMs < known.bornMs;
    }
    return heartbeat.id == known.id && heartbeat.sequence <= known.sequence && known.sequence != 0;
}

bool TargetPresence::applyHeartbeat(const TargetHeartbeat &heartbeat)
{
    if (isOlder(heartbeat)) {
        return false;
    }
    const bool sameId = m_current && m_current->reported.id == heartbeat.id;
    const bool sameStartTime
        = m_current && (m_current->reported.bornMs == heartbeat.bornMs || m_current->reported.bornMs == 0);
    const bool sameInstance = sameId && sameStartTime;
    const bool wasLeaving = sameInstance && m_current->reported.leaving;
    const std::uint64_t start = sameInstance ? m_current->start : ++m_instances;
    m_heartbeats += start == 1 ? 1 : 0;
    m_current = PresentTarget{heartbeat, start};
    // An instance that has announced that it is leaving does not become ready again.
    m_current->reported.leaving = heartbeat.leaving || wasLeaving;
    return true;
}

bool TargetPresence::markLeaving(const std::string &id)
{
    if (!m_current || m_current->reported.id != id) {
        return false;
    }
    m_current->reported.leaving = true;
    return true;
}

bool TargetPresence::applyProbe(const TargetProbe &probe, const std::string &service, const std::string &address)
{
    const bool known = m_current && m_current->reported.id == probe.id;
    if (!known) {
        TargetHeartbeat reported;
        reported.id = probe.id;
        reported.service = m_current ? m_current->reported.service : service;
        reported.address = address;
        reported.slots = probe.slots > 0 ? probe.slots : (m_current ? m_current->reported.slots : 1);
        m_current = PresentTarget{reported, ++m_instances};
    }
    m_reportedHealthy = m_reportedHealthy || (m_instances == 1 && probe.healthy);
    if (probe.coldLeft) {
        m_current->reported.coldLeft = *probe.coldLeft;
    }
    return !known;
}

bool TargetPresence::isConfirmed() const
{
    constexpr std::uint32_t RequiredHeartbeats = 2;
    return m_instances > 1 || m_reportedHealthy || m_heartbeats >= RequiredHeartbeats;
}

const std::optional<PresentTarget> &TargetPresence::current() const
{
    return m_current;
}

}
