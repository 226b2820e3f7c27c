#include "daemon/containment.h"

#include "shallotrelay/containment/requestfingerprinter.h"

namespace shallotrelay
{
namespace
{

std::vector<RequestPrint> fingerprintsOf(const CrashNotice &notice)
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
    , m_entryGauge(metrics.gauge("shallotrelay_crash_ledger_requests", "Requests that are remembered from crashes"))
    , m_random(seed)
{
}

void Containment::recordCrash(const Crash &crash)
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
        logLevelChanges(fingerprintsOf(notice), "local target");
    }
    if (!notice.runs.empty()) {
        m_hooks.sendCrashNotice(notice);
    }
}

void Containment::recordCleanRun(const RequestPrint &fingerprint)
{
    std::optional<CleanRunNotice> notice;
    {
        const std::lock_guard lock(m_mutex);
        notice = m_ledger.recordCleanRun(fingerprint, m_clock.now());
        if (notice) {
            logLevelChanges({fingerprint}, "local target");
        }
    }
    if (notice) {
        m_hooks.sendCleanRunNotice(*notice);
    }
}

void Containment::applyNotice(const CrashNotice &notice)
{
    const std::lock_guard lock(m_mutex);
    if (m_ledger.recordCrash(notice, m_clock.now())) {
        logLevelChanges(fingerprintsOf(notice), "notice");
    }
}

void Containment::applyNotice(const CleanRunNotice &notice)
{
    const std::lock_guard lock(m_mutex);
    if (m_ledger.applyCleanRun(notice, m_clock.now())) {
        logLevelChanges({notice.print}, "notice");
    }
}

bool Containment::merge(const CrashLedgerState &state, const std::string &from)
{
    const std::lock_guard lock(m_mutex);
    const bool changed = m_ledger.merge(state, m_clock.now());
    if (changed) {
        LogFields line;
        line.add("from", from).add("entries", std::uint64_t(state.entries.size()));
        m_log.write(LogLevel::Info, "crash-ledger", line);
        updateSummary();
    }
    return changed;
}

SuspicionLevel Containment::suspicionLevel(const RequestPrint &fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.suspicionLevel(fingerprint, m_clock.now());
}

bool Containment::mayBeSuspect(const RequestHead &head) const
{
    if (!m_hasSuspects) {
        return false;
    }
    const std::uint64_t fingerprint = fingerprintOfHead(head);
    const std::lock_guard lock(m_mutex);
    return m_ledger.mayBeSuspect(fingerprint);
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
    updateSummary();
}

/// Logs the requests whose suspicion level has changed. The caller holds the lock.
void Containment::logLevelChanges(const std::vector<RequestPrint> &fingerprints, const std::string &source)
{
    const TimePoint now = m_clock.now();
    for (const RequestPrint &it : fingerprints) {
        const SuspicionLevel level = m_ledger.suspicionLevel(it, now);
        const auto logged = m_loggedLevels.find(it.byCaller);
        if (level == (logged == m_loggedLevels.end() ? SuspicionLevel::Clear : logged->second)) {
            continue;
        }
        LogFields line;
        line.add("print", toString(it)).add("standing", toString(level)).add("source", source);
        m_log.write(LogLevel::Info, "containment", line);
        if (level == SuspicionLevel::Clear) {
            m_loggedLevels.erase(logged);
        } else {
            m_loggedLevels[it.byCaller] = level;
        }
    }
    updateSummary();
}

void Containment::updateSummary()
{
    m_digest = m_ledger.digest();
    m_hasSuspects = m_ledger.hasSuspects();
    m_entryGauge.Set(static_cast<double>(m_ledger.size()));
    // Requests that the ledger drops at its size limit stay in this map, so the map needs a limit of its own.
    constexpr std::size_t MaxLoggedLevels = 4096;
    if (m_loggedLevels.size() > MaxLoggedLevels) {
        m_loggedLevels.clear();
    }
}

}
