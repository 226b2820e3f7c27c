#include "shallotrelay/admission/admissionqueue.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace shallotrelay
{
namespace
{

/// Maximum share of the time until its deadline that a request may stay queued; the rest is left for an attempt at
/// another target.
constexpr double MaxQueueShare = 0.6;

/// Returns the time until a request starts behind a number of others with the given work.
Duration expectedQueueTime(std::size_t position, Duration work, const ServiceRate &rate)
{
    const double slots = std::max(1.0, rate.slots);
    const Duration untilSlot = rate.untilFirstSlot + std::chrono::duration_cast<Duration>(work / slots);
    return std::max(untilSlot, rate.untilFirstStart + rate.startInterval * static_cast<std::int64_t>(position));
}

/// Returns the latest point in time at which it is worthwhile to start a request.
TimePoint latestStart(const QueuedRequest &request, TimePoint now)
{
    if (request.deadline == TimePoint::max()) {
        return request.queueDeadline;
    }
    const Duration left = request.deadline - now;
    const auto maxWait = std::chrono::duration_cast<Duration>(left * MaxQueueShare);
    return std::min({request.deadline - request.expectedDuration, now + maxWait, request.queueDeadline});
}

}

bool AdmissionQueue::missesObjective(const QueuedRequest &request, TimePoint now)
{
    return request.objective != TimePoint::max() && now + request.expectedDuration > request.objective;
}

bool AdmissionQueue::isLate(const QueuedRequest &request, TimePoint now)
{
    return !request.mayMissObjective && missesObjective(request, now);
}

bool AdmissionQueue::startsBefore(const Entry &a, const Entry &b, TimePoint now)
{
    const bool lateA = isLate(a.request, now);
    const bool lateB = isLate(b.request, now);
    if (lateA != lateB) {
        return lateB;
    }
    if (a.request.priority != b.request.priority) {
        return a.request.priority < b.request.priority;
    }
    const bool missesA = missesObjective(a.request, now);
    const bool missesB = missesObjective(b.request, now);
    if (missesA != missesB) {
        return missesB;
    }
    if (a.request.objective != b.request.objective) {
        return a.request.objective < b.request.objective;
    }
    return a.arrival < b.arrival;
}

bool AdmissionQueue::hasEarlierTurn(const Entry &a, const Entry &b, TimePoint now)
{
    // Requests that differ in nothing else stay ordered by objective and arrival.
    const auto key = [now](const Entry &it) {
        return std::tuple(isLate(it.request, now), !it.turn.owed, it.request.priority, !it.request.nested,
                          missesObjective(it.request, now), !it.turn.underserved, it.turn.served);
    };
    return key(a) < key(b);
}

void AdmissionQueue::sort(TimePoint now)
{
    std::sort(m_entries.begin(), m_entries.end(),
              [now](const Entry &a, const Entry &b) { return startsBefore(a, b, now); });
    if (m_shares.isActive(now)) {
        assignTurns(now);
        std::stable_sort(m_entries.begin(), m_entries.end(),
                         [now](const Entry &a, const Entry &b) { return hasEarlierTurn(a, b, now); });
    }
}

/// Assigns turns as if the requests of each workspace and rank were started one after the other.
void AdmissionQueue::assignTurns(TimePoint now)
{
    std::unordered_map<std::string, std::size_t> aheadOfWorkspace;
    std::unordered_map<std::uint32_t, std::size_t> aheadOfRank;
    for (Entry &it : m_entries) {
        const ShareClaim claim{it.request.workspace, it.request.priority, it.request.nested};
        FurtherStarts further;
        further.ofWorkspace = claim.nested ? 0 : aheadOfWorkspace[claim.workspace]++;
        further.ofRank = aheadOfRank[claim.rank]++;
        it.turn = m_shares.turnOf(claim, further, now);
        it.turn.owed = it.turn.owed && !missesObjective(it.request, now);
    }
}

/// Adds a request and returns its position.
std::size_t AdmissionQueue::insert(const QueuedRequest &request, TimePoint now)
{
    const std::uint64_t arrival = ++m_arrivals;
    m_entries.push_back({request, arrival});
    sort(now);
    const auto it = std::find_if(m_entries.begin(), m_entries.end(),
                                 [arrival](const Entry &entry) { return entry.arrival == arrival; });
    return static_cast<std::size_t>(it - m_entries.begin());
}

bool AdmissionQueue::hasPlaceFor(const QueuedRequest &request, std::size_t length, TimePoint now)
{
    if (m_entries.size() < length) {
        return true;
    }
    if (length == 0 || !m_shares.isActive(now)) {
        return false;
    }
    const std::size_t position = insert(request, now);
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(position));
    return position < length;
}

void AdmissionQueue::truncate(std::size_t length)
{
    while (m_entries.size() > length) {
        m_truncated.push_back(m_entries.back().request.ticket);
        m_entries.pop_back();
    }
}

FairShare &AdmissionQueue::shares()
{
    return m_shares;
}

AdmissionDecision AdmissionQueue::offer(const QueuedRequest &request, const ServiceRate &rate, TimePoint now)
{
    const std::size_t position = insert(request, now);
    Duration ahead{};
    for (std::size_t i = 0; i < position; ++i) {
        ahead += m_entries[i].request.expectedDuration;
    }
    AdmissionDecision decision;
    decision.expectedWait = expectedQueueTime(position, ahead, rate);
    const TimePoint start = now + decision.expectedWait;
    const bool inTime = !request.mayMissObjective && !isLate(request, now);
    const TimePoint latest = inTime && request.objective != TimePoint::max()
                                 ? std::min(request.objective - request.expectedDuration, latestStart(request, now))
                                 : latestStart(request, now);
    if (start > latest) {
        decision.excessWait = start - latest;
        m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(position));
        return decision;
    }
    // Requests that go ahead of it later on do not prolong its wait beyond what is worthwhile at present.
    m_entries[position].request.queueDeadline = latestStart(request, now);
    decision.queued = true;
    return decision;
}

std::optional<QueuedRequest> AdmissionQueue::takeNext(TimePoint now)
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    sort(now);
    QueuedRequest out = m_entries.front().request;
    m_entries.erase(m_entries.begin());
    m_shares.recordStart({out.workspace, out.priority, out.nested}, now);
    return out;
}

std::vector<GuardTicket> AdmissionQueue::dropInfeasible(const ServiceRate &rate, TimePoint now)
{
    sort(now);
    std::vector<GuardTicket> out = std::exchange(m_truncated, {});
    Duration ahead{};
    std::size_t position = 0;
    std::erase_if(m_entries, [&](const Entry &it) {
        const QueuedRequest &request = it.request;
        const TimePoint start = now + expectedQueueTime(position, ahead, rate);
        const bool expired = request.queueDeadline <= now || request.deadline <= now;
        const bool infeasible
            = (request.deadline != TimePoint::max() && start + request.expectedDuration > request.deadline)
              || (request.mayMissObjective && start > request.queueDeadline);
        if (expired || infeasible) {
            out.push_back(request.ticket);
            return true;
        }
        ahead += request.expectedDuration;
        ++position;
        return false;
    });
    return out;
}

bool AdmissionQueue::remove(GuardTicket ticket)
{
    return std::erase(m_truncated, ticket) > 0
           || std::erase_if(m_entries, [&](const Entry &it) { return it.request.ticket == ticket; }) > 0;
}

std::vector<GuardTicket> AdmissionQueue::clear()
{
    std::vector<GuardTicket> out = std::exchange(m_truncated, {});
    for (const Entry &it : m_entries) {
        out.push_back(it.request.ticket);
    }
    m_entries.clear();
    return out;
}

std::size_t AdmissionQueue::size() const
{
    return m_entries.size();
}

}
