#include "shallotrelay/containment/crashledger.h"

#include <algorithm>
#include <utility>

namespace shallotrelay
{
namespace
{

/// Crashes after which a request is a suspect; few innocent requests are running during two.
constexpr std::size_t SuspectCrashes = 2;
/// Crashes after which a request can be contained; in at least one of them it must have been the only possible cause.
constexpr std::size_t ContainedCrashes = 3;
/// Crashes after which a request is isolated even if other possible causes were running each time.
constexpr std::size_t IsolatedCrashes = 4;
/// Maximum number of crashes recorded for one fingerprint; further crashes would add no information.
constexpr std::size_t MaxCrashesPerEntry = 16;
/// Time for which a single crash counts as evidence.
constexpr Duration SingleCrashRetention = std::chrono::minutes(10);
/// Time for which a suspect is retained after its last crash; longer than the longest containment.
constexpr Duration SuspectRetention = std::chrono::hours(12);
/// Time after which a contained request may run alone again; doubled with each crash that it caused alone.
constexpr Duration FirstContainment = std::chrono::minutes(10);
constexpr std::size_t MaxDoublings = 6;
/// Minimum time for which a clean run rules a request out as the cause of a crash; at most twice as long, since clean
/// runs are retained in two generations.
constexpr Duration CleanRunRetention = std::chrono::minutes(1);
/// Maximum number of clean runs in each generation.
constexpr std::size_t MaxCleanRuns = 2048;

std::uint64_t mix(std::uint64_t value)
{
    // The finalizer of SplitMix64.
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

}

const char *toString(SuspicionLevel level)
{
    switch (level) {
    case SuspicionLevel::Clear:
        return "clear";
    case SuspicionLevel::Suspect:
        return "suspect";
    case SuspicionLevel::Isolated:
        return "isolated";
    case SuspicionLevel::Contained:
        return "contained";
    }
    return "invalid";
}

CrashLedger::CrashLedger(std::size_t maxEntries)
    : m_maxEntries(maxEntries)
{
}

CrashNotice CrashLedger::weigh(std::uint64_t crash, const std::vector<RequestPrint> &runs,
                               const std::vector<std::uint64_t> &onTrial) const
{
    CrashNotice out;
    out.crash = crash;
    for (const RequestPrint &it : runs) {
        const bool known = std::any_of(out.runs.begin(), out.runs.end(),
                                       [&](const CrashedRun &run) { return run.print.byCaller == it.byCaller; });
        if (!known && !m_recentCleanRuns.contains(it.byCaller) && !m_previousCleanRuns.contains(it.byCaller)) {
            out.runs.push_back({it, CrashWeight::Shared});
        }
    }
    for (CrashedRun &it : out.runs) {
        if (out.runs.size() == 1) {
            it.weight = CrashWeight::Alone;
        } else if (std::find(onTrial.begin(), onTrial.end(), it.print.whole) != onTrial.end()) {
            it.weight = CrashWeight::OnlySuspect;
        }
    }
    return out;
}

bool CrashLedger::recordCrash(const CrashNotice &notice, TimePoint now)
{
    bool changed = false;
    for (const CrashedRun &it : notice.runs) {
        changed = mergeItem(it.print, notice.crash, {it.weight, false, now}) || changed;
    }
    evictOverflow();
    updateSuspectHeads();
    return changed;
}

bool CrashLedger::mergeItem(const RequestPrint &fingerprint, std::uint64_t crash, const Item &item)
{
    const bool changed = mergeItem(fingerprint.whole, fingerprint.head, crash, item);
    return mergeItem(fingerprint.byCaller, fingerprint.head, crash, item) || changed;
}

/// Merges one item; a known item can only become cleared or gain weight, so the order of merges does not matter.
bool CrashLedger::mergeItem(std::uint64_t key, std::uint64_t head, std::uint64_t crash, const Item &item)
{
    Entry &entry = m_entries[key];
    entry.head = head;
    const auto [it, added] = entry.items.emplace(crash, item);
    if (added) {
        if (entry.items.size() > MaxCrashesPerEntry) {
            const auto older = [](const auto &a, const auto &b) { return a.second.at < b.second.at; };
            entry.items.erase(std::min_element(entry.items.begin(), entry.items.end(), older));
        }
        return true;
    }
    const bool changed = (item.cleared && !it->second.cleared) || item.weight > it->second.weight;
    it->second.cleared = it->second.cleared || item.cleared;
    it->second.weight = std::max(it->second.weight, item.weight);
    return changed;
}

std::optional<CleanRunNotice> CrashLedger::recordCleanRun(const RequestPrint &fingerprint, TimePoint now)
{
    if (now - m_cleanRunsSince > CleanRunRetention || m_recentCleanRuns.size() >= MaxCleanRuns) {
        m_previousCleanRuns = std::exchange(m_recentCleanRuns, {});
        m_cleanRunsSince = now;
    }
    m_recentCleanRuns.insert(fingerprint.byCaller);
    CleanRunNotice out;
    out.print = fingerprint;
    clearItems(fingerprint.whole, &out.crashes);
    clearItems(fingerprint.byCaller, &out.crashes);
    if (!out.crashes.empty()) {
        updateSuspectHeads();
    }
    return out.crashes.empty() ? std::nullopt : std::optional(out);
}

/// Marks all evidence against a fingerprint as cleared and adds the affected crashes to the list.
void CrashLedger::clearItems(std::uint64_t key, std::vector<std::uint64_t> *crashes)
{
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end()) {
        return;
    }
    for (auto &it : entry->second.items) {
        if (!it.second.cleared) {
            it.second.cleared = true;
            if (std::find(crashes->begin(), crashes->end(), it.first) == crashes->end()) {
                crashes->push_back(it.first);
            }
        }
    }
}

bool CrashLedger::applyCleanRun(const CleanRunNotice &notice, TimePoint now)
{
    bool changed = false;
    for (const std::uint64_t it : notice.crashes) {
        changed = mergeItem(notice.print, it, {CrashWeight::Shared, true, now}) || changed;
    }
    evictOverflow();
    updateSuspectHeads();
    return changed;
}

std::size_t CrashLedger::countedCrashes(const Entry &entry)
{
    const auto counts = [](const auto &it) { return !it.second.cleared; };
    return static_cast<std::size_t>(std::count_if(entry.items.begin(), entry.items.end(), counts));
}

TimePoint CrashLedger::lastCrashAt(const Entry &entry)
{
    TimePoint out;
    for (const auto &it : entry.items) {
        out = std::max(out, it.second.at);
    }
    return out;
}

SuspicionLevel CrashLedger::levelOf(const Entry &entry, TimePoint now)
{
    const std::size_t crashes = countedCrashes(entry);
    if (crashes < SuspectCrashes) {
        return SuspicionLevel::Clear;
    }
    std::size_t alone = 0;
    std::size_t singledOut = 0;
    TimePoint lastAlone;
    for (const auto &it : entry.items) {
        if (it.second.cleared || it.second.weight == CrashWeight::Shared) {
            continue;
        }
        ++singledOut;
        if (it.second.weight == CrashWeight::Alone) {
            ++alone;
            lastAlone = std::max(lastAlone, it.second.at);
        }
    }
    if (alone > 0 && crashes >= ContainedCrashes) {
        const Duration term = FirstContainment * (1 << std::min(alone - 1, MaxDoublings));
        return now - lastAlone < term ? SuspicionLevel::Contained : SuspicionLevel::Isolated;
    }
    return singledOut > 0 || crashes >= IsolatedCrashes ? SuspicionLevel::Isolated : SuspicionLevel::Suspect;
}

SuspicionLevel CrashLedger::suspicionLevel(const RequestPrint &fingerprint, TimePoint now) const
{
    const SuspicionLevel callerLevel = levelOf(fingerprint.byCaller, now);
    const SuspicionLevel overallLevel = levelOf(fingerprint.whole, now);
    if (overallLevel == SuspicionLevel::Contained && !hasCrashedAlone(fingerprint.byCaller)) {
        // Contained for requests of other services; as sent by this service it has not run alone yet.
        return std::max(callerLevel, SuspicionLevel::Isolated);
    }
    return std::max(callerLevel, overallLevel);
}

SuspicionLevel CrashLedger::levelOf(std::uint64_t key, TimePoint now) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? SuspicionLevel::Clear : levelOf(it->second, now);
}

bool CrashLedger::hasCrashedAlone(std::uint64_t key) const
{
    const auto entry = m_entries.find(key);
    return entry != m_entries.end()
           && std::any_of(entry->second.items.begin(), entry->second.items.end(),
                          [](const auto &it) { return !it.second.cleared && it.second.weight == CrashWeight::Alone; });
}

bool CrashLedger::mayBeSuspect(std::uint64_t head) const
{
    return m_suspectHeads.contains(head);
}

bool CrashLedger::hasSuspects() const
{
    return !m_suspectHeads.empty();
}

/// Recomputes the heads of all suspects. Whether a request is a suspect does not depend on the time.
void CrashLedger::updateSuspectHeads()
{
    m_suspectHeads.clear();
    for (const auto &it : m_entries) {
        if (countedCrashes(it.second) >= SuspectCrashes) {
            m_suspectHeads.insert(it.second.head);
        }
    }
}

Duration CrashLedger::retentionOf(const Entry &entry)
{
    return countedCrashes(entry) >= SuspectCrashes ? SuspectRetention : SingleCrashRetention;
}

void CrashLedger::expire(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &it) { return now - lastCrashAt(it.second) > retentionOf(it.second); });
    updateSuspectHeads();
}

/// Evicts the entries with the least evidence, the oldest first, until the limit is met.
void CrashLedger::evictOverflow()
{
    while (m_entries.size() > m_maxEntries) {
        const auto hasLessEvidence = [](const auto &a, const auto &b) {
            const std::pair left(countedCrashes(a.second), lastCrashAt(a.second));
            return left < std::pair(countedCrashes(b.second), lastCrashAt(b.second));
        };
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), hasLessEvidence));
    }
}

std::uint64_t CrashLedger::digest() const
{
    std::uint64_t out = 0;
    for (const auto &entry : m_entries) {
        for (const auto &it : entry.second.items) {
            if (!it.second.cleared) {
                out ^= mix(entry.first ^ mix(it.first + static_cast<std::uint64_t>(it.second.weight)));
            }
        }
    }
    return out;
}

CrashLedgerState CrashLedger::state(TimePoint now) const
{
    CrashLedgerState out;
    for (const auto &entry : m_entries) {
        CrashEntry next;
        next.key = entry.first;
        next.head = entry.second.head;
        for (const auto &it : entry.second.items) {
            next.items.push_back(
                {it.first, it.second.weight, it.second.cleared, toWholeMilliseconds(now - it.second.at)});
        }
        out.entries.push_back(std::move(next));
    }
    return out;
}

bool CrashLedger::merge(const CrashLedgerState &state, TimePoint now)
{
    bool changed = false;
    for (const CrashEntry &entry : state.entries) {
        for (const CrashItem &it : entry.items) {
            const TimePoint crashAt = now - std::chrono::milliseconds(it.ageMs);
            changed = mergeItem(entry.key, entry.head, it.crash, {it.weight, it.cleared, crashAt}) || changed;
        }
    }
    expire(now);
    evictOverflow();
    updateSuspectHeads();
    return changed;
}

std::size_t CrashLedger::size() const
{
    return m_entries.size();
}

}
