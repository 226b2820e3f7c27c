/// Targets that announce themselves to this node, with their leases and guards.
///
/// Use it to process announcements and to find the backend that runs requests at a local target.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "daemon/observedtarget.h"
#include "daemon/servicetable.h"
#include "daemon/statementlog.h"
#include "net/keyedtarget.h"
#include "shallotrelay/rollout/versiongate.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Announcement that a target posts to its node.
struct Announcement {
    ServiceId service; ///< Service of the target.
    std::string name; ///< Name of the target.
    Address address; ///< Address that accepts requests.
    TargetAnnouncement target; ///< State and capacity.
    std::string version{}; ///< Version of its software, empty if it is not known.
};

/// A target of this node whose service has a roll-out in progress.
struct RolloutTarget {
    std::string service; ///< Name of its service.
    std::string name; ///< Its name.
    std::string version; ///< Version of its software, empty if it is not known.
    std::uint32_t slots = 0; ///< Maximum number of requests in flight.
    StartTerms terms; ///< The roll-out, and the span over which starts are counted.
    std::shared_ptr<GuardedTarget> guarded; ///< Its guard.
    std::shared_ptr<const RolloutCounts> counts; ///< Its responses.
};

/// Parses an announcement, a JSON object with firm, service, name, address, boot_id, state, slots and connections.
/// Returns an error that names the invalid field.
absl::StatusOr<Announcement> parseAnnouncement(std::string_view text);

/// Registry of the targets of one node. Thread-safe.
class LocalTargets
{
public:
    struct Options {
        const Clock *clock = nullptr; ///< Source of the current time.
        Duration lease{}; ///< Time after which an announcement that is not renewed expires.
        Duration stallTimeout{}; ///< Timeout for a body without progress.
        std::string dataCentre; ///< Data centre of the node.
        std::string peerAddress; ///< Address that accepts requests of other nodes.
        std::uint64_t incarnation = 0; ///< Increases with each start of the node.
        GuardedTargetOptions targets; ///< Options of each guarded target; LocalTargets sets the clock and hooks.
        /// Called when a target states in a response that it is leaving.
        std::function<void(const std::string &target)> onTargetLeaving{};
    };

    LocalTargets(Options options, ServiceTable &services, EventLog &log, Metrics &metrics,
                 std::shared_ptr<NodeKeyLedger> keys);

    /// Adds a target or renews its lease. Returns whether its address, state, capacity or boot id changed.
    bool announce(const Announcement &announcement);

    /// Removes a target that another one has replaced; requests in flight continue.
    void remove(const ServiceId &service, const std::string &name);

    /// Removes targets whose lease has expired. Returns whether any was removed.
    bool expire();

    /// Marks all targets as leaving, for a planned stop of the node.
    void announceAllLeaving();

    /// Applies the policies of the bundles in effect to the guards.
    void applyPolicies();

    /// Lets the guards detect slow phases and end queue waits; call it periodically.
    void tick();

    /// Returns the guarded target, or nullptr.
    std::shared_ptr<GuardedTarget> find(const ServiceId &service, const std::string &name) const;

    /// Returns the backend that runs requests at a target, or nullptr.
    std::shared_ptr<Backend> findBackend(const ServiceId &service, const std::string &name) const;

    /// Returns the targets whose service has a roll-out in progress.
    std::vector<RolloutTarget> rolloutTargets() const;

    /// Returns the directory records of all targets.
    std::vector<TargetRecord> records() const;

    /// Sets the address that accepts requests of other nodes, once it is known.
    void setPeerAddress(const std::string &address);

private:
    struct Entry {
        Announcement announcement;
        TimePoint renewedAt;
        std::uint64_t sequence = 0;
        std::shared_ptr<StatementLog> statements;
        std::shared_ptr<GuardedTarget> guarded;
        std::shared_ptr<KeyedTarget> keyed;
        std::shared_ptr<ObservedTarget> observed;
        std::string version; // the last one known
        VersionStanding standing = VersionStanding::Serves;
        StartTerms terms;
    };

    void logDecision(const RequestHead &request, const GuardDecision &decision);
    void logTrial(const RequestHead &request, const RequestPrint &fingerprint, TrialDecision decision);
    void reportCrash(const std::string &target, const Crash &crash);
    TargetRecord toRecord(const Entry &entry) const;
    void recordVersion(Entry &entry, const std::string &version);
    void applyPolicy(Entry &entry);
    void updateStanding(Entry &entry);
    GuardPolicy policyOf(const Entry &entry) const;
    void publish();

    Options m_options;
    ServiceTable &m_services;
    EventLog &m_log;
    Metrics &m_metrics;
    std::shared_ptr<NodeKeyLedger> m_keys;
    mutable std::mutex m_mutex;
    bool m_leaving = false;
    std::uint64_t m_spans = 0; // over which starts of a target were counted
    std::map<std::string, Entry> m_entries;
};

}
