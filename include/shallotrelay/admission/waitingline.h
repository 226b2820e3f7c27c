/// Requests that wait for a slot at a target, and which of them are turned away.
///
/// Three load patterns decide the rules:
/// - A burst brings more requests than the slots can finish. A request that cannot finish within its objective is told
///   so when it arrives, while its caller can still go elsewhere or come back, instead of after a wait.
/// - A retry storm brings mostly requests whose objective has nearly passed. They do not delay requests that can still
///   be answered in time: what is late waits behind all that is in time.
/// - Calls that a target makes while it runs a request fail that request when they are turned away, and its work is
/// lost.
///   They rank before what is less urgent, and are taken in as long as they can finish before their deadline.
/// - A slow phase of a VM lasts a fraction of a second and makes all that waits late at once. What is late is still
///   served before its deadline when slots are left over, and is refused as soon as that cannot be expected.
///
/// The line does no I/O; it takes the time with each call.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace shallotrelay
{

/// Identifies a request at one guard.
using GuardTicket = std::uint64_t;

/// A request that would wait.
struct WaitingRequest {
    GuardTicket ticket = 0; ///< Chosen by the user, different for each request.
    std::uint32_t priority = 0; ///< Rank; 0 is the most urgent.
    TimePoint objective = TimePoint::max(); ///< An answer is wanted by then.
    TimePoint deadline = TimePoint::max(); ///< After this nobody takes an answer.
    TimePoint giveUp = TimePoint::max(); ///< It does not wait longer than this.
    Duration work{}; ///< Expected time at the target.
    bool mayBeLate = false; ///< Whether it is taken in even if it cannot finish within its objective.
};

/// How fast the line moves.
struct ServiceRate {
    double slots = 1; ///< Requests that the target works on at once.
    Duration untilFirstSlot{}; ///< Expected time until the first slot is free.
};

/// The answer to a request that would wait.
struct WaitingAnswer {
    bool waits = false; ///< Whether it was taken into the line.
    Duration expectedWait{}; ///< Expected time until it would start.
    Duration excess{}; ///< By how much that is too long, if it was not taken in.
};

/// Keeps the requests that wait for one target in the order in which they will start.
class WaitingLine
{
public:
    /// Takes a request in if it can be expected to finish before its deadline, without making one before it late.
    WaitingAnswer offer(const WaitingRequest &request, const ServiceRate &rate, TimePoint now);

    /// Removes and returns the request that starts next.
    std::optional<WaitingRequest> takeNext(TimePoint now);

    /// Removes and returns the requests that cannot be expected to finish in time any more.
    std::vector<GuardTicket> dropHopeless(const ServiceRate &rate, TimePoint now);

    /// Removes a request; returns whether it waited.
    bool remove(GuardTicket ticket);

    /// Removes and returns all requests.
    std::vector<GuardTicket> clear();

    /// Returns how many requests wait.
    std::size_t size() const;

private:
    struct Place {
        WaitingRequest request;
        std::uint64_t arrival = 0;
    };

    static bool isLate(const WaitingRequest &request, TimePoint now);
    static bool goesBefore(const Place &a, const Place &b, TimePoint now);
    std::size_t placeOf(const Place &place, TimePoint now) const;
    void sort(TimePoint now);

    std::vector<Place> m_places; // in the order of the last sort
    std::uint64_t m_arrivals = 0;
};

}
