#include "shallotrelay/routing/router.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

constexpr double FailureWeight = 0.25;
constexpr double LatencyWeight = 0.2;
constexpr double LeastWeight = 1e-6;
/// Share of a fair weight that a failing or slow target keeps, so that its recovery is noticed.
constexpr double LeastHealth = 0.005;
constexpr double FailurePower = 6.0;
constexpr double FullShare = 0.02;
constexpr double QueuePower = 4.0;
constexpr double SlowTolerance = 1.5;
constexpr double SlowPower = 3.0;
constexpr double LeastReportMemorySeconds = 0.005;
constexpr double FailureHalfLifeSeconds = 1.0;
/// Reports older than this say nothing about failures or latency.
constexpr Duration ReportBound = std::chrono::seconds(5);

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
    for (const auto &it : m_entries) {
        const Entry &entry = it.second;
        if (!mayTakeWork(entry)) {
            continue;
        }
        failures.push_back(failureShareOf(entry, now));
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
    return out;
}

double ServiceRouter::estimateInFlight(const Entry &entry, const Averages &averages, TimePoint now) const
{
    if (!entry.report) {
        return entry.outstanding;
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

std::optional<RouterChoice> ServiceRouter::choose(const std::set<std::string> &excluded, TimePoint now,
                                                  Random &random) const
{
    const Averages all = averages(now);
    std::vector<Candidate> candidates;
    for (const auto &it : m_entries) {
        if (!mayTakeWork(it.second) || excluded.contains(it.first)) {
            continue;
        }
        const double estimate = estimateInFlight(it.second, all, now);
        candidates.push_back({&it.second, weightOf(it.second, estimate, all, now), estimate});
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return toChoice(draw(candidates, random), candidates.size());
}

const ServiceRouter::Candidate &ServiceRouter::draw(const std::vector<Candidate> &candidates, Random &random) const
{
    if (m_options.strategy == RoutingStrategy::UniformRandom) {
        return candidates[randomBelow(random, candidates.size())];
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

RouterChoice ServiceRouter::toChoice(const Candidate &candidate, std::size_t candidates) const
{
    RouterChoice choice;
    choice.target = candidate.entry->target.name;
    choice.candidates = static_cast<std::uint32_t>(candidates);
    choice.estimatedInFlight = candidate.estimate;
    choice.limit = limitOf(*candidate.entry);
    choice.remote = candidate.entry->target.dataCentre != m_options.dataCentre;
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
    entry.report = load;
    entry.reportedAt = now;
    entry.startedSinceReport = 0;
    if (load.latencyUs > 0) {
        entry.latency = load.latencyUs / 1e6;
    }
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

std::size_t ServiceRouter::usableTargets() const
{
    const auto usable = [&](const auto &it) { return mayTakeWork(it.second); };
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), usable));
}

}
