#include "daemon/servicetable.h"

#include "shallotrelay/rollout/versiongate.h"

#include <algorithm>
#include <set>

namespace shallotrelay
{
namespace
{

/// Directory source name of this node's own targets.
constexpr const char *LocalSource = "local";

RouterTarget toRouterTarget(const TargetRecord &record, const AppliedBundle &bundle, const ServicePolicy &policy)
{
    RouterTarget target;
    target.name = record.name;
    target.dataCentre = record.dataCentre;
    target.state = record.state;
    target.bootId = record.bootId;
    const std::uint32_t slotLimit = policy.limitsOf(record.name).slots;
    const std::uint32_t slots = slotLimit == 0 ? record.slots : std::min(slotLimit, record.slots);
    target.limit = record.state == TargetState::Cold ? std::min(policy.coldSlots, slots) : slots;
    const VersionStanding standing = versionStanding(policy.lastRollout(), record.version);
    target.byGrant = standing == VersionStanding::ByGrant;
    target.inService = policy.servedIn(record.dataCentre) && bundle.bundle.inService(record.dataCentre)
                       && (standing == VersionStanding::Serves || target.byGrant);
    return target;
}

}

double ServiceShard::averageResponseBytes(const std::string &route)
{
    const std::lock_guard lock(mutex);
    const auto it = responseBytes.find(route);
    return it == responseBytes.end() ? 0 : it->second;
}

std::shared_ptr<const AppliedBundle> prepareBundle(std::uint64_t revision, Bundle bundle)
{
    RouteTable routes(bundle.routes);
    return std::make_shared<const AppliedBundle>(AppliedBundle{revision, std::move(bundle), std::move(routes)});
}

ServiceTable::ServiceTable(const Clock &clock, RouterOptions options, std::uint64_t seed)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_seed(seed)
{
}

absl::StatusOr<bool> ServiceTable::applyBundle(const AcceptedBundle &accepted)
{
    auto parsed = parseSignedBundle(accepted.signedText);
    if (!parsed.ok()) {
        return parsed.status();
    }
    return applyVerifiedBundle(prepareBundle(accepted.revision, std::move(parsed->bundle)));
}

bool ServiceTable::applyVerifiedBundle(std::shared_ptr<const AppliedBundle> bundle)
{
    const std::unique_lock lock(m_mutex);
    auto &current = m_bundles[bundle->bundle.firm];
    if (current && current->revision >= bundle->revision) {
        return false;
    }
    current = std::move(bundle);
    rebuild();
    return true;
}

void ServiceTable::removeDirectorySource(const std::string &source)
{
    const std::unique_lock lock(m_mutex);
    if (m_directory.drop(source)) {
        rebuild();
    }
}

void ServiceTable::recordTargetLoad(const ServiceId &service, const std::string &target, const LoadReport &load)
{
    const auto shard = find(service);
    if (shard) {
        const std::lock_guard lock(shard->mutex);
        shard->router.recordLoadReport(target, load, m_clock.now());
    }
}

void ServiceTable::recordLoadBeacon(const ServiceId &service, const std::string &target, const LoadReport &load,
                                    Duration next)
{
    const auto shard = find(service);
    if (shard) {
        const std::lock_guard lock(shard->mutex);
        shard->router.recordLoadReport(target, load, m_clock.now());
        shard->router.recordReportInterval(target, next);
    }
}

void ServiceTable::applyDirectory(const std::string &source, const DirectoryUpdate &update)
{
    const std::unique_lock lock(m_mutex);
    if (m_directory.apply(source, update)) {
        rebuild();
    }
}

void ServiceTable::applyLocalTargets(const std::vector<TargetRecord> &records)
{
    DirectoryUpdate update;
    update.full = true;
    update.sequence = 1;
    update.records = records;
    applyDirectory(LocalSource, update);
}

void ServiceTable::setRetryBurst(double retries)
{
    const std::unique_lock lock(m_mutex);
    m_retryBurst = retries;
    rebuild();
}

std::shared_ptr<const std::vector<std::string>> ServiceTable::peers() const
{
    const std::shared_lock lock(m_mutex);
    return m_peers;
}

std::uint64_t ServiceTable::directorySequence(const std::string &source) const
{
    const std::shared_lock lock(m_mutex);
    return m_directory.sequenceOf(source);
}

std::shared_ptr<ServiceShard> ServiceTable::find(const ServiceId &id) const
{
    const std::shared_lock lock(m_mutex);
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<ServiceShard>> ServiceTable::all() const
{
    const std::shared_lock lock(m_mutex);
    std::vector<std::shared_ptr<ServiceShard>> out;
    for (const auto &it : m_services) {
        out.push_back(it.second);
    }
    return out;
}

std::shared_ptr<const AppliedBundle> ServiceTable::bundleOf(const std::string &firm) const
{
    const std::shared_lock lock(m_mutex);
    const auto it = m_bundles.find(firm);
    return it == m_bundles.end() ? nullptr : it->second;
}

std::vector<FirmRevision> ServiceTable::applied() const
{
    const std::shared_lock lock(m_mutex);
    std::vector<FirmRevision> out;
    for (const auto &it : m_bundles) {
        out.push_back({it.first, it.second->bundle.version, it.second->revision});
    }
    return out;
}

void ServiceTable::rebuild()
{
    std::map<ServiceId, std::vector<TargetRecord>> records;
    std::vector<TargetRecord> targets = m_directory.targets();
    updatePeers(targets);
    for (TargetRecord &it : targets) {
        const ServiceId id{it.firm, it.service};
        records[id].push_back(std::move(it));
    }
    std::map<ServiceId, std::shared_ptr<ServiceShard>> services;
    for (const auto &firm : m_bundles) {
        for (const auto &service : firm.second->bundle.services) {
            const ServiceId id{firm.first, service.first};
            const auto known = m_services.find(id);
            const std::uint64_t seed = m_seed ^ std::hash<std::string>{}(id.text());
            services[id]
                = known != m_services.end() ? known->second : std::make_shared<ServiceShard>(id, m_options, seed);
        }
    }
    m_services = std::move(services);
    for (const auto &it : m_services) {
        const AppliedBundle &bundle = *m_bundles.at(it.first.firm);
        rebuildService(it.first, bundle, *bundle.bundle.findService(it.first.service), records[it.first]);
    }
}

void ServiceTable::updatePeers(const std::vector<TargetRecord> &records)
{
    std::set<std::string> peers;
    for (const TargetRecord &it : records) {
        peers.insert(it.peerAddress);
    }
    if (!std::equal(peers.begin(), peers.end(), m_peers->begin(), m_peers->end())) {
        m_peers = std::make_shared<const std::vector<std::string>>(peers.begin(), peers.end());
    }
}

void ServiceTable::rebuildService(const ServiceId &id, const AppliedBundle &bundle, const ServicePolicy &policy,
                                  const std::vector<TargetRecord> &records)
{
    ServiceShard &shard = *m_services.at(id);
    std::vector<RouterTarget> targets;
    std::map<std::string, TargetRecord> byName;
    for (const TargetRecord &it : records) {
        targets.push_back(toRouterTarget(it, bundle, policy));
        byName[it.name] = it;
    }
    const std::lock_guard lock(shard.mutex);
    shard.router.setTargets(targets, m_clock.now());
    shard.budget.setPercent(policy.retryPercent);
    if (m_retryBurst) {
        shard.budget.setBurst(*m_retryBurst);
    }
    shard.records = std::move(byName);
}

}
