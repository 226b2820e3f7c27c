/// Service table of a node: applied bundles, announced targets and one router for each service.
///
/// Use it to look up the service of a request and to apply bundles, directory updates and load reports.
#pragma once

#include "cli/settingvalue.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/name.h"
#include "shallotrelay/bundle/signature.h"
#include "shallotrelay/membership/directory.h"
#include "shallotrelay/retry/hedge.h"
#include "shallotrelay/retry/retry.h"
#include "shallotrelay/routing/router.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Routing state of one service on this node. The mutex guards every member except the id.
struct ServiceShard {
    ServiceShard(ServiceId i, const RouterOptions &options, std::uint64_t seed)
        : id(std::move(i))
        , router(options)
        , budget(0)
        , random(seed)
    {
    }

    /// Returns the average response size of a route in bytes, 0 if it is not known. Locks the mutex.
    double averageResponseBytes(const std::string &route);

    const ServiceId id; ///< Identifies the service.
    std::mutex mutex; ///< Guards the members below.
    ServiceRouter router; ///< Chooses the target of each attempt.
    RetryBudget budget; ///< Limits retries.
    Random random; ///< Random numbers for the router.
    TimePoint lastRequestAt{}; ///< When this node last planned an attempt for the service.
    std::map<std::string, TargetRecord> records; ///< Announced targets by name.
    std::map<std::string, HedgeTimer> hedgeTimers; ///< Response times by route, which set the hedge delay.
    std::map<std::string, double> responseBytes; ///< Average response size in bytes by route.
};

/// Bundle in effect on a node.
struct AppliedBundle {
    std::uint64_t revision = 0; ///< Revision that control assigned when it accepted the bundle.
    Bundle bundle; ///< Parsed bundle.
    RouteTable routes; ///< Matches requests to the routes of the bundle.
};

/// Builds the route table of a bundle.
std::shared_ptr<const AppliedBundle> prepareBundle(std::uint64_t revision, Bundle bundle);

/// Services, bundles and targets that a node knows. Thread-safe.
class ServiceTable
{
public:
    /// Creates an empty table; the options and the seed apply to the router of each service.
    ServiceTable(const Clock &clock, RouterOptions options, std::uint64_t seed);

    /// Applies an accepted bundle unless the same or a newer revision is in effect. Returns whether the bundle was
    /// applied, or an error if it cannot be parsed.
    absl::StatusOr<bool> applyBundle(const AcceptedBundle &accepted);

    /// Applies a bundle whose signatures are already verified, unless the same or a newer revision is in effect.
    /// Returns whether the bundle was applied.
    bool applyVerifiedBundle(std::shared_ptr<const AppliedBundle> bundle);

    /// Removes the directory entries of a control VM; call it once the link to the VM is lost and other control VMs
    /// supply the same entries.
    void removeDirectorySource(const std::string &source);

    /// Passes a load report of a target's guard to the router.
    void recordTargetLoad(const ServiceId &service, const std::string &target, const LoadReport &load);

    /// Passes a load beacon, which a guard sends unprompted, to the router, with the maximum time until the next
    /// beacon.
    void recordLoadBeacon(const ServiceId &service, const std::string &target, const LoadReport &load, Duration next);

    /// Applies a directory update of a control VM.
    void applyDirectory(const std::string &source, const DirectoryUpdate &update);

    /// Replaces the directory entries of this node's own targets.
    void applyLocalTargets(const std::vector<TargetRecord> &records);

    /// Returns the sequence number of the last directory update applied from a control VM.
    std::uint64_t directorySequence(const std::string &source) const;

    /// Sets the maximum number of unused retries that each service's budget accumulates.
    void setRetryBurst(double retries);

    /// Returns the peer addresses of the nodes that have targets, sorted and without duplicates. The same list object
    /// is returned until its contents change.
    std::shared_ptr<const std::vector<std::string>> peers() const;

    /// Returns a service that a bundle defines, or nullptr.
    std::shared_ptr<ServiceShard> find(const ServiceId &id) const;

    /// Returns all services that the bundles define.
    std::vector<std::shared_ptr<ServiceShard>> all() const;

    /// Returns the bundle in effect for a firm, or nullptr.
    std::shared_ptr<const AppliedBundle> bundleOf(const std::string &firm) const;

    /// Returns the version and revision of each bundle in effect.
    std::vector<FirmRevision> applied() const;

private:
    void rebuild();
    void updatePeers(const std::vector<TargetRecord> &records);
    void rebuildService(const ServiceId &id, const AppliedBundle &bundle, const ServicePolicy &policy,
                        const std::vector<TargetRecord> &records);

    const Clock &m_clock;
    RouterOptions m_options;
    std::uint64_t m_seed;
    mutable std::shared_mutex m_mutex;
    std::map<std::string, std::shared_ptr<const AppliedBundle>> m_bundles;
    DirectoryView m_directory;
    std::optional<double> m_retryBurst;
    std::map<ServiceId, std::shared_ptr<ServiceShard>> m_services;
    std::shared_ptr<const std::vector<std::string>> m_peers = std::make_shared<const std::vector<std::string>>();
};

}
