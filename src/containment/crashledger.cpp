#include "shallotrelay/containment/crashledger.h"

#include <algorithm>
#include <utility>

namespace shallotrelay
{
namespace
{

/// Crashes at which a request must have run before it is a suspect; few innocent ones meet two.
constexpr std::size_t SuspectCrashes = 2;
/// Crashes at which a request must have run before it is contained, the last one without any other possible cause.
constexpr std::size_t ContainedCrashes = 3;
/// Crashes after which a request is tried alone even if it always ran beside other suspects.
constexpr std::size_t IsolatedCrashes = 4;
/// Crashes that are remembered of one request; more of them would say nothing new.
constexpr std::size_t MaxItems = 16;
/// Time for which a single crash speaks against a request.
constexpr Duration SingleMemory = std::chrono::minutes(10);
/// Time for which a suspect is remembered after its last crash; longer than the longest containment.
constexpr Duration SuspectMemory = std::chrono::hours(12);
/// Time after which a contained request may be tried alone again; doubled with each trial that ended in a crash.
constexpr Duration FirstContainment = std::chrono::minutes(10);
constexpr std::size_t MaxDoublings = 6;
/// Time for which a run that ended well tells that a request is no cause of crashes; up to twice as long.
constexpr Duration CleanMemory = std::chrono::minutes(1);
/// Requests that are remembered as clean in each half of that time.
constexpr std::size_t MaxClean = 2048;

std::uint64_t mix(std::uint64_t value)
{
    // The finalizer of SplitMix64.
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

}

const char *toString(Standing standing)
{
    switch (standing) {
    case Standing::Clear:
        return "clear";
    case Standing::Suspect:
        return "suspect";
    case Standing::Isolated:
        return "isolated";
    case Standing::Contained:
        return "contained";
    }
    return "invalid";
}

CrashLedger::CrashLedger(std::size_t maxRequests)
    : m_maxRequests(maxRequests)
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
        if (!known && !m_recentlyClean.contains(it.byCaller) && !m_earlierClean.contains(it.byCaller)) {
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

bool CrashLedger::crashed(const CrashNotice &notice, TimePoint now)
{
    bool news = false;
    for (const CrashedRun &it : notice.runs) {
        news = note(it.print, notice.crash, {it.weight, false, now}) || news;
    }
    makeRoom();
    noteDoubts();
    return news;
}

bool CrashLedger::note(const RequestPrint &print, std::uint64_t crash, const Item &item)
{
    const bool news = note(print.whole, print.head, crash, item);
    return note(print.byCaller, print.head, crash, item) || news;
}

/// Merges one fact; what is known already is only ever completed.
bool CrashLedger::note(std::uint64_t key, std::uint64_t head, std::uint64_t crash, const Item &item)
{
    Entry &entry = m_entries[key];
    entry.head = head;
    const auto [it, added] = entry.items.emplace(crash, item);
    if (added) {
        if (entry.items.size() > MaxItems) {
            const auto older = [](const auto &a, const auto &b) { return a.second.at < b.second.at; };
            entry.items.erase(std::min_element(entry.items.begin(), entry.items.end(), older));
        }
        return true;
    }
    const bool news = (item.cleared && !it->second.cleared) || item.weight > it->second.weight;
    it->second.cleared = it->second.cleared || item.cleared;
    it->second.weight = std::max(it->second.weight, item.weight);
    return news;
}

std::optional<CleanRunNotice> CrashLedger::ranClean(const RequestPrint &print, TimePoint now)
{
    if (now - m_cleanSince > CleanMemory || m_recentlyClean.size() >= MaxClean) {
        m_earlierClean = std::exchange(m_recentlyClean, {});
        m_cleanSince = now;
    }
    m_recentlyClean.insert(print.byCaller);
    CleanRunNotice out;
    out.print = print;
    clear(print.whole, &out.crashes);
    clear(print.byCaller, &out.crashes);
    if (!out.crashes.empty()) {
        noteDoubts();
    }
    return out.crashes.empty() ? std::nullopt : std::optional(out);
}

/// Marks what counts against a hash as cleared and adds those crashes to the list.
void CrashLedger::clear(std::uint64_t key, std::vector<std::uint64_t> *crashes)
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

bool CrashLedger::cleared(const CleanRunNotice &notice, TimePoint now)
{
    bool news = false;
    for (const std::uint64_t it : notice.crashes) {
        news = note(notice.print, it, {CrashWeight::Shared, true, now}) || news;
    }
    makeRoom();
    noteDoubts();
    return news;
}

std::size_t CrashLedger::counted(const Entry &entry)
{
    const auto counts = [](const auto &it) { return !it.second.cleared; };
    return static_cast<std::size_t>(std::count_if(entry.items.begin(), entry.items.end(), counts));
}

TimePoint CrashLedger::lastCrash(const Entry &entry)
{
    TimePoint out;
    for (const auto &it : entry.items) {
        out = std::max(out, it.second.at);
    }
    return out;
}

Standing CrashLedger::standingOf(const Entry &entry, TimePoint now)
{
    const std::size_t crashes = counted(entry);
    if (crashes < SuspectCrashes) {
        return Standing::Clear;
    }
    std::size_t alone = 0;
    std::size_t apart = 0;
    TimePoint lastAlone;
    for (const auto &it : entry.items) {
        if (it.second.cleared || it.second.weight == CrashWeight::Shared) {
            continue;
        }
        ++apart;
        if (it.second.weight == CrashWeight::Alone) {
            ++alone;
            lastAlone = std::max(lastAlone, it.second.at);
        }
    }
    if (alone > 0 && crashes >= ContainedCrashes) {
        const Duration term = FirstContainment * (1 << std::min(alone - 1, MaxDoublings));
        return now - lastAlone < term ? Standing::Contained : Standing::Isolated;
    }
    return apart > 0 || crashes >= IsolatedCrashes ? Standing::Isolated : Standing::Suspect;
}

Standing CrashLedger::standing(const RequestPrint &print, TimePoint now) const
{
    const Standing fromCaller = standingOf(print.byCaller, now);
    const Standing fromAll = standingOf(print.whole, now);
    if (fromAll == Standing::Contained && !crashedAlone(print.byCaller)) {
        // It crashed targets when it came from other services; from this one it has not been tried alone.
        return std::max(fromCaller, Standing::Isolated);
    }
    return std::max(fromCaller, fromAll);
}

Standing CrashLedger::standingOf(std::uint64_t key, TimePoint now) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? Standing::Clear : standingOf(it->second, now);
}

bool CrashLedger::crashedAlone(std::uint64_t key) const
{
    const auto entry = m_entries.find(key);
    return entry != m_entries.end()
           && std::any_of(entry->second.items.begin(), entry->second.items.end(),
                          [](const auto &it) { return !it.second.cleared && it.second.weight == CrashWeight::Alone; });
}

bool CrashLedger::doubts(std::uint64_t head) const
{
    return m_doubtedHeads.contains(head);
}

bool CrashLedger::doubtsAny() const
{
    return !m_doubtedHeads.empty();
}

/// Finds the heads of all that is under suspicion. Whether something is does not depend on the time.
void CrashLedger::noteDoubts()
{
    m_doubtedHeads.clear();
    for (const auto &it : m_entries) {
        if (counted(it.second) >= SuspectCrashes) {
            m_doubtedHeads.insert(it.second.head);
        }
    }
}

Duration CrashLedger::memoryOf(const Entry &entry)
{
    return counted(entry) >= SuspectCrashes ? SuspectMemory : SingleMemory;
}

void CrashLedger::expire(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &it) { return now - lastCrash(it.second) > memoryOf(it.second); });
    noteDoubts();
}

/// Forgets those with the least evidence, the oldest first.
void CrashLedger::makeRoom()
{
    while (m_entries.size() > m_maxRequests) {
        const auto weaker = [](const auto &a, const auto &b) {
            const std::pair left(counted(a.second), lastCrash(a.second));
            return left < std::pair(counted(b.second), lastCrash(b.second));
        };
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), weaker));
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
    bool news = false;
    for (const CrashEntry &entry : state.entries) {
        for (const CrashItem &it : entry.items) {
            const TimePoint crashAt = now - std::chrono::milliseconds(it.ageMs);
            news = note(entry.key, entry.head, it.crash, {it.weight, it.cleared, crashAt}) || news;
        }
    }
    expire(now);
    makeRoom();
    noteDoubts();
    return news;
}

std::size_t CrashLedger::size() const
{
    return m_entries.size();
}

}
