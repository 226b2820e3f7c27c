#include "shallotrelay/guard/guard.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Share of one answer in the usual latency; about the last hundred answers count.
constexpr double BaselineWeight = 0.01;
/// Share of one answer in the recent latency; about the last five answers count.
constexpr double RecentWeight = 0.2;
/// Share of one answer in the expected work of its route; about the last ten answers count.
constexpr double RouteWeight = 0.1;
/// Share of one answer in the share of failures.
constexpr double FailureWeight = 0.15;
/// A request is old when it has waited this many times the usual latency for its answer.
constexpr double SlowFactor = 3.0;
/// An answer is fast again when it took at most this many times the usual latency.
constexpr double FastFactor = 2.0;
/// Answers before the usual latency is trusted.
constexpr std::uint64_t MinSamplesForSlowness = 50;
/// Old requests, or fast answers, that make a change of speed.
constexpr std::uint32_t MinOldForSlowness = 3;
constexpr double PercentScale = 100;
/// A pace up to this counts as usual, relative to the usual one.
constexpr double UsualPace = 1.3;
/// Part of the limit above which a target counts as busy.
constexpr double BusyShare = 0.85;
/// Routes whose work is remembered; a bound against routes that come and go.
constexpr std::size_t MaxRoutes = 1024;
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(10);
constexpr Duration LeavingRetryAfter = std::chrono::seconds(1);
/// Usual answers for which a request that may only run alone waits until nothing else runs, and bounds for that time:
/// meanwhile the target takes nothing else.
constexpr double AloneWaitFactor = 3.0;
constexpr Duration LeastAloneWait = std::chrono::milliseconds(100);
constexpr Duration LongestAloneWait = std::chrono::seconds(5);
/// A target that stays slow for this long is taken to be as fast as it gets.
constexpr Duration SlowModeBound = std::chrono::seconds(10);

double blend(double average, double value, double weight)
{
    return average + weight * (value - average);
}

std::uint32_t leastNonZero(std::uint32_t a, std::uint32_t b)
{
    if (a == 0 || b == 0) {
        return std::max(a, b);
    }
    return std::min(a, b);
}

}

const char *toString(GuardRefusal refusal)
{
    switch (refusal) {
    case GuardRefusal::None:
        return "none";
    case GuardRefusal::AtLimit:
        return "at-limit";
    case GuardRefusal::TooLate:
        return "too-late";
    case GuardRefusal::QueueFull:
        return "queue-full";
    case GuardRefusal::Leaving:
        return "leaving";
    case GuardRefusal::Held:
        return "held";
    case GuardRefusal::NotServed:
        return "not-served";
    case GuardRefusal::Absent:
        return "absent";
    case GuardRefusal::Expired:
        return "expired";
    case GuardRefusal::SlowPhase:
        return "slow-phase";
    case GuardRefusal::AnotherAlone:
        return "another-alone";
    }
    return "invalid";
}

GuardRelease Guard::setPolicy(const GuardPolicy &policy, TimePoint now)
{
    if (policy.revision < m_policy.revision) {
        return {};
    }
    const bool returned = policy.served && !m_policy.served;
    m_policy = policy;
    if (returned) {
        // Targets may have turned cold while they got no work.
        m_coldUntil = std::max(m_coldUntil, now + policy.coldTime);
        startRamp(std::max(policy.coldSlots, policy.slots / 2), now);
    }
    if (standingRefusal() != GuardRefusal::None) {
        return refuseAllWaiting();
    }
    return releaseWaiting(now);
}

GuardRelease Guard::announced(const TargetAnnouncement &announcement, TimePoint now)
{
    const bool restarted = !m_present || announcement.bootId != m_announcement.bootId;
    const bool becameReady = announcement.state == TargetState::Ready && m_announcement.state != TargetState::Ready;
    m_announcement = announcement;
    m_present = true;
    if (restarted) {
        enterCold(now);
    }
    if (announcement.coldLeft) {
        const TimePoint until = now + *announcement.coldLeft;
        m_coldUntil = restarted || announcement.coldLeftIsCurrent ? until : std::max(m_coldUntil, until);
    }
    if (restarted || becameReady || m_suspected) {
        startRamp(m_policy.coldSlots, now);
    }
    m_suspected = false;
    if (standingRefusal() != GuardRefusal::None) {
        return refuseAllWaiting();
    }
    return releaseWaiting(now);
}

GuardRelease Guard::announcementEnded(TimePoint now)
{
    m_present = false;
    enterCold(now);
    return refuseAllWaiting();
}

void Guard::holdUntil(TimePoint until)
{
    m_heldUntil = until;
}

void Guard::suspectRestart(TimePoint now)
{
    m_suspected = true;
    enterCold(now);
}

void Guard::startRamp(std::uint32_t from, TimePoint now)
{
    m_rampFrom = from;
    m_readySince = now;
}

void Guard::enterCold(TimePoint now)
{
    startRamp(m_policy.coldSlots, now);
    m_coldUntil = now + m_policy.coldTime;
    m_slow = false;
    m_samples = 0;
}

void Guard::setPace(std::uint32_t percent, TimePoint now)
{
    m_pace.observed(percent, now);
}

void Guard::setLooksPerSecond(double looks)
{
    m_pace.setLooksPerSecond(looks);
}

bool Guard::takeLook(TimePoint now)
{
    // A cold target bears few requests, so it is not asked.
    return standingRefusal() == GuardRefusal::None && now >= m_heldUntil && !cold(now) && m_pace.takeLook(now);
}

Duration Guard::slowPhaseLeft(TimePoint now) const
{
    return m_pace.rest(now);
}

bool Guard::cold(TimePoint now) const
{
    return now < m_coldUntil;
}

GuardRefusal Guard::standingRefusal() const
{
    if (!m_present) {
        return GuardRefusal::Absent;
    }
    if (m_announcement.state == TargetState::Leaving) {
        return GuardRefusal::Leaving;
    }
    if (!m_policy.served) {
        return GuardRefusal::NotServed;
    }
    return GuardRefusal::None;
}

std::uint32_t Guard::fullLimit() const
{
    const std::uint32_t slots = leastNonZero(m_policy.slots, m_announcement.slots);
    return std::min(slots, connectionLimit());
}

std::uint32_t Guard::connectionLimit() const
{
    return leastNonZero(m_policy.connections, m_announcement.connections);
}

std::uint32_t Guard::rampLimit(TimePoint now) const
{
    const std::uint32_t full = fullLimit();
    const std::uint32_t cold = std::min(m_policy.coldSlots, full);
    if (m_suspected || m_announcement.state == TargetState::Cold) {
        return cold;
    }
    const std::uint32_t from = std::clamp(m_rampFrom, cold, full);
    const double elapsed = toSeconds(now - m_readySince);
    const double ramp = toSeconds(m_policy.coldRamp);
    if (elapsed >= ramp) {
        return full;
    }
    return from + static_cast<std::uint32_t>((full - from) * elapsed / ramp);
}

std::uint32_t Guard::limit(TimePoint now) const
{
    if (standingRefusal() != GuardRefusal::None || now < m_heldUntil) {
        return 0;
    }
    const std::uint32_t ramp = rampLimit(now);
    return m_slow ? std::min(ramp, m_slowLimit) : ramp;
}

GuardAnswer Guard::offer(const GuardOffer &offer, TimePoint now)
{
    GuardAnswer answer;
    answer.refusal = standingRefusal();
    answer.retryAfter = LeavingRetryAfter;
    if (answer.refusal != GuardRefusal::None) {
        return answer;
    }
    if (now < m_heldUntil) {
        answer.refusal = GuardRefusal::Held;
        answer.retryAfter = LeastRetryAfter;
        return answer;
    }
    if (offer.deadline <= now) {
        answer.refusal = GuardRefusal::Expired;
        return answer;
    }
    if (offer.alone) {
        return offerAlone(offer, now);
    }
    if (m_pace.holds(now) && !offer.lastOffer) {
        answer.refusal = GuardRefusal::SlowPhase;
        answer.retryAfter = std::max(LeastRetryAfter, m_pace.rest(now));
        return answer;
    }
    const bool first = ranksFirst(offer) && offer.lastOffer;
    if (wouldBeLate(offer, first, now)) {
        answer.refusal = GuardRefusal::TooLate;
        answer.retryAfter = std::max(LeastRetryAfter, expectedWork(offer.route, now) / 2);
        return answer;
    }
    if (m_waiting.size() == 0 && mayStart(now)) {
        start(offer.ticket, {offer.route, offer.repeats}, now);
        answer.kind = GuardAnswer::Kind::Admitted;
        return answer;
    }
    answer.retryAfter = retryAfter();
    const bool queues = offer.mayQueue && m_policy.queueLength > 0;
    if (!queues || m_waiting.size() >= m_policy.queueLength) {
        answer.refusal = queues ? GuardRefusal::QueueFull : GuardRefusal::AtLimit;
        return answer;
    }
    const WaitingRequest request{offer.ticket,
                                 offer.priority,
                                 offer.objective,
                                 offer.deadline,
                                 now + m_policy.queueWait,
                                 expectedWork(offer.route, now),
                                 m_policy.refusesLate && first};
    const WaitingAnswer waiting = m_waiting.offer(request, rate(now), now);
    if (!waiting.waits) {
        answer.refusal = GuardRefusal::TooLate;
        answer.retryAfter = std::max(LeastRetryAfter, waiting.excess);
        return answer;
    }
    m_waitingDetails[offer.ticket] = {offer.route, offer.repeats};
    answer.kind = GuardAnswer::Kind::Queued;
    return answer;
}

GuardAnswer Guard::offerAlone(const GuardOffer &offer, TimePoint now)
{
    GuardAnswer answer;
    answer.retryAfter = std::max(LeastRetryAfter, fromSeconds(m_recentLatency));
    if (m_alone) {
        answer.refusal = GuardRefusal::AnotherAlone;
        return answer;
    }
    const Duration wait = std::clamp(fromSeconds(AloneWaitFactor * m_recentLatency), LeastAloneWait, LongestAloneWait);
    m_alone = AloneRequest{offer.ticket, {offer.route, offer.repeats}, std::min(offer.deadline, now + wait), false};
    GuardRelease release;
    releaseAlone(now, &release);
    answer.kind = release.admitted.empty() ? GuardAnswer::Kind::Queued : GuardAnswer::Kind::Admitted;
    return answer;
}

/// Starts the request that may only run alone once nothing else runs, or gives it up.
void Guard::releaseAlone(TimePoint now, GuardRelease *release)
{
    if (!m_alone || m_alone->running) {
        return;
    }
    if (now >= m_alone->giveUp) {
        release->expired.push_back(m_alone->ticket);
        m_alone.reset();
        return;
    }
    if (m_running.empty() && limit(now) > 0 && coldRateAllows(now)) {
        m_alone->running = true;
        start(m_alone->ticket, m_alone->detail, now);
        release->admitted.push_back(m_alone->ticket);
    }
}

void Guard::start(GuardTicket ticket, const WaitingDetail &detail, TimePoint now)
{
    m_running[ticket]
        = {now, false, detail.route, detail.repeats, useAt(m_running.size() + 1), m_pace.factor(now) > UsualPace};
    m_coldRate.started(now);
}

bool Guard::mayStart(TimePoint now)
{
    if (m_alone || m_running.size() >= limit(now) || m_pace.holds(now)) {
        return false;
    }
    return coldRateAllows(now);
}

bool Guard::coldRateAllows(TimePoint now)
{
    return !cold(now) || m_policy.coldPerSecond <= 0 || m_coldRate.allows(m_policy.coldPerSecond, now);
}

double Guard::useAt(std::size_t running) const
{
    const std::uint32_t slots = std::max(1U, fullLimit());
    return std::min(1.0, static_cast<double>(running) / slots);
}

/// Unknown routes are expected to take as long as the others.
Duration Guard::expectedWork(const std::string &route, TimePoint now) const
{
    const auto it = m_workByRoute.find(route);
    const double average = it == m_workByRoute.end() ? m_recentLatency : it->second;
    const double usual = m_policy.refusesLate ? toSeconds(m_slowdown.usual(route)) : 0;
    if (usual <= 0) {
        return fromSeconds(average);
    }
    // What its calls take shows in the recent average only.
    const std::size_t running = std::min<std::size_t>(m_running.size() + 1, limit(now));
    const double crowded = usual * m_slowdown.factor(useAt(running));
    // Work that waits for the end of a slow phase does not start in it.
    const double pace = m_pace.holds(now) ? 1 : m_pace.factor(now);
    return fromSeconds(std::max(average, crowded * pace));
}

/// Returns whether less urgent requests share the target; these make room for it rather than it being turned away.
bool Guard::ranksFirst(const GuardOffer &offer)
{
    if (m_priorities.size() < MaxRoutes || m_priorities.contains(offer.route)) {
        m_priorities[offer.route] = offer.priority;
    }
    const auto lessUrgent = [&](const auto &it) { return it.second > offer.priority; };
    return std::any_of(m_priorities.begin(), m_priorities.end(), lessUrgent);
}

/// A target that is busy does not take what it cannot answer in time: the slots are worth more to others, and the
/// caller can still go elsewhere.
bool Guard::wouldBeLate(const GuardOffer &offer, bool first, TimePoint now) const
{
    if (!m_policy.refusesLate || offer.objective == TimePoint::max()) {
        return false;
    }
    if (first) {
        return now + expectedWork(offer.route, now) > offer.deadline;
    }
    const bool busy = m_waiting.size() > 0 || m_running.size() > BusyShare * limit(now);
    return busy && now + expectedWork(offer.route, now) > offer.objective;
}

ServiceRate Guard::rate(TimePoint now) const
{
    ServiceRate out;
    out.slots = std::max(1U, limit(now));
    if (cold(now) && m_policy.coldPerSecond > 0) {
        out.slots = std::clamp(m_policy.coldPerSecond * m_recentLatency, 1.0, out.slots);
    }
    out.untilFirstSlot = std::max(fromSeconds(m_recentLatency / out.slots), m_pace.rest(now));
    return out;
}

bool Guard::withdraw(GuardTicket ticket)
{
    if (m_alone && m_alone->ticket == ticket && !m_alone->running) {
        m_alone.reset();
        return true;
    }
    m_waitingDetails.erase(ticket);
    return m_waiting.remove(ticket);
}

void Guard::headArrived(GuardTicket ticket, TimePoint)
{
    const auto it = m_running.find(ticket);
    if (it != m_running.end()) {
        it->second.headSeen = true;
    }
}

GuardRelease Guard::finished(GuardTicket ticket, const GuardOutcome &outcome, TimePoint now)
{
    const auto running = m_running.find(ticket);
    if (running == m_running.end()) {
        return {};
    }
    const Running request = running->second;
    const std::string &route = request.route;
    m_running.erase(running);
    if (m_alone && m_alone->ticket == ticket) {
        m_alone.reset();
    }
    const bool failed = outcome.failed || (outcome.ranOut && ranForLong(request, now));
    m_failureShare = blend(m_failureShare, failed ? 1.0 : 0.0, FailureWeight);
    if (!outcome.answered) {
        learnAbandoned(request, now);
    }
    if (outcome.answered && !outcome.failed) {
        learnLatency(outcome, now);
        const double latency = toSeconds(outcome.headLatency);
        if (!request.startedSlow) {
            m_slowdown.answered(route, request.use, outcome.headLatency);
        }
        const auto known = m_workByRoute.find(route);
        if (known != m_workByRoute.end()) {
            known->second = blend(known->second, latency, RouteWeight);
        } else if (m_workByRoute.size() < MaxRoutes) {
            m_workByRoute[route] = latency;
        }
    }
    return releaseWaiting(now);
}

/// A target that does not finish within its time what takes others far less has failed; a request that began with
/// little time left says nothing of it.
bool Guard::ranForLong(const Running &request, TimePoint now) const
{
    const auto known = m_workByRoute.find(request.route);
    const double usual = known == m_workByRoute.end() ? m_recentLatency : known->second;
    return toSeconds(now - request.start) > SlowFactor * usual;
}

/// A request that ended without an answer took at least as long as it ran.
void Guard::learnAbandoned(const Running &request, TimePoint now)
{
    const auto known = m_workByRoute.find(request.route);
    const double seconds = toSeconds(now - request.start);
    if (known != m_workByRoute.end() && seconds > known->second) {
        known->second = blend(known->second, seconds, RouteWeight);
    }
}

GuardRelease Guard::tick(TimePoint now)
{
    checkForSlowness(now);
    return releaseWaiting(now);
}

void Guard::learnLatency(const GuardOutcome &outcome, TimePoint now)
{
    const double latency = toSeconds(outcome.headLatency);
    m_recentLatency = m_samples == 0 ? latency : blend(m_recentLatency, latency, RecentWeight);
    ++m_samples;
    if (!m_slow) {
        const double weight = std::max(BaselineWeight, 1.0 / static_cast<double>(m_samples));
        m_baselineLatency = blend(m_baselineLatency, latency, weight);
        return;
    }
    if (now - m_slowSince >= SlowModeBound) {
        m_slow = false;
        m_samples = 0;
        return;
    }
    if (latency > FastFactor * m_baselineLatency) {
        m_fastAnswers = 0;
        m_slowLimit = std::min(m_slowLimit, m_policy.coldSlots);
        return;
    }
    ++m_fastAnswers;
    if (m_fastAnswers >= MinOldForSlowness) {
        ++m_slowLimit;
    }
    m_slow = m_slowLimit < fullLimit();
}

void Guard::checkForSlowness(TimePoint now)
{
    if (m_slow || m_samples < MinSamplesForSlowness || m_baselineLatency <= 0) {
        return;
    }
    const TimePoint cutoff = now - fromSeconds(SlowFactor * m_baselineLatency);
    std::uint32_t waitingForHead = 0;
    std::uint32_t old = 0;
    for (const auto &it : m_running) {
        if (!it.second.headSeen) {
            ++waitingForHead;
            old += it.second.start < cutoff ? 1 : 0;
        }
    }
    if (old >= MinOldForSlowness && 2 * old >= waitingForHead) {
        m_slow = true;
        m_slowSince = now;
        m_slowLimit = std::max(1U, m_policy.coldSlots);
        m_fastAnswers = 0;
    }
}

GuardRelease Guard::releaseWaiting(TimePoint now)
{
    GuardRelease release;
    release.expired = m_waiting.dropHopeless(rate(now), now);
    for (const GuardTicket it : release.expired) {
        m_waitingDetails.erase(it);
    }
    releaseAlone(now, &release);
    while (m_waiting.size() > 0 && mayStart(now)) {
        const GuardTicket ticket = m_waiting.takeNext(now)->ticket;
        start(ticket, m_waitingDetails[ticket], now);
        m_waitingDetails.erase(ticket);
        release.admitted.push_back(ticket);
    }
    return release;
}

GuardRelease Guard::refuseAllWaiting()
{
    GuardRelease release;
    release.expired = m_waiting.clear();
    m_waitingDetails.clear();
    if (m_alone && !m_alone->running) {
        release.expired.push_back(m_alone->ticket);
        m_alone.reset();
    }
    return release;
}

Duration Guard::retryAfter() const
{
    const double ahead = static_cast<double>(m_waiting.size()) + 1.0;
    const double slots = std::max<double>(1.0, fullLimit());
    return std::max(LeastRetryAfter, fromSeconds(m_recentLatency * ahead / slots));
}

LoadReport Guard::load(TimePoint now) const
{
    LoadReport report;
    report.inFlight = inFlight();
    report.limit = m_alone ? 0 : limit(now);
    if (cold(now) && m_policy.coldPerSecond > 0) {
        // Other nodes count in slots; a bound on starts keeps about this many of them busy.
        report.limit = std::min(report.limit, static_cast<std::uint32_t>(std::ceil(rate(now).slots)));
    }
    report.queued = queued();
    report.state = m_present ? m_announcement.state : TargetState::Leaving;
    report.failurePerMille = static_cast<std::uint32_t>(std::lround(m_failureShare * 1000));
    report.latencyUs = static_cast<std::uint32_t>(std::min(m_recentLatency * 1e6, 4e9));
    report.revision = m_policy.revision;
    report.pacePercent = m_pace.percent();
    report.fullSlowdownPercent
        = m_policy.refusesLate ? static_cast<std::uint32_t>(m_slowdown.full() * PercentScale) : 0;
    return report;
}

std::uint32_t Guard::inFlight() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

double Guard::repeatShare() const
{
    const auto repeats = [](const auto &it) { return it.second.repeats; };
    const auto n = static_cast<double>(std::count_if(m_running.begin(), m_running.end(), repeats));
    return m_running.empty() ? 0 : n / static_cast<double>(m_running.size());
}

std::uint32_t Guard::queued() const
{
    return static_cast<std::uint32_t>(m_waiting.size());
}

}
