#include "shallotrelay/admission/waitingline.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Part of the time until its deadline that a request may wait; the rest is for its caller to try elsewhere.
constexpr double LongestWaitShare = 0.6;

Duration waitFor(Duration work, const ServiceRate &rate)
{
    const double slots = std::max(1.0, rate.slots);
    return rate.untilFirstSlot + std::chrono::duration_cast<Duration>(work / slots);
}

/// Returns until when a request must start to be worth starting.
TimePoint latestStart(const WaitingRequest &request, TimePoint now)
{
    if (request.deadline == TimePoint::max()) {
        return request.giveUp;
    }
    const Duration left = request.deadline - now;
    const auto share = std::chrono::duration_cast<Duration>(left * LongestWaitShare);
    return std::min({request.deadline - request.work, now + share, request.giveUp});
}

}

bool WaitingLine::isLate(const WaitingRequest &request, TimePoint now)
{
    return !request.mayBeLate && request.objective != TimePoint::max() && now + request.work > request.objective;
}

bool WaitingLine::goesBefore(const Place &a, const Place &b, TimePoint now)
{
    const bool lateA = isLate(a.request, now);
    const bool lateB = isLate(b.request, now);
    if (lateA != lateB) {
        return lateB;
    }
    if (a.request.priority != b.request.priority) {
        return a.request.priority < b.request.priority;
    }
    if (a.request.objective != b.request.objective) {
        return a.request.objective < b.request.objective;
    }
    return a.arrival < b.arrival;
}

void WaitingLine::sort(TimePoint now)
{
    std::sort(m_places.begin(), m_places.end(),
              [now](const Place &a, const Place &b) { return goesBefore(a, b, now); });
}

std::size_t WaitingLine::placeOf(const Place &place, TimePoint now) const
{
    const auto before = [&](const Place &it) { return goesBefore(it, place, now); };
    return static_cast<std::size_t>(std::count_if(m_places.begin(), m_places.end(), before));
}

WaitingAnswer WaitingLine::offer(const WaitingRequest &request, const ServiceRate &rate, TimePoint now)
{
    sort(now);
    Place place{request, ++m_arrivals};
    const std::size_t at = placeOf(place, now);
    Duration ahead{};
    for (std::size_t i = 0; i < at; ++i) {
        ahead += m_places[i].request.work;
    }
    WaitingAnswer answer;
    answer.expectedWait = waitFor(ahead, rate);
    const TimePoint start = now + answer.expectedWait;
    const bool inTime = !request.mayBeLate && !isLate(request, now);
    const TimePoint latest = inTime && request.objective != TimePoint::max()
                                 ? std::min(request.objective - request.work, latestStart(request, now))
                                 : latestStart(request, now);
    if (start > latest) {
        answer.excess = start - latest;
        return answer;
    }
    m_places.insert(m_places.begin() + static_cast<std::ptrdiff_t>(at), place);
    answer.waits = true;
    return answer;
}

std::optional<WaitingRequest> WaitingLine::takeNext(TimePoint now)
{
    if (m_places.empty()) {
        return std::nullopt;
    }
    sort(now);
    WaitingRequest out = m_places.front().request;
    m_places.erase(m_places.begin());
    return out;
}

std::vector<GuardTicket> WaitingLine::dropHopeless(const ServiceRate &rate, TimePoint now)
{
    sort(now);
    std::vector<GuardTicket> out;
    Duration ahead{};
    std::erase_if(m_places, [&](const Place &it) {
        const WaitingRequest &request = it.request;
        const TimePoint start = now + waitFor(ahead, rate);
        const bool over = request.giveUp <= now || request.deadline <= now;
        const bool hopeless = request.deadline != TimePoint::max() && start + request.work > request.deadline;
        if (over || hopeless) {
            out.push_back(request.ticket);
            return true;
        }
        ahead += request.work;
        return false;
    });
    return out;
}

bool WaitingLine::remove(GuardTicket ticket)
{
    return std::erase_if(m_places, [&](const Place &it) { return it.request.ticket == ticket; }) > 0;
}

std::vector<GuardTicket> WaitingLine::clear()
{
    std::vector<GuardTicket> out;
    for (const Place &it : m_places) {
        out.push_back(it.request.ticket);
    }
    m_places.clear();
    return out;
}

std::size_t WaitingLine::size() const
{
    return m_places.size();
}

}
