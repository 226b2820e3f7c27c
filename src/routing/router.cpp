#include "shallotrelay/routing/router.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Share of one try in the share of failures; about the last four tries count.
constexpr double FailureWeight = 0.25;
/// Share of one answer in the latency; about the last five answers count.
constexpr double LatencyWeight = 0.2;
/// Least weight of a target, so that one is always drawn.
constexpr double LeastWeight = 1e-6;
/// Share of a fair weight that a failing or slow target keeps, so that its recovery is noticed.
constexpr double LeastHealth = 0.005;
/// How steeply the weight falls with the share of failures.
constexpr double FailurePower = 6.0;
/// Share of its limit that a full target counts as free.
constexpr double FullShare = 0.02;
/// How steeply the weight of a full target falls with its queue.
constexpr double QueuePower = 4.0;
/// A latency up to this many times the median is not held against a target.
constexpr double SlowTolerance = 1.5;
/// How steeply the weight falls with a latency beyond that.
constexpr double SlowPower = 3.0;
/// Least time for which a report is trusted, in seconds.
constexpr double LeastReportMemorySeconds = 0.005;
/// Time in which a share of failures is half forgotten, in seconds.
constexpr double FailureHalfLifeSeconds = 1.0;
/// Extra time at a target in another data centre, in seconds: two ways across.
constexpr double RemoteSeconds = 0.003;
/// Weighs bytes between data centres, which are paid for, against the time of callers.
constexpr double RemoteBytesPerSecond = 1.5e6;
/// Growth of the work time from an idle to a full target that is assumed where a guard has not told what it learnt.
constexpr double FullSlowdown = 1.0;
/// Share of slots up to which work does not slow down.
constexpr double FreelyUsed = 0.3;
/// Time that a certain failure costs, in seconds: the try and another one elsewhere.
constexpr double FailureSeconds = 0.5;
/// A target that is expected to take this many times as long as the best one is not drawn.
constexpr double GoodFactor = 4.0;
/// Draws of which the best is taken, once among targets nearby and once among all: choosing the best of two is far
/// better than one at random, and unlike the best of all it does not gather nodes that know the same reports.
constexpr std::size_t DrawsEach = 2;
/// Of so few targets the best one is taken: each gets a large share in any case.
constexpr std::size_t FewTargets = 4;
/// Work that is expected as long as nothing is known, in seconds.
constexpr double LeastWorkSeconds = 0.005;
/// A target whose guard has been silent for this long is avoided.
constexpr Duration SilenceBound = std::chrono::milliseconds(1000);
/// Promised reports that may be lost before a guard counts as silent.
constexpr int MissedReports = 3;
/// Extra time at such a target, in seconds.
constexpr double SilenceSeconds = 1.0;
/// Reports older than this say nothing about failures or latency.
constexpr Duration ReportBound = std::chrono::seconds(5);

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
                entry.failureShare = 0;
                entry.latency = 0;
            }
            if (entry.target != it) {
                // A report from before, such as the limit of 0 while out of service, would keep work away.
                entry.report.reset();
            }
        } else {
            entry.reportedAt = now;
        }
        entry.target = it;
        entries[it.name] = entry;
    }
    m_entries = std::move(entries);
    notePreferred();
}

/// Prefers a part of the targets that may take work.
void ServiceRouter::notePreferred()
{
    if (m_options.node.empty()) {
        return;
    }
    std::vector<SubsetTarget> usable;
    for (const auto &it : m_entries) {
        const RouterTarget &target = it.second.target;
        if (target.inService && target.state != TargetState::Leaving) {
            usable.push_back({target.name, target.dataCentre});
        }
    }
    const std::set<std::string> names
        = preferredTargets(m_options.node, m_options.dataCentre, usable, m_options.subset);
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

/// Returns whether the guard should have told its load but has not for a while.
bool ServiceRouter::isSilent(const Entry &entry, TimePoint now) const
{
    return entry.preferred && entry.report
           && now - entry.reportedAt > std::max(SilenceBound, MissedReports * entry.nextReport);
}

bool ServiceRouter::mayTakeWork(const Entry &entry) const
{
    if (!entry.target.inService || entry.target.state == TargetState::Leaving) {
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
    double pace = 0;
    double paced = 0;
    for (const auto &it : m_entries) {
        const Entry &entry = it.second;
        if (!entry.preferred || !mayTakeWork(entry)) {
            continue;
        }
        failures.push_back(failureShareOf(entry, now));
        if (entry.report && entry.report->pacePercent > 0) {
            pace += entry.report->pacePercent / PercentScale;
            paced += 1;
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
    out.failureShare = median(failures);
    out.latency = median(latencies);
    out.pace = paced > 0 ? pace / paced : 1;
    return out;
}

double ServiceRouter::estimateInFlight(const Entry &entry, const Averages &averages, TimePoint now) const
{
    if (!entry.report) {
        const double usual = entry.preferred ? 0 : averages.utilisation * limitOf(entry);
        return std::max<double>(usual, entry.outstanding);
    }
    const double memory = std::max(LeastReportMemorySeconds, entry.latency);
    const double trust = std::exp(-toSeconds(now - entry.reportedAt) / memory);
    const double usual = averages.utilisation * entry.report->limit;
    const double others = trust * (entry.report->inFlight + entry.report->queued) + (1 - trust) * usual;
    const double mine = std::min(entry.startedSinceReport, entry.outstanding);
    return std::max<double>(others + mine, entry.outstanding);
}

double ServiceRouter::failureShareOf(const Entry &entry, TimePoint now) const
{
    const double age = toSeconds(now - entry.failureNoted);
    const double own = entry.failureShare * std::exp2(-age / FailureHalfLifeSeconds);
    const bool fresh = entry.report && now - entry.reportedAt < ReportBound;
    const double reported = fresh ? entry.report->failurePerMille / 1000.0 : 0;
    return std::max(own, reported);
}

double ServiceRouter::weightOf(const Entry &entry, double estimate, const Averages &averages, TimePoint now) const
{
    const double limit = limitOf(entry);
    double weight = limit - estimate;
    if (weight < FullShare * limit) {
        // Of targets that are full, the one with the shorter queue is the better one to wait at.
        weight = FullShare * limit * std::pow(limit / std::max(estimate, limit), QueuePower);
    }
    double health = 1;
    if (m_options.useFailures) {
        const double relative = (1 - failureShareOf(entry, now)) / std::max(0.05, 1 - averages.failureShare);
        health *= std::pow(std::clamp(relative, 0.0, 1.0), FailurePower);
    }
    if (m_options.useLatency && entry.latency > SlowTolerance * averages.latency) {
        health *= std::pow(SlowTolerance * averages.latency / entry.latency, SlowPower);
    }
    weight *= std::max(health, LeastHealth);
    if (entry.target.dataCentre != m_options.dataCentre) {
        weight *= m_options.remoteWeight;
    }
    return std::max(weight, LeastWeight);
}

double ServiceRouter::paceOf(const Entry &entry, const Averages &averages, TimePoint now) const
{
    if (!entry.report || entry.report->pacePercent == 0) {
        return averages.pace;
    }
    const double trust = std::exp(-Seconds(now - entry.reportedAt) / m_slowPhase.average());
    return trust * entry.report->pacePercent / PercentScale + (1 - trust) * averages.pace;
}

/// Returns the expected time from now until the target has finished the work, in seconds.
double ServiceRouter::finishTime(const Entry &entry, double estimate, const Averages &averages, const RequestCost &cost,
                                 TimePoint now) const
{
    const double limit = std::max<double>(1, limitOf(entry));
    const double known = cost.work > Duration::zero() ? toSeconds(cost.work) : averages.latency;
    const double usual = std::max(known, LeastWorkSeconds);
    const double pace = paceOf(entry, averages, now);
    const double latency = entry.latency > 0 ? entry.latency : averages.latency;
    const double ahead = std::max(0.0, estimate + 1 - limit);
    const double failures = std::max(0.0, failureShareOf(entry, now) - averages.failureShare);
    const bool told = entry.report && entry.report->fullSlowdownPercent > 0;
    const double full = told ? entry.report->fullSlowdownPercent / PercentScale - 1 : FullSlowdown;
    const double crowded = std::clamp(((estimate + 1) / limit - FreelyUsed) / (1 - FreelyUsed), 0.0, 1.0);
    double out = usual * pace * (1 + full * crowded * crowded) + ahead * latency / limit;
    out += failures * FailureSeconds;
    if (entry.target.dataCentre != m_options.dataCentre) {
        out += RemoteSeconds + cost.answerBytes / RemoteBytesPerSecond;
    }
    out += isSilent(entry, now) || limitOf(entry) == 0 ? SilenceSeconds : 0;
    return out;
}

std::optional<RouterChoice> ServiceRouter::choose(const std::set<std::string> &excluded, TimePoint now, Random &random,
                                                  const RequestCost &cost) const
{
    const auto hasRoom = [&](const Candidate &it) { return it.estimate + 1 <= limitOf(*it.entry); };
    std::vector<Candidate> found = candidates(excluded, true, now, cost);
    if (std::none_of(found.begin(), found.end(), hasRoom)) {
        // A node whose preferred targets are full or gone asks beyond them before a request is refused.
        found = candidates(excluded, false, now, cost);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    const auto usable = [&](const auto &it) { return mayTakeWork(it.second) && !excluded.contains(it.first); };
    const auto all = std::count_if(m_entries.begin(), m_entries.end(), usable);
    return toChoice(draw(found, random), static_cast<std::size_t>(all), now);
}

std::vector<ServiceRouter::Candidate> ServiceRouter::candidates(const std::set<std::string> &excluded,
                                                                bool preferredOnly, TimePoint now,
                                                                const RequestCost &cost) const
{
    const Averages all = averages(now);
    std::vector<Candidate> out;
    for (const auto &it : m_entries) {
        const Entry &entry = it.second;
        if ((preferredOnly && !entry.preferred) || !mayTakeWork(entry) || excluded.contains(it.first)) {
            continue;
        }
        const double estimate = estimateInFlight(entry, all, now);
        const bool earliest = m_options.strategy == RoutingStrategy::EarliestFinish;
        const double weight
            = earliest ? -finishTime(entry, estimate, all, cost, now) : weightOf(entry, estimate, all, now);
        out.push_back({&entry, weight, estimate});
    }
    return out;
}

std::optional<RouterChoice> ServiceRouter::chooseForTrial(std::uint64_t print, const std::set<std::string> &excluded,
                                                          TimePoint now) const
{
    // Rendezvous hashing: each target has a rank of its own for each print, so the order does not depend on the others.
    const auto rankOf = [&](const Entry &entry) {
        const bool silent = isSilent(entry, now) || (entry.preferred && !entry.report);
        const std::string key = entry.target.name + std::to_string(print);
        return std::pair(!silent && limitOf(entry) > 0, std::hash<std::string>{}(key));
    };
    const Averages all = averages(now);
    std::vector<Candidate> candidates;
    for (const auto &it : m_entries) {
        if (mayTakeWork(it.second) && !excluded.contains(it.first)) {
            candidates.push_back({&it.second, 0, estimateInFlight(it.second, all, now)});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto less = [&](const Candidate &a, const Candidate &b) { return rankOf(*a.entry) < rankOf(*b.entry); };
    return toChoice(*std::max_element(candidates.begin(), candidates.end(), less), candidates.size(), now);
}

const ServiceRouter::Candidate &ServiceRouter::draw(const std::vector<Candidate> &candidates, Random &random) const
{
    if (m_options.strategy == RoutingStrategy::UniformRandom) {
        return candidates[randomBelow(random, candidates.size())];
    }
    if (m_options.strategy == RoutingStrategy::EarliestFinish) {
        return drawEarly(candidates, random);
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

const ServiceRouter::Candidate &ServiceRouter::drawEarly(const std::vector<Candidate> &candidates, Random &random) const
{
    const auto less = [](const Candidate &a, const Candidate &b) { return a.weight < b.weight; };
    const Candidate &best = *std::max_element(candidates.begin(), candidates.end(), less);
    if (candidates.size() <= FewTargets) {
        return best;
    }
    std::vector<const Candidate *> good;
    std::vector<const Candidate *> nearby;
    for (const Candidate &it : candidates) {
        if (it.weight < GoodFactor * best.weight) {
            continue;
        }
        good.push_back(&it);
        if (it.entry->target.dataCentre == m_options.dataCentre) {
            nearby.push_back(&it);
        }
    }
    const Candidate *out = nullptr;
    for (auto *list : {&nearby, &good}) {
        for (std::size_t i = 0; i < DrawsEach && !list->empty(); ++i) {
            const std::size_t drawn = randomBelow(random, list->size());
            const Candidate *candidate = (*list)[drawn];
            out = out == nullptr || out->weight < candidate->weight ? candidate : out;
            (*list)[drawn] = list->back();
            list->pop_back();
        }
    }
    return *out;
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

void ServiceRouter::started(const std::string &target, TimePoint)
{
    const auto it = m_entries.find(target);
    if (it != m_entries.end()) {
        ++it->second.outstanding;
        ++it->second.startedSinceReport;
    }
}

void ServiceRouter::reported(const std::string &target, const LoadReport &load, TimePoint now)
{
    const auto it = m_entries.find(target);
    if (it == m_entries.end()) {
        return;
    }
    Entry &entry = it->second;
    noteSlowPhase(entry, load, now);
    entry.report = load;
    entry.reportedAt = now;
    entry.startedSinceReport = 0;
    if (load.latencyUs > 0) {
        entry.latency = load.latencyUs / 1e6;
    }
}

void ServiceRouter::promised(const std::string &target, Duration next)
{
    const auto it = m_entries.find(target);
    if (it != m_entries.end()) {
        it->second.nextReport = next;
    }
}

/// Learns how long slow phases last, which tells how long a reported pace holds.
void ServiceRouter::noteSlowPhase(Entry &entry, const LoadReport &load, TimePoint now)
{
    const bool slow = load.pacePercent >= SlowPacePercent;
    if (slow && !entry.slowSince) {
        entry.slowSince = now;
    }
    if (slow || !entry.slowSince) {
        return;
    }
    m_slowPhase.recordPhase(*entry.slowSince, entry.reportedAt, now);
    entry.slowSince.reset();
}

void ServiceRouter::finished(const std::string &target, const RouterOutcome &outcome, TimePoint now)
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
    const double share = failureShareOf(entry, now);
    entry.failureShare = share + FailureWeight * ((outcome.failed ? 1.0 : 0.0) - share);
    entry.failureNoted = now;
    // The guard knows the target's own latency; here the waiting at the guard would be counted, too.
    if (outcome.ran && !outcome.failed && !entry.report) {
        const double latency = toSeconds(outcome.headLatency);
        entry.latency = entry.latency == 0 ? latency : entry.latency + LatencyWeight * (latency - entry.latency);
    }
}

bool ServiceRouter::hasTargetBeside(const std::set<std::string> &excluded) const
{
    const auto usable = [&](const auto &it) { return mayTakeWork(it.second) && !excluded.contains(it.first); };
    return std::any_of(m_entries.begin(), m_entries.end(), usable);
}

std::uint32_t ServiceRouter::paceSince(const std::string &target, TimePoint since) const
{
    const auto it = m_entries.find(target);
    const bool fresh = it != m_entries.end() && it->second.report && it->second.reportedAt > since;
    return fresh ? it->second.report->pacePercent : 0;
}

std::size_t ServiceRouter::usableTargets() const
{
    const auto usable = [&](const auto &it) { return mayTakeWork(it.second); };
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), usable));
}

}
