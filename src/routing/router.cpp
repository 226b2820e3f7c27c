#include "shallotrelay/routing/router.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Weight of one attempt in the failure rate, which covers about the last 4 attempts.
constexpr double FailureWeight = 0.25;
/// Weight of one response in the average latency, which covers about the last 5 responses.
constexpr double LatencyWeight = 0.2;
/// Minimum weight of a target, so that a target can always be drawn.
constexpr double MinWeight = 1e-6;
/// Minimum health factor of a failing or slow target, which keeps some traffic on it so that its recovery is detected.
constexpr double MinHealth = 0.005;
/// Exponent by which the weight decreases with the failure rate.
constexpr double FailureExponent = 6.0;
/// Share of its limit that counts as free at a full target.
constexpr double FullTargetFreeShare = 0.02;
/// Exponent by which the weight of a full target decreases with the length of its queue.
constexpr double QueueExponent = 4.0;
/// Latency, as a multiple of the median, up to which the weight of a target is not reduced.
constexpr double SlowTolerance = 1.5;
/// Exponent by which the weight decreases with latency above SlowTolerance.
constexpr double SlowExponent = 3.0;
/// Minimum time constant with which confidence in a load report decays, in seconds.
constexpr double MinReportDecaySeconds = 0.005;
/// Half-life of the failure rate, in seconds.
constexpr double FailureHalfLifeSeconds = 1.0;
/// Round-trip time to a target in another data centre, in seconds.
constexpr double RemoteSeconds = 0.003;
/// Converts bytes sent between data centres, which cost money, into an equivalent delay of the caller.
constexpr double RemoteBytesPerSecond = 1.5e6;
/// Relative increase in work time from an idle to a full target, assumed until the guard reports a measured value.
constexpr double FullSlowdown = 1.0;
/// Utilisation up to which work does not slow down.
constexpr double SlowdownOnset = 0.3;
/// Cost of a failure, in seconds: the failed attempt and another one at a different target.
constexpr double FailureCostSeconds = 0.5;
/// Targets whose expected finish time exceeds this multiple of the best one are not drawn.
constexpr double MaxFinishFactor = 4.0;
/// Number of candidates drawn from the local data centre, and again from all targets; the best of them is chosen. The
/// best of two is far better than a single random choice and, unlike the best of all, does not make all nodes with the
/// same reports choose the same target.
constexpr std::size_t DrawsPerGroup = 2;
/// Number of targets up to which the best one is always chosen, since each gets a large share in any case.
constexpr std::size_t MaxExhaustiveTargets = 4;
/// Minimum expected work time, also used while nothing is known, in seconds.
constexpr double MinWorkSeconds = 0.005;
/// Time without a load report after which a guard counts as silent and its target is avoided.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(1000);
/// Number of promised load reports that may be missed before a guard counts as silent.
constexpr int MaxMissedReports = 3;
/// Interval at which the use of the data centres is summed up.
constexpr Duration UtilisationInterval = std::chrono::milliseconds(20);
/// Penalty on the finish time of a target that is silent or has an in-flight limit of 0, in seconds.
constexpr double UnavailablePenaltySeconds = 1.0;
/// Maximum age of a load report whose failure rate is still used.
constexpr Duration MaxReportAge = std::chrono::seconds(5);

constexpr double PercentScale = 100.0;

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

ServiceRouter::ServiceRouter(RouterOptions options)
    : m_options(std::move(options))
    , m_departures(m_options.departures.value_or(DepartureOptions{}))
{
}

void ServiceRouter::setTargets(const std::vector<RouterTarget> &targets, TimePoint now)
{
    std::map<std::string, Entry> entries;
    for (const RouterTarget &it : targets) {
        const auto known = m_entries.find(it.name);
        Entry entry;
        if (known != m_entries.end()) {
            entry = known->second;
            if (entry.target.bootId != it.bootId) {
                entry.failureRate = 0;
                entry.latency = 0;
            }
            if (entry.target != it) {
                // An outdated report, such as a limit of 0 from while it was out of service, would keep requests away.
                entry.report.reset();
            }
        } else {
            entry.reportedAt = now;
        }
        entry.target = it;
        entries[it.name] = entry;
    }
    m_entries = std::move(entries);
    updatePreferred();
}

/// Selects the preferred subset among the targets that accept requests, and another one among those that depend on
/// grants: most of these get none, so that they must not take the places of others.
void ServiceRouter::updatePreferred()
{
    if (m_options.node.empty()) {
        return;
    }
    std::vector<SubsetTarget> usable;
    std::vector<SubsetTarget> byGrant;
    for (const auto &it : m_entries) {
        const RouterTarget &target = it.second.target;
        if (target.inService && target.state != TargetState::Leaving) {
            (target.byGrant ? byGrant : usable).push_back({target.name, target.dataCentre});
        }
    }
    std::set<std::string> names = preferredTargets(m_options.node, m_options.dataCentre, usable, m_options.subset);
    names.merge(preferredTargets(m_options.node, m_options.dataCentre, byGrant, m_options.subset));
    for (auto &it : m_entries) {
        it.second.preferred = names.contains(it.first);
    }
}

std::vector<std::string> ServiceRouter::preferred() const
{
    std::vector<std::string> out;
    for (const auto &it : m_entries) {
        if (it.second.preferred) {
            out.push_back(it.first);
        }
    }
    return out;
}

/// Returns whether the load reports of the guard are overdue.
bool ServiceRouter::isSilent(const Entry &entry, TimePoint now) const
{
    return entry.preferred && entry.report
           && now - entry.reportedAt > std::max(SilenceTimeout, MaxMissedReports * entry.reportInterval);
}

bool ServiceRouter::acceptsRequests(const Entry &entry) const
{
    if (!entry.target.inService || entry.target.state == TargetState::Leaving) {
        return false;
    }
    if (entry.target.byGrant && (!entry.report || entry.report->limit == 0)) {
        return false;
    }
    return !entry.report || entry.report->state != TargetState::Leaving;
}

std::uint32_t ServiceRouter::limitOf(const Entry &entry) const
{
    return entry.report ? entry.report->limit : entry.target.limit;
}

ServiceRouter::Averages ServiceRouter::averages(TimePoint now) const
{
    Averages out;
    std::vector<double> latencies;
    std::vector<double> failures;
    double inFlight = 0;
    double limit = 0;
    double slowdownSum = 0;
    double slowdownCount = 0;
    for (const auto &it : m_entries) {
        const Entry &entry = it.second;
        if (!entry.preferred || !acceptsRequests(entry)) {
            continue;
        }
        failures.push_back(failureRateOf(entry, now));
        if (entry.report && entry.report->pacePercent > 0) {
            slowdownSum += entry.report->pacePercent / PercentScale;
            slowdownCount += 1;
        }
        if (entry.latency > 0) {
            latencies.push_back(entry.latency);
        }
        if (entry.report) {
            inFlight += entry.report->inFlight;
            limit += entry.report->limit;
        }
    }
    out.utilisation = limit > 0 ? std::min(1.0, inFlight / limit) : 0;
    out.failureRate = median(failures);
    out.latency = median(latencies);
    out.slowdown = slowdownCount > 0 ? slowdownSum / slowdownCount : 1;
    return out;
}

double ServiceRouter::estimateInFlight(const Entry &entry, const Averages &averages, TimePoint now) const
{
    if (!entry.report) {
        const double typical = entry.preferred ? 0 : averages.utilisation * limitOf(entry);
        return std::max<double>(typical, entry.outstanding);
    }
    const double decaySeconds = std::max(MinReportDecaySeconds, entry.latency);
    const double confidence = std::exp(-toSeconds(now - entry.reportedAt) / decaySeconds);
    const double typical = averages.utilisation * entry.report->limit;
    const double others = confidence * (entry.report->inFlight + entry.report->queued) + (1 - confidence) * typical;
    const double mine = std::min(entry.startedSinceReport, entry.outstanding);
    return std::max<double>(others + mine, entry.outstanding);
}

double ServiceRouter::failureRateOf(const Entry &entry, TimePoint now) const
{
    const double age = toSeconds(now - entry.failureRateUpdated);
    const double observed = entry.failureRate * std::exp2(-age / FailureHalfLifeSeconds);
    const bool fresh = entry.report && now - entry.reportedAt < MaxReportAge;
    const double reported = fresh ? entry.report->failurePerMille / 1000.0 : 0;
    return std::max(observed, reported);
}

double ServiceRouter::weightOf(const Entry &entry, double estimate, const Averages &averages, TimePoint now) const
{
    const double limit = limitOf(entry);
    double weight = limit - estimate;
    if (weight < FullTargetFreeShare * limit) {
        // Among full targets, one with a shorter queue gets a higher weight.
        weight = FullTargetFreeShare * limit * std::pow(limit / std::max(estimate, limit), QueueExponent);
    }
    double health = 1;
    if (m_options.useFailures) {
        const double relative = (1 - failureRateOf(entry, now)) / std::max(0.05, 1 - averages.failureRate);
        health *= std::pow(std::clamp(relative, 0.0, 1.0), FailureExponent);
    }
    if (m_options.useLatency && entry.latency > SlowTolerance * averages.latency) {
        health *= std::pow(SlowTolerance * averages.latency / entry.latency, SlowExponent);
    }
    weight *= std::max(health, MinHealth);
    if (entry.target.dataCentre != m_options.dataCentre) {
        weight *= m_options.remoteWeight;
    }
    return std::max(weight, MinWeight);
}

double ServiceRouter::slowdownOf(const Entry &entry, const Averages &averages, TimePoint now) const
{
    if (!entry.report || entry.report->pacePercent == 0) {
        return averages.slowdown;
    }
    const double confidence = std::exp(-Seconds(now - entry.reportedAt) / m_slowPhase.average());
    return confidence * entry.report->pacePercent / PercentScale + (1 - confidence) * averages.slowdown;
}

/// Returns the expected time until the target has finished the request, in seconds from now.
double ServiceRouter::finishTime(const Entry &entry, double estimate, const Averages &averages, const RequestCost &cost,
                                 TimePoint now) const
{
    const double limit = std::max<double>(1, limitOf(entry));
    const double expected = cost.work > Duration::zero() ? toSeconds(cost.work) : averages.latency;
    const double workSeconds = std::max(expected, MinWorkSeconds);
    const double slowdown = slowdownOf(entry, averages, now);
    const double latency = entry.latency > 0 ? entry.latency : averages.latency;
    const double queueLength = std::max(0.0, estimate + 1 - limit);
    const double excessFailureRate = std::max(0.0, failureRateOf(entry, now) - averages.failureRate);
    const bool hasFullSlowdown = entry.report && entry.report->fullSlowdownPercent > 0;
    const double fullSlowdown = hasFullSlowdown ? entry.report->fullSlowdownPercent / PercentScale - 1 : FullSlowdown;
    const double contention = std::clamp(((estimate + 1) / limit - SlowdownOnset) / (1 - SlowdownOnset), 0.0, 1.0);
    double out = workSeconds * slowdown * (1 + fullSlowdown * contention * contention) + queueLength * latency / limit;
    out += excessFailureRate * FailureCostSeconds;
    out += isSilent(entry, now) || limitOf(entry) == 0 ? UnavailablePenaltySeconds : 0;
    return out;
}

bool ServiceRouter::isAway(const Entry &entry) const
{
    return entry.target.dataCentre != m_options.dataCentre;
}

/// Returns the time that the way to a target takes or, for its traffic, is worth.
double ServiceRouter::waySeconds(const Entry &entry, const RequestCost &cost) const
{
    if (!isAway(entry)) {
        return 0;
    }
    if (!m_options.departures) {
        return RemoteSeconds + cost.responseBytes / RemoteBytesPerSecond;
    }
    return toSeconds(m_roundTrips.roundTrip(entry.target.dataCentre))
           + (cost.requestBytes + cost.responseBytes) * m_options.departures->secondsPerByte;
}

std::optional<RouterChoice> ServiceRouter::choose(const std::set<std::string> &excluded, TimePoint now, Random &random,
                                                  const RequestCost &cost) const
{
    const auto hasFreeSlot = [&](const Candidate &it) { return it.estimate + 1 <= limitOf(*it.entry); };
    std::vector<Candidate> found = candidates(excluded, true, now, cost);
    if (std::none_of(found.begin(), found.end(), hasFreeSlot)) {
        // If the preferred targets are full or unavailable, all targets are considered before a request is refused.
        found = candidates(excluded, false, now, cost);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    const auto usable = [&](const auto &it) { return acceptsRequests(it.second) && !excluded.contains(it.first); };
    const auto all = std::count_if(m_entries.begin(), m_entries.end(), usable);
    return toChoice(draw(found, cost, random), static_cast<std::size_t>(all), now);
}

std::vector<ServiceRouter::Candidate> ServiceRouter::candidates(const std::set<std::string> &excluded,
                                                                bool preferredOnly, TimePoint now,
                                                                const RequestCost &cost) const
{
    const Averages all = averages(now);
    std::vector<Candidate> out;
    for (const auto &it : m_entries) {
        const Entry &entry = it.second;
        if ((preferredOnly && !entry.preferred) || !acceptsRequests(entry) || excluded.contains(it.first)) {
            continue;
        }
        const double estimate = estimateInFlight(entry, all, now);
        const bool earliest = m_options.strategy == RoutingStrategy::EarliestFinish;
        const double finish = earliest ? finishTime(entry, estimate, all, cost, now) : 0;
        const double weight = earliest ? -finish - waySeconds(entry, cost) : weightOf(entry, estimate, all, now);
        out.push_back({&entry, weight, estimate, finish});
    }
    return out;
}

std::optional<RouterChoice> ServiceRouter::chooseForTrial(std::uint64_t fingerprint,
                                                          const std::set<std::string> &excluded, TimePoint now) const
{
    // Rendezvous hashing: the rank of a target depends only on its name and the fingerprint, not on other targets.
    const auto rankOf = [&](const Entry &entry) {
        const bool silent = isSilent(entry, now) || (entry.preferred && !entry.report);
        const std::string key = entry.target.name + std::to_string(fingerprint);
        return std::pair(!silent && limitOf(entry) > 0, std::hash<std::string>{}(key));
    };
    const Averages all = averages(now);
    std::vector<Candidate> candidates;
    for (const auto &it : m_entries) {
        if (acceptsRequests(it.second) && !excluded.contains(it.first)) {
            candidates.push_back({&it.second, 0, estimateInFlight(it.second, all, now), 0});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto less = [&](const Candidate &a, const Candidate &b) { return rankOf(*a.entry) < rankOf(*b.entry); };
    return toChoice(*std::max_element(candidates.begin(), candidates.end(), less), candidates.size(), now);
}

const ServiceRouter::Candidate &ServiceRouter::draw(const std::vector<Candidate> &candidates, const RequestCost &cost,
                                                    Random &random) const
{
    if (m_options.strategy == RoutingStrategy::UniformRandom) {
        return candidates[randomBelow(random, candidates.size())];
    }
    if (m_options.strategy == RoutingStrategy::EarliestFinish) {
        return m_options.departures ? drawByLocality(candidates, cost, random) : drawEarliestFinish(candidates, random);
    }
    if (m_options.strategy == RoutingStrategy::PowerOfTwo) {
        const Candidate &a = candidates[randomBelow(random, candidates.size())];
        const Candidate &b = candidates[randomBelow(random, candidates.size())];
        return a.weight >= b.weight ? a : b;
    }
    double total = 0;
    for (const Candidate &it : candidates) {
        total += it.weight;
    }
    double at = randomFraction(random) * total;
    for (const Candidate &it : candidates) {
        at -= it.weight;
        if (at < 0) {
            return it;
        }
    }
    return candidates.back();
}

const ServiceRouter::Candidate &ServiceRouter::drawEarliestFinish(const std::vector<Candidate> &candidates,
                                                                  Random &random) const
{
    const auto less = [](const Candidate &a, const Candidate &b) { return a.weight < b.weight; };
    const Candidate &best = *std::max_element(candidates.begin(), candidates.end(), less);
    if (candidates.size() <= MaxExhaustiveTargets) {
        return best;
    }
    std::vector<const Candidate *> eligible;
    std::vector<const Candidate *> local;
    for (const Candidate &it : candidates) {
        if (it.weight < MaxFinishFactor * best.weight) {
            continue;
        }
        eligible.push_back(&it);
        if (it.entry->target.dataCentre == m_options.dataCentre) {
            local.push_back(&it);
        }
    }
    const Candidate *out = nullptr;
    for (auto *list : {&local, &eligible}) {
        for (std::size_t i = 0; i < DrawsPerGroup && !list->empty(); ++i) {
            const std::size_t drawn = randomBelow(random, list->size());
            const Candidate *candidate = (*list)[drawn];
            out = out == nullptr || out->weight < candidate->weight ? candidate : out;
            (*list)[drawn] = list->back();
            list->pop_back();
        }
    }
    return *out;
}

/// Draws among the targets at home and among the others, and leaves the data centre only where that pays.
const ServiceRouter::Candidate &ServiceRouter::drawByLocality(const std::vector<Candidate> &candidates,
                                                              const RequestCost &cost, Random &random) const
{
    std::vector<Candidate> home;
    std::vector<Candidate> away;
    for (const Candidate &it : candidates) {
        (isAway(*it.entry) ? away : home).push_back(it);
    }
    const auto indexOf = [&](const Candidate &drawn) -> const Candidate & {
        return *std::find_if(candidates.begin(), candidates.end(),
                             [&](const Candidate &it) { return it.entry == drawn.entry; });
    };
    if (home.empty() || away.empty()) {
        return indexOf(drawEarliestFinish(home.empty() ? away : home, random));
    }
    const Candidate &near = indexOf(drawEarliestFinish(home, random));
    const Candidate &far = indexOf(drawEarliestFinish(away, random));
    const DepartureOption stay{fromSeconds(near.finishSeconds), {}, 0};
    const DepartureOption leave{fromSeconds(far.finishSeconds), m_roundTrips.roundTrip(far.entry->target.dataCentre),
                                cost.requestBytes + cost.responseBytes};
    return m_departures.pays(stay, leave, cost.objective, randomFraction(random)) ? far : near;
}

/// Passes the use of the preferred targets to the policy for requests that leave the data centre.
void ServiceRouter::updateUtilisation(TimePoint now)
{
    if (!m_options.departures || now < m_nextUtilisation) {
        return;
    }
    m_nextUtilisation = now + UtilisationInterval;
    double used[] = {0, 0};
    double slots[] = {0, 0};
    for (const auto &it : m_entries) {
        const Entry &entry = it.second;
        if (!entry.preferred || !entry.report || !acceptsRequests(entry)) {
            continue;
        }
        const std::size_t group = isAway(entry) ? 1 : 0;
        used[group] += entry.report->inFlight + entry.report->queued;
        slots[group] += entry.report->limit;
    }
    // Without any slot, a data centre counts as overfull.
    const auto utilisation = [&](std::size_t group) { return slots[group] > 0 ? used[group] / slots[group] : 2.0; };
    m_departures.recordUtilisation({utilisation(0), utilisation(1)}, now);
}

RouterChoice ServiceRouter::toChoice(const Candidate &candidate, std::size_t candidates, TimePoint now) const
{
    RouterChoice choice;
    choice.target = candidate.entry->target.name;
    choice.candidates = static_cast<std::uint32_t>(candidates);
    choice.estimatedInFlight = candidate.estimate;
    choice.limit = limitOf(*candidate.entry);
    choice.remote = candidate.entry->target.dataCentre != m_options.dataCentre;
    if (candidate.entry->report) {
        choice.pacePercent = candidate.entry->report->pacePercent;
        choice.reportAge = now - candidate.entry->reportedAt;
    }
    return choice;
}

void ServiceRouter::recordAttemptStart(const std::string &target, TimePoint)
{
    const auto it = m_entries.find(target);
    if (it != m_entries.end()) {
        ++it->second.outstanding;
        ++it->second.startedSinceReport;
    }
}

void ServiceRouter::recordLoadReport(const std::string &target, const LoadReport &load, TimePoint now)
{
    const auto it = m_entries.find(target);
    if (it == m_entries.end()) {
        return;
    }
    Entry &entry = it->second;
    recordSlowPhase(entry, load, now);
    entry.report = load;
    entry.reportedAt = now;
    entry.startedSinceReport = 0;
    if (load.latencyUs > 0) {
        entry.latency = load.latencyUs / 1e6;
    }
    updateUtilisation(now);
}

void ServiceRouter::recordRoundTrip(const std::string &target, Duration roundTrip, TimePoint now)
{
    const auto it = m_entries.find(target);
    if (it != m_entries.end()) {
        m_roundTrips.record(it->second.target.dataCentre, roundTrip, now);
    }
}

void ServiceRouter::recordReportInterval(const std::string &target, Duration next)
{
    const auto it = m_entries.find(target);
    if (it != m_entries.end()) {
        it->second.reportInterval = next;
    }
}

/// Tracks the average length of slow phases, which determines how long a reported slowdown stays valid.
void ServiceRouter::recordSlowPhase(Entry &entry, const LoadReport &load, TimePoint now)
{
    const bool slow = load.pacePercent >= SlowPhaseThresholdPercent;
    if (slow && !entry.slowSince) {
        entry.slowSince = now;
    }
    if (slow || !entry.slowSince) {
        return;
    }
    m_slowPhase.recordPhase(*entry.slowSince, entry.reportedAt, now);
    entry.slowSince.reset();
}

void ServiceRouter::recordAttemptOutcome(const std::string &target, const RouterOutcome &outcome, TimePoint now)
{
    const auto it = m_entries.find(target);
    if (it == m_entries.end()) {
        return;
    }
    Entry &entry = it->second;
    entry.outstanding -= std::min(entry.outstanding, 1U);
    if (!outcome.ran && !outcome.failed) {
        return;
    }
    const double share = failureRateOf(entry, now);
    entry.failureRate = share + FailureWeight * ((outcome.failed ? 1.0 : 0.0) - share);
    entry.failureRateUpdated = now;
    // Load reports have the latency of the target itself; the latency measured here includes queueing at the guard.
    if (outcome.ran && !outcome.failed && !entry.report) {
        const double latency = toSeconds(outcome.headLatency);
        entry.latency = entry.latency == 0 ? latency : entry.latency + LatencyWeight * (latency - entry.latency);
    }
}

bool ServiceRouter::hasOtherTarget(const std::set<std::string> &excluded) const
{
    const auto usable = [&](const auto &it) { return acceptsRequests(it.second) && !excluded.contains(it.first); };
    return std::any_of(m_entries.begin(), m_entries.end(), usable);
}

std::uint32_t ServiceRouter::slowdownSince(const std::string &target, TimePoint since) const
{
    const auto it = m_entries.find(target);
    const bool fresh = it != m_entries.end() && it->second.report && it->second.reportedAt > since;
    return fresh ? it->second.report->pacePercent : 0;
}

std::size_t ServiceRouter::usableTargets() const
{
    const auto usable = [&](const auto &it) { return acceptsRequests(it.second); };
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), usable));
}

}
