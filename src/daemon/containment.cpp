#include "daemon/containment.h"

#include "shallotrelay/containment/requestfingerprinter.h"

namespace shallotrelay
{
namespace
{

std::vector<RequestPrint> printsOf(const CrashNotice &notice)
{
    std::vector<RequestPrint> out;
    for (const CrashedRun &it : notice.runs) {
        out.push_back(it.print);
    }
    return out;
}

}

Containment::Containment(const Clock &clock, std::uint64_t seed, Hooks hooks, EventLog &log, Metrics &metrics)
    : m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_log(log)
    , m_remembered(metrics.gauge("shallotrelay_crash_ledger_requests", "Requests that are remembered from crashes"))
    , m_random(seed)
{
}

void Containment::crashed(const Crash &crash)
{
    std::vector<RequestPrint> runs;
    for (const TrackedRun &it : crash.runs) {
        runs.push_back(it.print);
    }
    CrashNotice notice;
    {
        const std::lock_guard lock(m_mutex);
        notice = m_ledger.weigh(m_random(), runs, crash.onTrial);
        m_ledger.recordCrash(notice, m_clock.now());
        noteStanding(printsOf(notice), "own target");
    }
    if (!notice.runs.empty()) {
        m_hooks.tellCrash(notice);
    }
}

void Containment::recordCleanRun(const RequestPrint &print)
{
    std::optional<CleanRunNotice> notice;
    {
        const std::lock_guard lock(m_mutex);
        notice = m_ledger.recordCleanRun(print, m_clock.now());
        if (notice) {
            noteStanding({print}, "own target");
        }
    }
    if (notice) {
        m_hooks.tellCleanRun(*notice);
    }
}

void Containment::take(const CrashNotice &notice)
{
    const std::lock_guard lock(m_mutex);
    if (m_ledger.recordCrash(notice, m_clock.now())) {
        noteStanding(printsOf(notice), "notice");
    }
}

void Containment::take(const CleanRunNotice &notice)
{
    const std::lock_guard lock(m_mutex);
    if (m_ledger.applyCleanRun(notice, m_clock.now())) {
        noteStanding({notice.print}, "notice");
    }
}

bool Containment::merge(const CrashLedgerState &state, const std::string &from)
{
    const std::lock_guard lock(m_mutex);
    const bool news = m_ledger.merge(state, m_clock.now());
    if (news) {
        LogFields line;
        line.add("from", from).add("entries", std::uint64_t(state.entries.size()));
        m_log.write(LogLevel::Info, "crash-ledger", line);
        noteChange();
    }
    return news;
}

SuspicionLevel Containment::standing(const RequestPrint &print) const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.suspicionLevel(print, m_clock.now());
}

bool Containment::mayBeSuspect(const RequestHead &head) const
{
    if (!m_doubtsAny) {
        return false;
    }
    const std::uint64_t print = fingerprintOfHead(head);
    const std::lock_guard lock(m_mutex);
    return m_ledger.mayBeSuspect(print);
}

std::uint64_t Containment::digest() const
{
    return m_digest;
}

CrashLedgerState Containment::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.state(m_clock.now());
}

void Containment::expire()
{
    const std::lock_guard lock(m_mutex);
    m_ledger.expire(m_clock.now());
    noteChange();
}

/// Logs the requests whose standing has changed; the lock must be held.
void Containment::noteStanding(const std::vector<RequestPrint> &prints, const std::string &source)
{
    const TimePoint now = m_clock.now();
    for (const RequestPrint &it : prints) {
        const SuspicionLevel standing = m_ledger.suspicionLevel(it, now);
        const auto told = m_told.find(it.byCaller);
        if (standing == (told == m_told.end() ? SuspicionLevel::Clear : told->second)) {
            continue;
        }
        LogFields line;
        line.add("print", toString(it)).add("standing", toString(standing)).add("source", source);
        m_log.write(LogLevel::Info, "containment", line);
        if (standing == SuspicionLevel::Clear) {
            m_told.erase(told);
        } else {
            m_told[it.byCaller] = standing;
        }
    }
    noteChange();
}

void Containment::noteChange()
{
    m_digest = m_ledger.digest();
    m_doubtsAny = m_ledger.hasSuspects();
    m_remembered.Set(static_cast<double>(m_ledger.size()));
    // The ledger is bounded; what it has forgotten need not be told again.
    constexpr std::size_t MaxTold = 4096;
    if (m_told.size() > MaxTold) {
        m_told.clear();
    }
}

}
