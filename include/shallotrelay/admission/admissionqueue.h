/// Queue of the requests that wait for a slot at a target, with the rules for which requests are refused.
///
/// The rules handle seven load patterns:
/// - Burst: more requests arrive than the slots can finish. A request that cannot finish within its objective is
///   refused on arrival rather than after a wait, while its caller can still use another target or retry later.
/// - Retry storm: most requests are retries whose objective has nearly passed. They must not delay requests that can
///   still get a response in time, so late requests queue behind all requests that are in time.
/// - Return after an outage: for seconds, all callers come back and more is asked than fits. Urgent requests that may
///   miss their objective queue behind those of their rank that can still meet it; ordered by age alone, each of them
///   would start too late. None waits longer than was worthwhile when it was queued.
/// - Nested calls: when a call that a target makes while it runs a request is refused, that request fails too and its
///   work is lost. Such calls rank before less urgent requests and are accepted as long as they can finish before their
///   deadline.
/// - Slow phase: a VM is slow for a fraction of a second, and all queued requests become late at once. Late requests
///   are still served before their deadline when slots are free, and are refused as soon as their deadline cannot be
///   met.
/// - Limited rate: the target states how many requests per second it accepts, so that slots are free but may not be
///   used. Requests wait for their turn by rank, and those whose turn comes too late are refused on arrival.
/// - Competing workspaces: requests of one rank that are in time start in this order: calls of running requests, then
///   the workspaces in turn (FairShare), then by objective. Requests that are behind in this order give up their place
///   in a full queue.
///
/// The queue does no I/O and is passed the time with each call.
#pragma once

#include "shallotrelay/admission/fairshare.h"
#include "shallotrelay/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Identifies a request at one guard.
using GuardTicket = std::uint64_t;

/// A request to be queued.
struct QueuedRequest {
    GuardTicket ticket = 0; ///< Chosen by the user, different for each request.
    std::uint32_t priority = 0; ///< Rank; 0 is the most urgent.
    TimePoint objective = TimePoint::max(); ///< Point in time by which a response is wanted.
    TimePoint deadline = TimePoint::max(); ///< Point in time after which a response is useless.
    TimePoint queueDeadline = TimePoint::max(); ///< Point in time until which the request may stay queued.
    Duration expectedDuration{}; ///< Expected execution time at the target.
    bool mayMissObjective = false; ///< Whether it is accepted even if it cannot finish within its objective.
    std::string workspace{}; ///< Workspace of the caller, empty if there is none.
    bool nested = false; ///< Whether it is a call of a running request.
};

/// The rate at which queued requests start.
struct ServiceRate {
    double slots = 1; ///< Requests that the target runs concurrently.
    Duration untilFirstSlot{}; ///< Expected time until the first slot is free.
    Duration untilFirstStart{}; ///< Time until a limit on starts permits the next one; zero if there is no such limit.
    Duration startInterval{}; ///< Time between two starts that such a limit permits; zero if there is none.
};

/// The decision on a request to be queued.
struct AdmissionDecision {
    bool queued = false; ///< Whether the request was queued.
    Duration expectedWait{}; ///< Expected time until the request would start.
    Duration excessWait{}; ///< Time by which the expected wait is too long, if the request was not queued.
};

/// Keeps the requests that wait for one target in the order in which they will start.
class AdmissionQueue
{
public:
    /// Queues a request if it is expected to finish before its deadline without delaying requests that rank before it.
    AdmissionDecision offer(const QueuedRequest &request, const ServiceRate &rate, TimePoint now);

    /// Returns whether a request would have a place in a queue of the given length, its own or that of a request that
    /// starts after it.
    bool hasPlaceFor(const QueuedRequest &request, std::size_t length, TimePoint now);

    /// Removes the requests beyond a length of the queue; the next call of dropInfeasible() returns them.
    void truncate(std::size_t length);

    /// Removes and returns the request that starts next.
    std::optional<QueuedRequest> takeNext(TimePoint now);

    /// Removes and returns the requests that are no longer expected to finish before their deadline, and returns those
    /// that truncate() removed.
    std::vector<GuardTicket> dropInfeasible(const ServiceRate &rate, TimePoint now);

    /// Removes a request; returns whether it was queued.
    bool remove(GuardTicket ticket);

    /// Removes and returns all requests.
    std::vector<GuardTicket> clear();

    /// Returns the number of queued requests.
    std::size_t size() const;

    /// Returns the shares of the target's starts; record there what is offered, and what starts without being queued.
    FairShare &shares();

private:
    struct Entry {
        QueuedRequest request;
        std::uint64_t arrival = 0;
        ShareTurn turn{};
    };

    static bool missesObjective(const QueuedRequest &request, TimePoint now);
    static bool isLate(const QueuedRequest &request, TimePoint now);
    static bool startsBefore(const Entry &a, const Entry &b, TimePoint now);
    static bool hasEarlierTurn(const Entry &a, const Entry &b, TimePoint now);
    std::size_t insert(const QueuedRequest &request, TimePoint now);
    void sort(TimePoint now);
    void assignTurns(TimePoint now);

    std::vector<Entry> m_entries; // in the order of the last sort
    std::uint64_t m_arrivals = 0;
    FairShare m_shares;
    std::vector<GuardTicket> m_truncated;
};

}
