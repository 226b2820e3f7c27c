/// Records which requests were running when targets crashed, and decides whether such a request may run again.
///
/// Guards against a request that crashes every target that runs it while its caller keeps sending it, with new ids and
/// to any node. A limit on the attempts of one call does not stop it, so nodes record the request itself. Most requests
/// that run during a crash are innocent, and a frequent read runs during every crash, so a request is judged by
/// evidence that distinguishes it from the others. A clean run, which completes without a crash, clears the request. A
/// request that was running during two crashes runs apart from other suspects, then alone. Only a crash without any
/// other possible cause contains it.
///
/// Evidence is recorded for the request itself and, separately, for the request as sent by one service. A request that
/// many services send is thus contained as soon as one that a single service sends, and a service whose runs of the
/// same request are clean can still send it.
///
/// The ledger is a set of facts that only grows until they expire, so nodes may exchange it in any order and
/// repeatedly. Its size and age are limited. Entries with the least evidence are evicted first, so that a caller cannot
/// evict a contained request by crashing targets with ever new requests. No I/O; not thread-safe.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace shallotrelay
{

/// How strongly a request is suspected of crashing targets, which decides whether it may run.
enum class SuspicionLevel {
    Clear, ///< Not suspected; it runs without restriction.
    Suspect, ///< Was running during several crashes; runs only where no other suspect does.
    Isolated, ///< A target crashed with it as the only suspect; runs only where no other request does.
    Contained, ///< Was the only possible cause of a crash; is refused.
};

/// Returns the name of a suspicion level for logs.
const char *toString(SuspicionLevel level);

/// Records crashes and clean runs of requests, and merges those that other nodes have recorded.
class CrashLedger
{
public:
    /// Sets the maximum number of recorded fingerprints; each request takes two.
    explicit CrashLedger(std::size_t maxEntries = DefaultMaxEntries);

    /// Returns a notice of a crash with the weight of the evidence against each request in `runs`, except those with a
    /// recent clean run. `crash` is a new, unique id; `onTrial` are the fingerprints of the requests on trial.
    CrashNotice weigh(std::uint64_t crash, const std::vector<RequestPrint> &runs,
                      const std::vector<std::uint64_t> &onTrial) const;

    /// Records a crash; returns whether the notice contained new evidence.
    bool recordCrash(const CrashNotice &notice, TimePoint now);

    /// Records a clean run at a target of this node. Returns a notice for the other nodes if there was evidence against
    /// the request.
    std::optional<CleanRunNotice> recordCleanRun(const RequestPrint &fingerprint, TimePoint now);

    /// Records a clean run at another node; returns whether the notice cleared further crashes.
    bool applyCleanRun(const CleanRunNotice &notice, TimePoint now);

    /// Returns the suspicion level of a request at this time.
    SuspicionLevel suspicionLevel(const RequestPrint &fingerprint, TimePoint now) const;

    /// Returns whether a suspect has this head, so that the body must be read to tell them apart.
    bool mayBeSuspect(std::uint64_t head) const;

    /// Returns whether there are any suspects.
    bool hasSuspects() const;

    /// Removes entries that have expired.
    void expire(TimePoint now);

    /// Returns a digest of all evidence that is not cleared; nodes with equal digests have the same evidence.
    std::uint64_t digest() const;

    /// Returns all entries, for other nodes.
    CrashLedgerState state(TimePoint now) const;

    /// Merges the entries of another node; returns whether any of them was new.
    bool merge(const CrashLedgerState &state, TimePoint now);

    /// Returns the number of recorded fingerprints.
    std::size_t size() const;

private:
    static constexpr std::size_t DefaultMaxEntries = 1024;

    struct Item {
        CrashWeight weight = CrashWeight::Shared;
        bool cleared = false;
        TimePoint at;
    };
    struct Entry {
        std::uint64_t head = 0;
        std::map<std::uint64_t, Item> items; // by id of the crash
    };

    SuspicionLevel levelOf(std::uint64_t key, TimePoint now) const;
    bool hasCrashedAlone(std::uint64_t key) const;
    static SuspicionLevel levelOf(const Entry &entry, TimePoint now);
    static std::size_t countedCrashes(const Entry &entry);
    static TimePoint lastCrashAt(const Entry &entry);
    static Duration retentionOf(const Entry &entry);
    bool mergeItem(const RequestPrint &fingerprint, std::uint64_t crash, const Item &item);
    bool mergeItem(std::uint64_t key, std::uint64_t head, std::uint64_t crash, const Item &item);
    void clearItems(std::uint64_t key, std::vector<std::uint64_t> *crashes);
    void evictOverflow();
    void updateSuspectHeads();

    std::size_t m_maxEntries;
    std::map<std::uint64_t, Entry> m_entries; // by fingerprint, with and without the calling service
    std::unordered_set<std::uint64_t> m_suspectHeads;
    std::unordered_set<std::uint64_t> m_recentCleanRuns;
    std::unordered_set<std::uint64_t> m_previousCleanRuns;
    TimePoint m_cleanRunsSince;
};

}
