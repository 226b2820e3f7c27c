#include "shallotrelay/containment/crashdetector.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Time within which the loss of all connections to a crashed target is detected.
constexpr Duration SettleTime = std::chrono::milliseconds(100);
/// Time after which a lost connection is no longer attributed to a crash.
constexpr Duration DisconnectRetention = std::chrono::seconds(10);

}

const char *toString(CrashEvidence evidence)
{
    return evidence == CrashEvidence::NothingListens ? "nothing-listens" : "new-start";
}

void CrashDetector::started(GuardTicket ticket, TrackedRun run, TimePoint now)
{
    std::erase_if(m_runs, [&](const auto &it) {
        const auto endedAt = it.second.disconnectedAt ? it.second.disconnectedAt : it.second.abandonedAt;
        return endedAt && now - *endedAt > DisconnectRetention;
    });
    m_runs[ticket] = Run{std::move(run), now, {}, {}};
}

void CrashDetector::ended(GuardTicket ticket)
{
    const auto it = m_runs.find(ticket);
    if (it != m_runs.end() && !it->second.disconnectedAt) {
        m_runs.erase(it);
    }
}

void CrashDetector::abandoned(GuardTicket ticket, TimePoint now)
{
    const auto it = m_runs.find(ticket);
    if (it != m_runs.end()) {
        it->second.abandonedAt = now;
    }
}

void CrashDetector::connectionLost(GuardTicket ticket, TimePoint now)
{
    const auto it = m_runs.find(ticket);
    if (it != m_runs.end() && !it->second.disconnectedAt) {
        it->second.disconnectedAt = now;
    }
}

void CrashDetector::responded(TimePoint sentAt)
{
    std::erase_if(m_runs, [&](const auto &it) {
        const auto endedAt = it.second.disconnectedAt ? it.second.disconnectedAt : it.second.abandonedAt;
        return endedAt && *endedAt <= sentAt;
    });
}

std::optional<Crash> CrashDetector::evaluateCrashEvidence(CrashEvidence evidence, TimePoint now)
{
    const auto firstDisconnect = earliest(&Run::disconnectedAt);
    const auto firstLoss = firstDisconnect ? firstDisconnect : earliest(&Run::abandonedAt);
    if (!firstLoss) {
        return std::nullopt;
    }
    const auto hasEnded = [&](const Run &run) {
        return firstDisconnect ? run.disconnectedAt.has_value() : run.abandonedAt.has_value();
    };
    const auto isInProgress = [&](const auto &it) {
        return !it.second.abandonedAt && !hasEnded(it.second) && it.second.start < *firstLoss;
    };
    const bool mayBeLate = now - *firstLoss < SettleTime;
    if (mayBeLate && std::any_of(m_runs.begin(), m_runs.end(), isInProgress)) {
        return std::nullopt;
    }
    Crash out{evidence, now - *firstLoss, {}, {}};
    for (const auto &it : m_runs) {
        if (hasEnded(it.second) || isInProgress(it)) {
            out.runs.push_back(it.second.run);
        }
    }
    m_runs.clear();
    return out;
}

/// Returns the earliest value of the given time among all runs.
std::optional<TimePoint> CrashDetector::earliest(std::optional<TimePoint> Run::*time) const
{
    std::optional<TimePoint> out;
    for (const auto &it : m_runs) {
        const auto &at = it.second.*time;
        out = at && (!out || *at < *out) ? at : out;
    }
    return out;
}

}
