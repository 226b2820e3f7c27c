/// What the nodes remember of requests that ran when targets crashed, and whether such a request may run again.
///
/// The load pattern: a request crashes each target that runs it, and its caller sends it again and again, with new ids
/// and at any node. No bound on the tries of one attempt stops it, so the nodes remember the request itself. Most
/// requests that run at a crash are innocent, and a popular read runs at every one of them; so what counts is evidence
/// for one request over the others. A run that ends well clears a request; one that has run at two crashes is tried
/// apart from other suspects, then alone; only a crash at which nothing else can be the cause contains it.
///
/// Evidence counts for the request and, apart from it, for the request from one service. So a request that comes from
/// many services is contained as soon as one that comes from a single one, and the same request from a service whose
/// runs end well goes on.
///
/// The memory is a set of facts that only grows until it expires, so that nodes may exchange it in any order and as
/// often as they like. It is bounded in number and age; those with the least evidence are forgotten first, so that
/// nobody can push out a contained request by crashing targets with ever new ones. No I/O; not thread-safe.
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

/// Whether a request may run.
enum class Standing {
    Clear, ///< It runs as any other.
    Suspect, ///< It ran at several crashes; it may run where no other suspect does.
    Isolated, ///< A target crashed while it was the only suspect there; it may run where nothing else does.
    Contained, ///< It crashed a target without anything else that can be the cause; it does not run.
};

/// Returns the name of a standing for logs.
const char *toString(Standing standing);

/// Remembers crashes.
class CrashLedger
{
public:
    /// Sets how many hashes of requests are remembered at most, two for each request.
    explicit CrashLedger(std::size_t maxRequests = DefaultMaxRequests);

    /// Weighs a crash of a target: what ran there, without requests that have run to their end of late. The requests
    /// that were on trial are named; the id must be new.
    CrashNotice weigh(std::uint64_t crash, const std::vector<RequestPrint> &runs,
                      const std::vector<std::uint64_t> &onTrial) const;

    /// Takes in a crash; returns whether something of it was new.
    bool crashed(const CrashNotice &notice, TimePoint now);

    /// Notes that a request ran to its end at a target of this node; returns what other nodes are to know of it, if
    /// crashes spoke against it.
    std::optional<CleanRunNotice> ranClean(const RequestPrint &print, TimePoint now);

    /// Takes in that a request ran to its end elsewhere; returns whether that was new.
    bool cleared(const CleanRunNotice &notice, TimePoint now);

    /// Returns whether a request may run.
    Standing standing(const RequestPrint &print, TimePoint now) const;

    /// Returns whether a request with this head may be under suspicion, so that its body decides.
    bool doubts(std::uint64_t head) const;

    /// Returns whether any request is under suspicion.
    bool doubtsAny() const;

    /// Forgets what is too old.
    void expire(TimePoint now);

    /// Returns a digest of the crashes that count; nodes with the same digest know the same of them.
    std::uint64_t digest() const;

    /// Returns all that is remembered.
    CrashLedgerState state(TimePoint now) const;

    /// Takes in what another node remembers; returns whether something of it was new.
    bool merge(const CrashLedgerState &state, TimePoint now);

    /// Returns how many hashes of requests are remembered.
    std::size_t size() const;

private:
    static constexpr std::size_t DefaultMaxRequests = 1024;

    struct Item {
        CrashWeight weight = CrashWeight::Shared;
        bool cleared = false;
        TimePoint at;
    };
    struct Entry {
        std::uint64_t head = 0;
        std::map<std::uint64_t, Item> items; // by crash
    };

    Standing standingOf(std::uint64_t key, TimePoint now) const;
    bool crashedAlone(std::uint64_t key) const;
    static Standing standingOf(const Entry &entry, TimePoint now);
    static std::size_t counted(const Entry &entry);
    static TimePoint lastCrash(const Entry &entry);
    static Duration memoryOf(const Entry &entry);
    bool note(const RequestPrint &print, std::uint64_t crash, const Item &item);
    bool note(std::uint64_t key, std::uint64_t head, std::uint64_t crash, const Item &item);
    void clear(std::uint64_t key, std::vector<std::uint64_t> *crashes);
    void makeRoom();
    void noteDoubts();

    std::size_t m_maxRequests;
    std::map<std::uint64_t, Entry> m_entries; // by hash of the request, and of the request from one service
    std::unordered_set<std::uint64_t> m_doubtedHeads;
    std::unordered_set<std::uint64_t> m_recentlyClean;
    std::unordered_set<std::uint64_t> m_earlierClean;
    TimePoint m_cleanSince;
};

}
