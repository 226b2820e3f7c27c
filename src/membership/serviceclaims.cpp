#include "shallotrelay/membership/serviceclaims.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Number of ids that are remembered of each kind; targets restart every few seconds at most, and heartbeats are late
/// by seconds.
constexpr std::size_t MaxRemembered = 8;

void remember(std::deque<std::string> *ids, const std::string &id)
{
    std::erase(*ids, id);
    ids->push_back(id);
    if (ids->size() > MaxRemembered) {
        ids->pop_front();
    }
}

bool contains(const std::deque<std::string> &ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}

void ServiceClaims::record(const TargetHeartbeat &heartbeat, HeartbeatVerdict verdict)
{
    if (verdict == HeartbeatVerdict::Accepted) {
        remember(&m_own, heartbeat.id);
        std::erase(m_foreign, heartbeat.id);
    } else if (verdict == HeartbeatVerdict::OtherService && !contains(m_own, heartbeat.id)) {
        remember(&m_foreign, heartbeat.id);
    }
}

void ServiceClaims::recordProbe(const std::string &id)
{
    if (!m_probed) {
        m_probed = true;
        m_foundAtStart = id;
    }
}

bool ServiceClaims::mayServe(const std::string &id) const
{
    const bool wasThereAtStart = !id.empty() && id == m_foundAtStart;
    return contains(m_own, id) || (wasThereAtStart && !contains(m_foreign, id));
}

}
