#include "shallotrelay/containment/crashwatch.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Time in which all connections of a crashed target are noticed to be cut off.
constexpr Duration SettleTime = std::chrono::milliseconds(100);
/// Time after which a connection that was cut off is no longer put down to a crash.
constexpr Duration CutMemory = std::chrono::seconds(10);

}

const char *toString(CrashEvidence evidence)
{
    return evidence == CrashEvidence::NothingListens ? "nothing-listens" : "new-start";
}

void CrashWatch::started(GuardTicket ticket, WatchedRun run, TimePoint now)
{
    std::erase_if(m_runs, [&](const auto &it) { return it.second.cutAt && now - *it.second.cutAt > CutMemory; });
    m_runs[ticket] = Run{std::move(run), now, {}};
}

void CrashWatch::ended(GuardTicket ticket)
{
    const auto it = m_runs.find(ticket);
    if (it != m_runs.end() && !it->second.cutAt) {
        m_runs.erase(it);
    }
}

void CrashWatch::cutOff(GuardTicket ticket, TimePoint now)
{
    const auto it = m_runs.find(ticket);
    if (it != m_runs.end() && !it->second.cutAt) {
        it->second.cutAt = now;
    }
}

void CrashWatch::alive(TimePoint sentAt)
{
    std::erase_if(m_runs, [&](const auto &it) { return it.second.cutAt && *it.second.cutAt <= sentAt; });
}

std::optional<Crash> CrashWatch::signOfCrash(CrashEvidence evidence, TimePoint now)
{
    std::optional<TimePoint> firstCut;
    for (const auto &it : m_runs) {
        if (it.second.cutAt && (!firstCut || *it.second.cutAt < *firstCut)) {
            firstCut = it.second.cutAt;
        }
    }
    if (!firstCut) {
        return std::nullopt;
    }
    const auto goesOn = [&](const auto &it) { return !it.second.cutAt && it.second.start < *firstCut; };
    if (now - *firstCut < SettleTime && std::any_of(m_runs.begin(), m_runs.end(), goesOn)) {
        return std::nullopt;
    }
    Crash out{evidence, now - *firstCut, {}, {}};
    for (const auto &it : m_runs) {
        if (it.second.start <= *firstCut || it.second.cutAt) {
            out.runs.push_back(it.second.run);
        }
    }
    m_runs.clear();
    return out;
}

}
