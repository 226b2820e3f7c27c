/// The targets beside a node: their announcements and their guards.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "daemon/servicetable.h"
#include "net/keyedtarget.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace shallotrelay
{

/// What a target posts to its node.
struct Announcement {
    ServiceId service; ///< The service that it serves.
    std::string name; ///< Its name.
    Address address; ///< Where it takes requests.
    TargetAnnouncement target; ///< Its state and bounds.
};

/// Reads an announcement: a JSON object with firm, service, name, address, boot_id, state, slots and connections.
absl::StatusOr<Announcement> parseAnnouncement(std::string_view text);

/// Keeps the targets beside a node. Safe for use by several threads.
class LocalTargets
{
public:
    struct Options {
        const Clock *clock = nullptr; ///< Tells the time.
        Duration lease{}; ///< Time after which an announcement ends.
        Duration stallTimeout{}; ///< Time without progress of a body.
        std::string dataCentre; ///< Data centre of the node.
        std::string peerAddress; ///< Where other nodes send requests.
        std::uint64_t incarnation = 0; ///< Rises each time that the node starts.
        GuardedTargetOptions targets; ///< What each guarded target gets; its clock and hooks of the node are set here.
    };

    LocalTargets(Options options, ServiceTable &services, EventLog &log, Metrics &metrics,
                 std::shared_ptr<NodeKeys> keys);

    /// Takes in an announcement; returns whether something about the target changed.
    bool announce(const Announcement &announcement);

    /// Forgets a target that another one has replaced; what runs goes on.
    void remove(const ServiceId &service, const std::string &name);

    /// Ends announcements that were not renewed; returns whether one ended.
    bool expire();

    /// Announces all targets as leaving, for a planned stop of the node.
    void leaveAll();

    /// Passes the bundles that are applied on to the guards.
    void applyPolicies();

    /// Lets the guards notice slowness and end waiting.
    void tick();

    /// Finds the guard of a target, or returns nullptr.
    std::shared_ptr<GuardedTarget> find(const ServiceId &service, const std::string &name) const;

    /// Finds what runs requests at a target, or returns nullptr.
    std::shared_ptr<Backend> findBackend(const ServiceId &service, const std::string &name) const;

    /// Returns the records for the directory.
    std::vector<TargetRecord> records() const;

    /// Sets where other nodes send requests, once that is known.
    void setPeerAddress(const std::string &address);

private:
    struct Entry {
        Announcement announcement;
        TimePoint renewed;
        std::uint64_t sequence = 0;
        std::shared_ptr<GuardedTarget> guarded;
        std::shared_ptr<KeyedTarget> keyed;
    };

    void noteDecision(const RequestHead &request, const GuardDecision &decision);
    void noteTrial(const RequestHead &request, const RequestPrint &print, TrialDecision answer);
    void noteCrash(const std::string &target, const Crash &crash);
    TargetRecord toRecord(const Entry &entry) const;
    GuardPolicy policyOf(const Entry &entry) const;
    void publish();

    Options m_options;
    ServiceTable &m_services;
    EventLog &m_log;
    Metrics &m_metrics;
    std::shared_ptr<NodeKeys> m_keys;
    mutable std::mutex m_mutex;
    bool m_leaving = false;
    std::map<std::string, Entry> m_entries;
};

}
