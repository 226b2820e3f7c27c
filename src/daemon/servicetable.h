/// What a node knows of all services: accepted bundles, announced targets, and a router for each service.
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

/// A service as one node routes it; the lock guards all but the id.
struct ServiceShard {
    ServiceShard(ServiceId i, const RouterOptions &options, std::uint64_t seed)
        : id(std::move(i))
        , router(options)
        , budget(0)
        , random(seed)
    {
    }

    const ServiceId id; ///< The service.
    std::mutex mutex; ///< Guards what follows.
    ServiceRouter router; ///< Chooses targets.
    RetryBudget budget; ///< Bounds retries.
    Random random; ///< What the router draws from.
    TimePoint calledAt{}; ///< When a request for the service last began at this node.
    std::map<std::string, TargetRecord> records; ///< The announced targets by name.
    std::map<std::string, HedgeTimer> timers; ///< How long requests take, by route.
    std::map<std::string, double> responseBytes; ///< Average bytes of an answer, by route.
};

/// A bundle that a node applies.
struct AppliedBundle {
    std::uint64_t revision = 0; ///< Revision given at acceptance.
    Bundle bundle; ///< The bundle.
    RouteTable routes; ///< Finds its routes.
};

/// Holds what a node knows of services. Safe for use by several threads.
class ServiceTable
{
public:
    /// The options are those of each service's router.
    ServiceTable(const Clock &clock, RouterOptions options, std::uint64_t seed);

    /// Applies an accepted bundle unless the node applies the same or a newer one; returns whether it was applied.
    absl::StatusOr<bool> applyBundle(const AcceptedBundle &accepted);

    /// Applies a bundle that needs no check of its signatures, unless the same or a newer one is applied; returns
    /// whether it was applied.
    bool applyChecked(std::uint64_t revision, Bundle bundle);

    /// Forgets what a control VM told, once the link to it is lost and others tell as much.
    void dropDirectory(const std::string &source);

    /// Takes in a load report of a target's guard.
    void noteLoad(const ServiceId &service, const std::string &target, const LoadReport &load);

    /// Takes in a load report that its guard sent of itself, with the time until the next one at the latest.
    void noteBeacon(const ServiceId &service, const std::string &target, const LoadReport &load, Duration next);

    /// Takes in a directory update of a control VM.
    void applyDirectory(const std::string &source, const DirectoryUpdate &update);

    /// Takes in the targets beside this node.
    void applyLocalTargets(const std::vector<TargetRecord> &records);

    /// Returns the directory sequence that was applied from a control VM.
    std::uint64_t directorySequence(const std::string &source) const;

    /// Sets how many retries of each service the node may save up.
    void setRetryBurst(double retries);

    /// Returns where the nodes beside all known targets take requests, each once; the same list until it changes.
    std::shared_ptr<const std::vector<std::string>> peers() const;

    /// Finds a service that a bundle names, or returns nullptr.
    std::shared_ptr<ServiceShard> find(const ServiceId &id) const;

    /// Returns all services that bundles name.
    std::vector<std::shared_ptr<ServiceShard>> all() const;

    /// Returns the bundle that the node applies for a firm, or nullptr.
    std::shared_ptr<const AppliedBundle> bundleOf(const std::string &firm) const;

    /// Returns which bundles the node applies.
    std::vector<FirmRevision> applied() const;

private:
    void rebuild();
    void notePeers(const std::vector<TargetRecord> &records);
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
