#include "shallotrelay/guard/guard.h"

#include "shallotrelay/bundle/workspace.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Weight of one response in the baseline latency; about the last hundred responses count.
constexpr double BaselineWeight = 0.01;
/// Weight of one response in the recent latency; about the last five responses count.
constexpr double RecentWeight = 0.2;
/// Weight of one response in the expected duration of its route; about the last ten responses count.
constexpr double RouteWeight = 0.1;
/// Weight of one request in the failure share.
constexpr double FailureWeight = 0.15;
/// A request is overdue when its response has taken this many times the baseline latency.
constexpr double SlowFactor = 3.0;
/// A response counts as fast when it took at most this many times the baseline latency.
constexpr double FastFactor = 2.0;
/// Minimum number of responses before the baseline latency is used.
constexpr std::uint64_t MinBaselineSamples = 50;
/// Minimum number of overdue requests, or of fast responses, that indicates a change of speed.
constexpr std::uint32_t MinForSpeedChange = 3;
constexpr double PercentScale = 100;
/// Maximum number of requests in flight until the first statement of a target, if the target makes statements.
constexpr std::uint32_t MaxBeforeStatement = 2;
/// Maximum slowdown factor that counts as normal speed.
constexpr double MaxNormalSlowdown = 1.3;
/// Share of the in-flight limit above which a target counts as busy.
constexpr double BusyShare = 0.85;
/// Maximum number of routes with statistics; limits memory when route names keep changing.
constexpr std::size_t MaxRoutes = 1024;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(10);
constexpr Duration LeavingRetryAfter = std::chrono::seconds(1);
/// A target may recover, and others may have room, long before a very low stated limit permits another start.
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
/// Maximum time that a request which may run only alone waits for the running requests to finish, as a multiple of the
/// recent latency and with absolute limits; the target admits no other requests in the meantime.
constexpr double AloneWaitFactor = 3.0;
constexpr Duration MinAloneWait = std::chrono::milliseconds(100);
constexpr Duration MaxAloneWait = std::chrono::seconds(5);
/// Time after which the latency of a slow target is accepted as its new baseline.
constexpr Duration MaxSlowModeTime = std::chrono::seconds(10);

double movingAverage(double average, double value, double weight)
{
    return average + weight * (value - average);
}

std::uint32_t minNonZero(std::uint32_t a, std::uint32_t b)
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
    case GuardRefusal::AtStatedLimit:
        return "at-stated-limit";
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
    case GuardRefusal::NotGranted:
        return "not-granted";
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
    m_limits.allowance.setTerms(policy.starts);
    if (returned) {
        // The target may have become cold while it received no requests.
        m_coldUntil = std::max(m_coldUntil, now + policy.coldTime);
        startRamp(std::max(policy.coldSlots, policy.slots / 2), now);
    }
    if (unavailability() != GuardRefusal::None) {
        return refuseAllQueued();
    }
    return releaseQueued(now);
}

GuardRelease Guard::announced(const TargetAnnouncement &announcement, TimePoint now)
{
    const bool restarted = !m_present || announcement.bootId != m_announcement.bootId;
    const bool becameReady = announcement.state == TargetState::Ready && m_announcement.state != TargetState::Ready;
    m_announcement = announcement;
    m_present = true;
    if (restarted) {
        enterCold(now);
        ++m_startNumber;
        m_limits.stated.reset();
        m_statementReceived = false;
        m_leavingStated = false;
    }
    if (announcement.remainingColdTime) {
        const TimePoint until = now + *announcement.remainingColdTime;
        m_coldUntil = restarted || announcement.remainingColdTimeIsCurrent ? until : std::max(m_coldUntil, until);
    }
    if (restarted || becameReady || m_restartSuspected) {
        startRamp(m_policy.coldSlots, now);
    }
    m_restartSuspected = false;
    if (unavailability() != GuardRefusal::None) {
        return refuseAllQueued();
    }
    return releaseQueued(now);
}

GuardRelease Guard::announcementEnded(TimePoint now)
{
    m_present = false;
    enterCold(now);
    return refuseAllQueued();
}

std::optional<GuardRelease> Guard::applyStatement(const TargetStatement &statement, StatementSource source,
                                                  std::uint64_t startNumber, TimePoint now)
{
    if (startNumber != m_startNumber) {
        return std::nullopt;
    }
    m_statementReceived = true;
    m_limits.stated.recordStatement(statement, source, now);
    m_leavingStated = m_leavingStated || statement.leaving;
    return unavailability() != GuardRefusal::None ? refuseAllQueued() : releaseQueued(now);
}

void Guard::extendColdTime(Duration remaining, TimePoint now)
{
    m_coldUntil = std::max(m_coldUntil, now + remaining);
}

std::uint64_t Guard::startNumber() const
{
    return m_startNumber;
}

std::optional<double> Guard::statedLimit() const
{
    return m_limits.stated.stated();
}

void Guard::holdUntil(TimePoint until)
{
    m_heldUntil = until;
}

void Guard::suspectRestart(TimePoint now)
{
    m_restartSuspected = true;
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

void Guard::setSlowdown(std::uint32_t percent, TimePoint now)
{
    m_slowPhaseGate.recordSlowdown(percent, now);
}

void Guard::setSlowdownProbesPerSecond(double probesPerSecond)
{
    m_slowPhaseGate.setSlowdownProbesPerSecond(probesPerSecond);
}

bool Guard::tryAcquireSlowdownProbe(TimePoint now)
{
    // A cold target has little capacity, and one at the limit that it states starts no request, so they are not probed.
    return unavailability() == GuardRefusal::None && now >= m_heldUntil && !cold(now)
           && m_limits.stated.allowsStart(now) && m_limits.hasAllowance(0, now)
           && m_slowPhaseGate.tryAcquireSlowdownProbe(now);
}

Duration Guard::remainingSlowPhase(TimePoint now) const
{
    return m_slowPhaseGate.expectedDelay(now);
}

bool Guard::cold(TimePoint now) const
{
    return now < m_coldUntil;
}

GuardRefusal Guard::unavailability() const
{
    if (!m_present) {
        return GuardRefusal::Absent;
    }
    if (m_announcement.state == TargetState::Leaving || m_leavingStated) {
        return GuardRefusal::Leaving;
    }
    if (!m_policy.served) {
        return GuardRefusal::NotServed;
    }
    return GuardRefusal::None;
}

std::uint32_t Guard::fullLimit() const
{
    const std::uint32_t slots = minNonZero(m_policy.slots, m_announcement.slots);
    return std::min(slots, connectionLimit());
}

std::uint32_t Guard::connectionLimit() const
{
    return minNonZero(m_policy.connections, m_announcement.connections);
}

std::uint32_t Guard::rampLimit(TimePoint now) const
{
    const std::uint32_t full = fullLimit();
    const std::uint32_t cold = std::min(m_policy.coldSlots, full);
    if (m_restartSuspected || m_announcement.state == TargetState::Cold) {
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
    if (unavailability() != GuardRefusal::None || now < m_heldUntil) {
        return 0;
    }
    std::uint32_t out = rampLimit(now);
    out = m_slow ? std::min(out, m_slowLimit) : out;
    return m_policy.expectsStatements && !m_statementReceived ? std::min(out, MaxBeforeStatement) : out;
}

GuardOfferResult Guard::offer(const GuardOffer &offer, TimePoint now)
{
    GuardOfferResult result;
    result.refusal = unavailability();
    result.retryAfter = LeavingRetryAfter;
    if (result.refusal != GuardRefusal::None) {
        return result;
    }
    if (now < m_heldUntil || !m_limits.hasAllowance(queued(), now)) {
        result.refusal = now < m_heldUntil ? GuardRefusal::Held : GuardRefusal::NotGranted;
        result.retryAfter = MinRetryAfter;
        return result;
    }
    if (offer.deadline <= now) {
        result.refusal = GuardRefusal::Expired;
        return result;
    }
    if (offer.alone) {
        return offerAlone(offer, now);
    }
    if (m_slowPhaseGate.delaysStarts(now) && !offer.lastOffer) {
        result.refusal = GuardRefusal::SlowPhase;
        result.retryAfter = std::max(MinRetryAfter, m_slowPhaseGate.expectedDelay(now));
        return result;
    }
    const ShareClaim claim{offer.workspace, offer.priority, offer.nested};
    m_queue.shares().recordOffer(claim, now);
    const bool outranks = outranksOtherRoutes(offer) && offer.lastOffer;
    if (wouldBeLate(offer, outranks, now)) {
        result.refusal = GuardRefusal::TooLate;
        result.retryAfter = std::max(MinRetryAfter, expectedDuration(offer.route, now) / 2);
        return result;
    }
    if (m_queue.size() == 0 && mayStart(now)) {
        start(offer.ticket, {offer.route, offer.repeats}, now);
        m_queue.shares().recordStart(claim, now);
        result.kind = GuardOfferResult::Kind::Admitted;
        return result;
    }
    result.retryAfter = retryAfter(now);
    const bool queues = offer.mayQueue && m_policy.queueLength > 0;
    const GuardRefusal atLimit = m_limits.stated.allowsStart(now) ? GuardRefusal::AtLimit : GuardRefusal::AtStatedLimit;
    const QueuedRequest request{offer.ticket,
                                offer.priority,
                                offer.objective,
                                offer.deadline,
                                now + m_policy.queueWait,
                                expectedDuration(offer.route, now),
                                m_policy.refusesLate && outranks,
                                offer.workspace,
                                offer.nested};
    if (!queues || !m_queue.hasPlaceFor(request, m_policy.queueLength, now)) {
        result.refusal = queues ? GuardRefusal::QueueFull : atLimit;
        return result;
    }
    const AdmissionDecision decision = m_queue.offer(request, serviceRate(now), now);
    if (!decision.queued) {
        result.refusal = atLimit == GuardRefusal::AtStatedLimit ? atLimit : GuardRefusal::TooLate;
        result.retryAfter = std::clamp(decision.excessWait, MinRetryAfter, MaxRetryAfter);
        return result;
    }
    m_queue.truncate(m_policy.queueLength);
    m_queuedDetails[offer.ticket] = {offer.route, offer.repeats};
    result.kind = GuardOfferResult::Kind::Queued;
    return result;
}

GuardOfferResult Guard::offerAlone(const GuardOffer &offer, TimePoint now)
{
    GuardOfferResult result;
    result.retryAfter = std::max(MinRetryAfter, fromSeconds(m_recentLatency));
    if (m_alone) {
        result.refusal = GuardRefusal::AnotherAlone;
        return result;
    }
    const Duration wait = std::clamp(fromSeconds(AloneWaitFactor * m_recentLatency), MinAloneWait, MaxAloneWait);
    m_alone = AloneRequest{offer.ticket, {offer.route, offer.repeats}, std::min(offer.deadline, now + wait), false};
    GuardRelease release;
    releaseAlone(now, &release);
    result.kind = release.admitted.empty() ? GuardOfferResult::Kind::Queued : GuardOfferResult::Kind::Admitted;
    return result;
}

/// Starts the request that may run only alone once no other request runs, or expires it.
void Guard::releaseAlone(TimePoint now, GuardRelease *release)
{
    if (!m_alone || m_alone->running) {
        return;
    }
    if (now >= m_alone->queueDeadline) {
        release->expired.push_back(m_alone->ticket);
        m_alone.reset();
        return;
    }
    if (m_running.empty() && limit(now) > 0 && startRatesAllow(now)) {
        m_alone->running = true;
        start(m_alone->ticket, m_alone->detail, now);
        release->admitted.push_back(m_alone->ticket);
    }
}

void Guard::start(GuardTicket ticket, const QueuedDetail &detail, TimePoint now)
{
    m_running[ticket] = {now,
                         false,
                         detail.route,
                         detail.repeats,
                         utilisationAt(m_running.size() + 1),
                         m_slowPhaseGate.slowdownFactor(now) > MaxNormalSlowdown};
    m_limits.recordStart(now);
}

bool Guard::mayStart(TimePoint now)
{
    if (m_alone || m_running.size() >= limit(now) || m_slowPhaseGate.delaysStarts(now)) {
        return false;
    }
    return startRatesAllow(now);
}

bool Guard::startRatesAllow(TimePoint now)
{
    return m_limits.allowStart(cold(now) ? m_policy.coldPerSecond : 0, now);
}

double Guard::utilisationAt(std::size_t running) const
{
    const std::uint32_t slots = std::max(1U, fullLimit());
    return std::min(1.0, static_cast<double>(running) / slots);
}

/// Requests of unknown routes are expected to take as long as recent requests of all routes.
Duration Guard::expectedDuration(const std::string &route, TimePoint now) const
{
    const auto it = m_durationByRoute.find(route);
    const double average = it == m_durationByRoute.end() ? m_recentLatency : it->second;
    const double baseline = m_policy.refusesLate ? toSeconds(m_slowdown.baseline(route)) : 0;
    if (baseline <= 0) {
        return fromSeconds(average);
    }
    // The baseline does not include delays in nested calls; these appear only in the moving average.
    const std::size_t running = std::min<std::size_t>(m_running.size() + 1, limit(now));
    const double loadedLatency = baseline * m_slowdown.factorAt(utilisationAt(running));
    // Requests that wait for the end of a slow phase are not slowed down by it.
    const double slowdown = m_slowPhaseGate.delaysStarts(now) ? 1 : m_slowPhaseGate.slowdownFactor(now);
    return fromSeconds(std::max(average, loadedLatency * slowdown));
}

/// Records the priority of the route and returns whether the target also serves less urgent routes; their requests are
/// delayed or refused before this one is.
bool Guard::outranksOtherRoutes(const GuardOffer &offer)
{
    const std::pair ranked(offer.route, workspacePriorityOf(offer.priority));
    if (m_priorities.size() < MaxRoutes || m_priorities.contains(ranked)) {
        m_priorities[ranked] = offer.priority;
    }
    const auto lessUrgent = [&](const auto &it) { return it.second > offer.priority; };
    return std::any_of(m_priorities.begin(), m_priorities.end(), lessUrgent);
}

/// A busy target refuses requests that it cannot finish in time: other requests make better use of the slots, and the
/// caller can still use another target.
bool Guard::wouldBeLate(const GuardOffer &offer, bool outranks, TimePoint now) const
{
    if (!m_policy.refusesLate || offer.objective == TimePoint::max()) {
        return false;
    }
    if (outranks) {
        return now + expectedDuration(offer.route, now) > offer.deadline;
    }
    const bool busy = m_queue.size() > 0 || m_running.size() > BusyShare * limit(now);
    return busy && now + expectedDuration(offer.route, now) > offer.objective;
}

ServiceRate Guard::serviceRate(TimePoint now) const
{
    ServiceRate result;
    result.slots = std::max(1U, limit(now));
    if (cold(now) && m_policy.coldPerSecond > 0) {
        result.slots = std::clamp(m_policy.coldPerSecond * m_recentLatency, 1.0, result.slots);
    }
    result.untilFirstSlot = std::max(fromSeconds(m_recentLatency / result.slots), m_slowPhaseGate.expectedDelay(now));
    result.untilFirstStart = m_limits.stated.untilNextStart(now);
    result.startInterval = m_limits.stated.startInterval(now);
    return result;
}

bool Guard::withdraw(GuardTicket ticket)
{
    if (m_alone && m_alone->ticket == ticket && !m_alone->running) {
        m_alone.reset();
        return true;
    }
    m_queuedDetails.erase(ticket);
    return m_queue.remove(ticket);
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
    const RunningRequest request = running->second;
    const std::string &route = request.route;
    m_running.erase(running);
    if (m_alone && m_alone->ticket == ticket) {
        m_alone.reset();
    }
    const bool failed = outcome.failed || (outcome.deadlineExceeded && ranUnusuallyLong(request, now));
    m_failureShare = movingAverage(m_failureShare, failed ? 1.0 : 0.0, FailureWeight);
    if (!outcome.headReceived) {
        learnFromAbandoned(request, now);
    }
    if (outcome.headReceived && !outcome.failed) {
        learnLatency(outcome, now);
        const double latency = toSeconds(outcome.headLatency);
        if (!request.startedInSlowPhase) {
            m_slowdown.recordResponse(route, request.utilisation, outcome.headLatency);
        }
        const auto known = m_durationByRoute.find(route);
        if (known != m_durationByRoute.end()) {
            known->second = movingAverage(known->second, latency, RouteWeight);
        } else if (m_durationByRoute.size() < MaxRoutes) {
            m_durationByRoute[route] = latency;
        }
    }
    return releaseQueued(now);
}

/// A request that reached its deadline counts as a failure of the target only if it ran far longer than usual; a
/// request that started with little time left says nothing about the target.
bool Guard::ranUnusuallyLong(const RunningRequest &request, TimePoint now) const
{
    const auto known = m_durationByRoute.find(request.route);
    const double expected = known == m_durationByRoute.end() ? m_recentLatency : known->second;
    return toSeconds(now - request.start) > SlowFactor * expected;
}

/// A request that ended without a response would have taken at least as long as it ran.
void Guard::learnFromAbandoned(const RunningRequest &request, TimePoint now)
{
    const auto known = m_durationByRoute.find(request.route);
    const double seconds = toSeconds(now - request.start);
    if (known != m_durationByRoute.end() && seconds > known->second) {
        known->second = movingAverage(known->second, seconds, RouteWeight);
    }
}

GuardRelease Guard::tick(TimePoint now)
{
    detectSlowTarget(now);
    return releaseQueued(now);
}

void Guard::learnLatency(const GuardOutcome &outcome, TimePoint now)
{
    const double latency = toSeconds(outcome.headLatency);
    m_recentLatency = m_samples == 0 ? latency : movingAverage(m_recentLatency, latency, RecentWeight);
    ++m_samples;
    if (!m_slow) {
        const double weight = std::max(BaselineWeight, 1.0 / static_cast<double>(m_samples));
        m_baselineLatency = movingAverage(m_baselineLatency, latency, weight);
        return;
    }
    if (now - m_slowSince >= MaxSlowModeTime) {
        m_slow = false;
        m_samples = 0;
        return;
    }
    if (latency > FastFactor * m_baselineLatency) {
        m_fastResponses = 0;
        m_slowLimit = std::min(m_slowLimit, m_policy.coldSlots);
        return;
    }
    ++m_fastResponses;
    if (m_fastResponses >= MinForSpeedChange) {
        ++m_slowLimit;
    }
    m_slow = m_slowLimit < fullLimit();
}

void Guard::detectSlowTarget(TimePoint now)
{
    if (m_slow || m_samples < MinBaselineSamples || m_baselineLatency <= 0) {
        return;
    }
    const TimePoint cutoff = now - fromSeconds(SlowFactor * m_baselineLatency);
    std::uint32_t waitingForHead = 0;
    std::uint32_t overdue = 0;
    for (const auto &it : m_running) {
        if (!it.second.headSeen) {
            ++waitingForHead;
            overdue += it.second.start < cutoff ? 1 : 0;
        }
    }
    if (overdue >= MinForSpeedChange && 2 * overdue >= waitingForHead) {
        m_slow = true;
        m_slowSince = now;
        m_slowLimit = std::max(1U, m_policy.coldSlots);
        m_fastResponses = 0;
    }
}

GuardRelease Guard::releaseQueued(TimePoint now)
{
    if (!m_limits.hasAllowance(0, now)) {
        return refuseAllQueued();
    }
    GuardRelease release;
    release.expired = m_queue.dropInfeasible(serviceRate(now), now);
    for (const GuardTicket it : release.expired) {
        m_queuedDetails.erase(it);
    }
    releaseAlone(now, &release);
    while (m_queue.size() > 0 && mayStart(now)) {
        const GuardTicket ticket = m_queue.takeNext(now)->ticket;
        start(ticket, m_queuedDetails[ticket], now);
        m_queuedDetails.erase(ticket);
        release.admitted.push_back(ticket);
    }
    return release;
}

GuardRelease Guard::refuseAllQueued()
{
    GuardRelease release;
    release.expired = m_queue.clear();
    m_queuedDetails.clear();
    if (m_alone && !m_alone->running) {
        release.expired.push_back(m_alone->ticket);
        m_alone.reset();
    }
    return release;
}

Duration Guard::retryAfter(TimePoint now) const
{
    const double ahead = static_cast<double>(m_queue.size()) + 1.0;
    const double slots = std::max<double>(1.0, fullLimit());
    const auto startsAhead = static_cast<std::int64_t>(m_queue.size());
    const Duration untilStart = m_limits.stated.untilNextStart(now) + m_limits.stated.startInterval(now) * startsAhead;
    const Duration untilSlot = fromSeconds(m_recentLatency * ahead / slots);
    return std::clamp(std::max(untilSlot, untilStart), MinRetryAfter, MaxRetryAfter);
}

LoadReport Guard::load(TimePoint now) const
{
    LoadReport report;
    report.inFlight = inFlight();
    report.limit = m_alone ? 0 : limit(now);
    if (cold(now) && m_policy.coldPerSecond > 0) {
        // Other nodes expect a limit in slots; the limit on starts keeps about this many slots busy.
        report.limit = std::min(report.limit, static_cast<std::uint32_t>(std::ceil(serviceRate(now).slots)));
    }
    report.limit = m_limits.reportedLimit(report.limit, report.inFlight, now);
    report.queued = queued();
    const bool leaving = !m_present || m_leavingStated;
    report.state = leaving ? TargetState::Leaving : m_announcement.state;
    report.failurePerMille = static_cast<std::uint32_t>(std::lround(m_failureShare * 1000));
    report.latencyUs = static_cast<std::uint32_t>(std::min(m_recentLatency * 1e6, 4e9));
    report.revision = m_policy.revision;
    report.pacePercent = m_slowPhaseGate.slowdownPercent();
    report.fullSlowdownPercent
        = m_policy.refusesLate ? static_cast<std::uint32_t>(m_slowdown.factorAtFull() * PercentScale) : 0;
    return report;
}

std::uint32_t Guard::inFlight() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

double Guard::repeatedAttemptShare() const
{
    const auto repeats = [](const auto &it) { return it.second.repeats; };
    const auto n = static_cast<double>(std::count_if(m_running.begin(), m_running.end(), repeats));
    return m_running.empty() ? 0 : n / static_cast<double>(m_running.size());
}

StartAllowance &Guard::startAllowance()
{
    return m_limits.allowance;
}

std::uint32_t Guard::queued() const
{
    return static_cast<std::uint32_t>(m_queue.size());
}
}
