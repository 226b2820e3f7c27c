#include "shallotrelay/rollout/rolloutcontroller.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace shallotrelay
{
namespace
{

using namespace std::chrono_literals;

/// Time without a sample after which a target counts as gone; the lease of a node.
constexpr Duration Lease = 3s;
/// Time in which each target sends two samples.
constexpr Duration SettlingTime = 600ms;
/// Time without a sample after which a target is no longer a canary.
constexpr Duration CanaryAbsence = 1500ms;
/// A longer time between two ticks means that the leader did not listen.
constexpr Duration MaxTickGap = 1s;
/// Time within which samples must have arrived for their absence at one target to mean anything.
constexpr Duration RecentContact = 1s;
/// Time that a target's step must last, so that one lost sample does not stop it.
constexpr Duration StepTime = 600ms;
constexpr std::uint64_t MinStep = 2;
constexpr int DrainedReports = 2;
constexpr Duration MinGrantTime = 500ms;
constexpr Duration MaxGrantTime = 1500ms;

/// Parts of the policy's bounds that are handed out; the rest covers requests that are counted differently elsewhere,
/// and the time for which two leaders may grant.
constexpr double UsedShare = 0.85;
constexpr double UsedSlack = 0.5;
constexpr double CanaryPart = 0.5;
constexpr double RampSteps = 3;
constexpr std::size_t MinCanaries = 3;
/// Number of intervals with evidence from too few targets after which there is a further canary.
constexpr int MaxNarrowIntervals = 4;
/// Time for which a burst loads the canaries, and the number of bursts for which a roll-out should have the time.
constexpr Duration BurstTime = 1s;
constexpr double MinBursts = 8;

/// Parts of the duration at which stages begin.
constexpr double RampFrom = 0.45;
constexpr double RampAtLatest = 0.55;
constexpr double SwitchFrom = 0.68;
constexpr double SwitchAtLatest = 0.76;
constexpr double GiveUpAt = 0.93;
/// Time after the switch in which failures under the whole load can show.
constexpr Duration WatchTime = 1500ms;
/// Number of bad responses from which on the leaning of the evidence decides, after a part of the time to roll back.
constexpr double ManyExcessResponses = 15;
constexpr double LeaningPart = 0.3;
/// Time between the switch and the time limit, in which the lease of an old target that is gone can end.
constexpr Duration SwitchReserve = Lease + 500ms;
/// Evidence above which the decision waits, as a fault may have begun.
constexpr double SuspiciousEvidence = 0;
constexpr double DecidingPart = 0.05;
/// Number of responses without which a new leader waits with the switch, as far as there is time to watch it.
constexpr std::uint64_t MinTakeOverResponses = 20;
/// Number of responses since the order without which a new leader does not switch.
constexpr std::uint64_t MinTakeOverTotal = 5;
constexpr Duration LateSwitchReserve = WatchTime + 1500ms;
/// Time for which a new leader listens before it switches without a finding.
constexpr Duration MinObservation = 1500ms;

/// Slots of the new version per open request of the old one.
constexpr double CapacityMargin = 1.5;
constexpr double RateSmoothing = 0.3;
constexpr double PeakDecay = 0.9;
constexpr double ExpectedResponses = 20;

constexpr Duration MinInterval = 500ms;
constexpr Duration MaxInterval = 1s;
constexpr int UsualIntervals = 32;

Duration intervalOf(Duration duration)
{
    return std::clamp<Duration>(duration / UsualIntervals, MinInterval, MaxInterval);
}

Duration durationOf(const RolloutRecord &record)
{
    return std::chrono::milliseconds(record.durationMs);
}

RolloutCounts countsOf(const RolloutRouteSample &sample)
{
    RolloutCounts out;
    out.responses = sample.responses;
    out.failures = sample.failures;
    const std::size_t n = std::min(sample.latencies.size(), RolloutLatencyBuckets);
    std::copy_n(sample.latencies.begin(), n, out.latencies.begin());
    return out;
}

/// Moves the known counts up to the reported ones and returns the difference.
RolloutCounts advance(RolloutCounts &known, const RolloutCounts &reported)
{
    const auto raise = [](std::uint64_t &from, std::uint64_t to) {
        const std::uint64_t more = std::max(from, to) - from;
        from += more;
        return more;
    };
    RolloutCounts out;
    out.responses = raise(known.responses, reported.responses);
    out.failures = std::min(raise(known.failures, reported.failures), out.responses);
    for (std::size_t i = 0; i < RolloutLatencyBuckets; ++i) {
        out.latencies[i] = raise(known.latencies[i], reported.latencies[i]);
    }
    return out;
}

}

std::string toString(RolloutStage stage)
{
    switch (stage) {
    case RolloutStage::Settling:
        return "settling";
    case RolloutStage::Canary:
        return "canary";
    case RolloutStage::Ramp:
        return "ramp";
    case RolloutStage::Switching:
        break;
    }
    return "switching";
}

RolloutController::RolloutController(RolloutRecord record, const RolloutPolicy &policy, Start start, TimePoint now)
    : m_record(std::move(record))
    , m_policy(policy)
    , m_takesOver(start.takesOver)
    , m_startedAt(now - start.elapsed)
    , m_listeningSince(now)
    , m_lastTick(now)
    , m_intervalStart(now)
    , m_lastHeard(now)
    , m_interval(intervalOf(durationOf(m_record)))
    , m_stage(start.takesOver ? RolloutStage::Settling : RolloutStage::Canary)
    , m_judge(static_cast<std::size_t>(durationOf(m_record) / m_interval))
    , m_budget(UsedShare * policy.share, UsedSlack * policy.slack)
{
}

std::optional<RolloutGrant> RolloutController::add(const RolloutSample &sample, TimePoint now)
{
    if (sample.rollout != m_record.id || sample.service != m_record.service) {
        return std::nullopt;
    }
    if (sample.version.empty()) {
        return std::nullopt; // the node holds the target until it knows the version
    }
    const RolloutSide side = sample.version == m_record.version ? RolloutSide::New : RolloutSide::Old;
    m_budget.observe({sample.target, sample.incarnation}, sample.starts, sample.allowed, side == RolloutSide::New);
    const auto [it, isFirst] = m_targets.try_emplace(sample.target);
    Target &target = it->second;
    if (sample.incarnation < target.incarnation) {
        return std::nullopt;
    }
    if (isFirst || sample.incarnation > target.incarnation) {
        target = {};
        target.side = side;
        target.incarnation = sample.incarnation;
        target.starts = sample.starts;
        for (const RolloutRouteSample &route : sample.routes) {
            RolloutCounts counts = countsOf(route);
            target.counted[route.route] = counts;
            if (m_stage == RolloutStage::Switching) {
                counts.latencies = {}; // as in judge()
            }
            m_totals.add(sample.target, side, route.route, counts);
        }
    }
    judge(target, sample);
    if (sample.sequence < target.sequence) {
        return std::nullopt;
    }
    update(target, sample, now);
    return grantFor(target, sample);
}

void RolloutController::update(Target &target, const RolloutSample &sample, TimePoint now)
{
    const bool isDrained = sample.open == 0 && m_switchRevision != 0 && sample.revision >= m_switchRevision;
    if (!isDrained) {
        target.drainedReports = 0;
    } else if (sample.sequence > target.sequence) {
        ++target.drainedReports;
    }
    target.sequence = sample.sequence;
    target.dataCentre = sample.dataCentre;
    const std::uint64_t more = std::max(target.starts, sample.starts) - target.starts;
    target.starts += more;
    m_oldStarts += target.side == RolloutSide::Old ? more : 0;
    target.slots = sample.slots;
    target.open = sample.open;
    target.isReady = sample.ready;
    target.lastHeard = now;
    m_lastHeard = now;
}

/// Responses of a target of the new version in cold start would count against the version, and a new leader cannot tell
/// in which intervals earlier responses were.
void RolloutController::judge(Target &target, const RolloutSample &sample)
{
    const bool isNew = target.side == RolloutSide::New;
    const bool counts = m_stage != RolloutStage::Settling && (!isNew || (target.isReady && sample.ready));
    for (const RolloutRouteSample &it : sample.routes) {
        RolloutCounts more = advance(target.counted[it.route], countsOf(it));
        if (m_stage == RolloutStage::Switching) {
            more.latencies = {}; // the load of the old version, with which to compare, is gone
        }
        m_totals.add(sample.target, target.side, it.route, more);
        (isNew ? m_newFailures : m_oldFailures) += more.failures;
        if (counts && more.responses > 0) {
            m_judge.add(sample.target, target.side, it.route, more);
        }
    }
}

std::optional<RolloutGrant> RolloutController::grantFor(const Target &target, const RolloutSample &sample)
{
    const bool isGranting = m_stage == RolloutStage::Canary || m_stage == RolloutStage::Ramp;
    if (target.side == RolloutSide::Old || !isGranting) {
        return std::nullopt;
    }
    RolloutGrant out;
    out.service = m_record.service;
    out.rollout = m_record.id;
    out.target = sample.target;
    out.incarnation = sample.incarnation;
    out.sequence = sample.sequence;
    const CanaryBudget::Key key{sample.target, sample.incarnation};
    if (m_judge.verdict().finding == RolloutFinding::Bad) {
        out.allowed = m_budget.grant(key, 0, 0, 0);
        return out;
    }
    const bool isCanary = m_canaries.count(sample.target) != 0;
    if (!target.isReady || (m_stage == RolloutStage::Canary && !isCanary)) {
        return std::nullopt;
    }
    const double most = isCanary ? canaryMost() : otherMost();
    out.allowed = m_budget.grant(key, sample.starts + stepFor(target), boundPart(), static_cast<std::uint64_t>(most));
    out.validMs = toWholeMilliseconds(std::clamp<Duration>(m_policy.rollbackTime / 3, MinGrantTime, MaxGrantTime));
    return out;
}

double RolloutController::room() const
{
    return std::max(0.0, m_budget.limit(boundPart()) - m_budget.spent());
}

/// Number of starts that load all canaries like targets of the old version for some time.
double RolloutController::burst() const
{
    const double perCanary = m_oldStartsPerSlot * m_canarySlots;
    const double burst = static_cast<double>(m_canaries.size()) * perCanary * toSeconds(BurstTime);
    const double duration = toSeconds(durationOf(m_record));
    const double time = m_takesOver ? std::max(0.0, SwitchFrom - progress(m_lastTick)) * duration : duration;
    const double waiting = CanaryPart * UsedShare * m_policy.share * m_startsPerSecond * time / MinBursts;
    return std::min(burst, waiting);
}

/// A share that is too small to load the canaries all the time loads them in bursts, as faults may show under load
/// only.
double RolloutController::canaryMost()
{
    if (room() < 1) {
        m_isBurst = false;
    } else if (room() >= burst()) {
        m_isBurst = true;
    }
    return m_isBurst ? std::ceil(room() / static_cast<double>(m_canaries.size())) : 0;
}

double RolloutController::otherMost() const
{
    return std::ceil(std::max(0.0, room() - burst()) / static_cast<double>(m_targets.size()));
}

/// A target of the new version gets the load of one of the old version.
std::uint64_t RolloutController::stepFor(const Target &target) const
{
    const double step = std::ceil(m_oldStartsPerSlot * target.slots * toSeconds(StepTime));
    return std::max(MinStep, static_cast<std::uint64_t>(step));
}

void RolloutController::setSwitching(std::uint64_t revision)
{
    if (m_switchRevision == 0) {
        m_switchRevision = revision;
        m_switchedAt = m_lastTick;
        m_stage = RolloutStage::Switching;
    }
}

RolloutStep RolloutController::next(TimePoint now)
{
    noteTick(now);
    if (now - m_intervalStart >= m_interval) {
        endInterval(now);
    }
    updateStage(now);
    if (m_judge.verdict().finding == RolloutFinding::Bad) {
        return rollBack("the new version is worse");
    }
    if (m_excessSince && now - *m_excessSince >= fromSeconds(LeaningPart * toSeconds(m_policy.rollbackTime))
        && m_judge.leansBad()) {
        return rollBack("the new version seems worse");
    }
    if (m_stage == RolloutStage::Switching) {
        return isDrained(now) ? decideEnd() : RolloutStep{};
    }
    return m_stage == RolloutStage::Settling ? RolloutStep{} : decideSwitch(now);
}

/// A leader that was frozen has not heard samples that nodes sent meanwhile.
void RolloutController::noteTick(TimePoint now)
{
    if (now - m_lastTick > MaxTickGap) {
        m_listeningSince = now;
    }
    m_lastTick = now;
}

void RolloutController::endInterval(TimePoint now)
{
    m_judge.endInterval();
    measureOldLoad(now);
    m_intervalStart = now;
    if (m_judge.excessResponses() < ManyExcessResponses) {
        m_excessSince.reset();
    } else if (!m_excessSince) {
        m_excessSince = now;
    }
    m_narrowIntervals = m_judge.verdict().needsTargets ? m_narrowIntervals + 1 : 0;
    if (m_narrowIntervals >= MaxNarrowIntervals) {
        m_narrowIntervals = 0;
        ++m_extraCanaries;
    }
    chooseCanaries(now);
}

void RolloutController::measureOldLoad(TimePoint now)
{
    const RolloutVersionFigures old = figures(RolloutSide::Old, now);
    const RolloutVersionFigures fresh = figures(RolloutSide::New, now);
    const double seconds = toSeconds(now - m_intervalStart);
    const double rate = static_cast<double>(std::exchange(m_oldStarts, 0)) / seconds;
    const double perSlot = old.readySlots == 0 ? 0 : rate / old.readySlots;
    const double weight = m_oldStartsPerSlot == 0 ? 1 : RateSmoothing;
    m_oldStartsPerSlot += weight * (perSlot - m_oldStartsPerSlot);
    m_startsPerSecond = m_oldStartsPerSlot * (old.readySlots + fresh.readySlots);
    m_peakOpen = std::max<double>(old.open, m_peakOpen * PeakDecay);
}

/// Canaries are spread over the data centres.
void RolloutController::chooseCanaries(TimePoint now)
{
    std::map<std::string, std::size_t> perDataCentre;
    std::vector<std::pair<std::string, const Target *>> others;
    m_canarySlots = 0;
    for (const auto &[name, target] : m_targets) {
        if (target.side == RolloutSide::Old) {
            continue;
        }
        const bool fits = target.isReady && now - std::max(target.lastHeard, m_listeningSince) < CanaryAbsence;
        if (!fits) {
            m_canaries.erase(name);
        } else if (m_canaries.count(name) != 0) {
            ++perDataCentre[target.dataCentre];
        } else {
            others.emplace_back(name, &target);
        }
        m_canarySlots = std::max<double>(m_canarySlots, target.slots);
    }
    const double canaryRate = boundPart() * UsedShare * m_policy.share * m_startsPerSecond;
    const double perTarget = m_oldStartsPerSlot * m_canarySlots;
    const auto needed = perTarget == 0 ? 0 : static_cast<std::size_t>(std::lround(canaryRate / perTarget));
    const std::size_t wanted = std::max(MinCanaries, needed) + m_extraCanaries;
    while (m_canaries.size() < wanted && !others.empty()) {
        const auto next = std::min_element(others.begin(), others.end(), [&](const auto &a, const auto &b) {
            return perDataCentre[a.second->dataCentre] < perDataCentre[b.second->dataCentre];
        });
        ++perDataCentre[next->second->dataCentre];
        m_canaries.insert(next->first);
        others.erase(next);
    }
}

void RolloutController::updateStage(TimePoint now)
{
    if (m_stage == RolloutStage::Settling && now - m_listeningSince >= SettlingTime) {
        m_budget.assumePredecessor();
        m_stage = RolloutStage::Canary;
    }
    const double part = progress(now);
    const bool isGood = m_judge.verdict().finding == RolloutFinding::Good;
    if (m_stage == RolloutStage::Canary && (part >= RampAtLatest || (isGood && part >= RampFrom))
        && !m_judge.verdict().needsTargets) {
        m_stage = RolloutStage::Ramp;
    }
    if (m_stage == RolloutStage::Ramp) {
        const double ramped = std::clamp((part - RampFrom) / (SwitchFrom - RampFrom), 0.0, 1.0);
        const double steps = std::min(std::floor(ramped * RampSteps) + 1, RampSteps);
        m_rampPart = std::max(m_rampPart, CanaryPart + (1 - CanaryPart) * steps / RampSteps);
    }
}

RolloutStep RolloutController::decideSwitch(TimePoint now) const
{
    const double part = progress(now);
    const bool isGood = m_judge.verdict().finding == RolloutFinding::Good;
    const double latest = std::min(SwitchAtLatest, 1 - toSeconds(SwitchReserve) / toSeconds(durationOf(m_record)));
    const bool mustDecide = part >= latest && now - m_listeningSince >= MinObservation;
    if (part >= 1) {
        return rollBack("the duration is over");
    }
    if (part >= GiveUpAt && !hasCapacity(now)) {
        return rollBack("too few targets of the new version are ready");
    }
    const bool mayDecide = isGood && m_judge.verdict().evidence < SuspiciousEvidence
                           && part >= std::min(SwitchFrom, latest - DecidingPart);
    if (!mustDecide && !mayDecide) {
        return {};
    }
    if (m_judge.leansBad()) {
        return mustDecide ? rollBack("the new version seems worse") : RolloutStep{};
    }
    if (m_takesOver && !isGood && awaitsResponses(now)) {
        return {};
    }
    if (m_takesOver && !isGood && m_totals.seemWorse()) {
        return rollBack("the new version seems worse since the order");
    }
    if (!hasCapacity(now)) {
        return {};
    }
    if (lacksResponses()) {
        return rollBack("the new version did not respond");
    }
    return {RolloutStep::Kind::Switch, RolloutState::Switching, describeVerdict()};
}

/// After the switch there are no further targets to show a fault, and no responses of the old version to compare with.
RolloutStep RolloutController::decideEnd() const
{
    if ((m_takesOver || m_judge.verdict().needsTargets) && m_totals.seemWorse()) {
        return rollBack("the new version seems worse since the order");
    }
    return {RolloutStep::Kind::End, RolloutState::Succeeded, describeVerdict()};
}

RolloutStep RolloutController::rollBack(const std::string &why) const
{
    return {RolloutStep::Kind::End, RolloutState::RolledBack, why + ": " + describeVerdict()};
}

bool RolloutController::hasCapacity(TimePoint now) const
{
    const RolloutVersionFigures fresh = figures(RolloutSide::New, now);
    const RolloutVersionFigures old = figures(RolloutSide::Old, now);
    const double needed = std::min<double>(old.readySlots, CapacityMargin * m_peakOpen);
    return fresh.readySlots > 0 && fresh.readySlots >= needed;
}

bool RolloutController::lacksResponses() const
{
    const bool none = m_takesOver ? m_totals.newResponses() < MinTakeOverTotal : m_judge.verdict().targets == 0;
    return none && expectsResponses();
}

bool RolloutController::expectsResponses() const
{
    return CanaryPart * m_policy.share * static_cast<double>(m_budget.starts()) >= ExpectedResponses;
}

/// A leader that took over grants little at first, since it counts what its predecessor may have granted.
bool RolloutController::awaitsResponses(TimePoint now) const
{
    const double latest = 1 - toSeconds(LateSwitchReserve) / toSeconds(durationOf(m_record));
    return progress(now) < latest && expectsResponses() && m_judge.verdict().responses < MinTakeOverResponses;
}

/// A leader that hears nobody cannot tell that a target is gone.
bool RolloutController::isDrained(TimePoint now) const
{
    const bool isWatching = now - m_switchedAt < WatchTime && progress(now) < GiveUpAt;
    const bool isListening = now - m_lastHeard < RecentContact && !isWatching;
    const bool mayMissTargets = m_takesOver && now - m_listeningSince < Lease;
    return isListening && !mayMissTargets && std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &it) {
               const Target &target = it.second;
               return target.side == RolloutSide::New || target.drainedReports >= DrainedReports
                      || !isPresent(target, now);
           });
}

bool RolloutController::isPresent(const Target &target, TimePoint now) const
{
    return now - std::max(target.lastHeard, m_listeningSince) < Lease;
}

double RolloutController::progress(TimePoint now) const
{
    return toSeconds(now - m_startedAt) / std::max(toSeconds(durationOf(m_record)), 0.001);
}

double RolloutController::boundPart() const
{
    return m_stage == RolloutStage::Ramp ? m_rampPart : CanaryPart;
}

RolloutStage RolloutController::stage() const
{
    return m_stage;
}

const RolloutVerdict &RolloutController::verdict() const
{
    return m_judge.verdict();
}

RolloutVersionFigures RolloutController::figures(RolloutSide side, TimePoint now) const
{
    RolloutVersionFigures out;
    out.failures = side == RolloutSide::New ? m_newFailures : m_oldFailures;
    for (const auto &it : m_targets) {
        const Target &target = it.second;
        if (target.side != side) {
            continue;
        }
        out.starts += target.starts;
        if (isPresent(target, now)) {
            ++out.targets;
            out.open += target.open;
            out.readySlots += target.isReady ? target.slots : 0;
        }
    }
    return out;
}

double RolloutController::allowed() const
{
    return m_budget.spent();
}

double RolloutController::limit() const
{
    return m_budget.limit(1);
}

std::string RolloutController::describeVerdict() const
{
    const RolloutVerdict &it = m_judge.verdict();
    return fmt::format("{} by {} on {}: {} of {} responses failed, {:.3f} of the old version's, rank of latencies "
                       "{:.2f}, evidence {:.1f}, {} targets of which {} ignored; {} responses since the order",
                       toString(it.finding), it.byLatency ? "latency" : "failures",
                       it.route.empty() ? "all routes" : it.route, it.failures, it.responses, it.oldFailureShare,
                       it.rank, it.evidence, it.targets, it.ignored, m_totals.newResponses());
}

}
