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
    std::erase_if(m_runs, [&](const auto &it) {
        const auto over = it.second.cutAt ? it.second.cutAt : it.second.abandonedAt;
        return over && now - *over > CutMemory;
    });
    m_runs[ticket] = Run{std::move(run), now, {}, {}};
}

void CrashWatch::ended(GuardTicket ticket)
{
    const auto it = m_runs.find(ticket);
    if (it != m_runs.end() && !it->second.cutAt) {
        m_runs.erase(it);
    }
}

void CrashWatch::abandoned(GuardTicket ticket, TimePoint now)
{
    const auto it = m_runs.find(ticket);
    if (it != m_runs.end()) {
        it->second.abandonedAt = now;
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
    std::erase_if(m_runs, [&](const auto &it) {
        const auto over = it.second.cutAt ? it.second.cutAt : it.second.abandonedAt;
        return over && *over <= sentAt;
    });
}

std::optional<Crash> CrashWatch::signOfCrash(CrashEvidence evidence, TimePoint now)
{
    const auto firstCut = firstOf(&Run::cutAt);
    const auto firstSign = firstCut ? firstCut : firstOf(&Run::abandonedAt);
    if (!firstSign) {
        return std::nullopt;
    }
    const auto isOver = [&](const Run &run) { return firstCut ? run.cutAt.has_value() : run.abandonedAt.has_value(); };
    const auto goesOn
        = [&](const auto &it) { return !it.second.abandonedAt && !isOver(it.second) && it.second.start < *firstSign; };
    const bool mayBeLate = now - *firstSign < SettleTime;
    if (mayBeLate && std::any_of(m_runs.begin(), m_runs.end(), goesOn)) {
        return std::nullopt;
    }
    Crash out{evidence, now - *firstSign, {}, {}};
    for (const auto &it : m_runs) {
        if (isOver(it.second) || goesOn(it)) {
            out.runs.push_back(it.second.run);
        }
    }
    m_runs.clear();
    return out;
}

/// Returns the earliest of the times that runs have of a kind.
std::optional<TimePoint> CrashWatch::firstOf(std::optional<TimePoint> Run::*time) const
{
    std::optional<TimePoint> out;
    for (const auto &it : m_runs) {
        const auto &at = it.second.*time;
        out = at && (!out || *at < *out) ? at : out;
    }
    return out;
}

}
