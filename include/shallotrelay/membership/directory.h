/// The directory of announced targets: soft state with leases, rebuilt from announcements alone.
///
/// A control VM keeps a Directory. It feeds node reports and the time to it, and sends each node what changed since the
/// sequence that the node has. A node keeps a DirectoryView, which merges what several control VMs tell it.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Returns FIRM/SERVICE/NAME, which identifies a target in the directory.
std::string targetKey(const TargetRecord &record);

/// Returns whether a record is newer than another one of the same target.
bool isNewer(const TargetRecord &record, const TargetRecord &other);

/// Lists the targets that live nodes report.
class Directory
{
public:
    /// Records are dropped when their node did not report for the lease.
    explicit Directory(Duration lease);

    /// Takes in the report of a node and returns whether the directory changed.
    bool report(const NodeReport &report, TimePoint now);

    /// Drops the records of nodes whose lease ended and returns whether the directory changed.
    bool expire(TimePoint now);

    /// Returns what changed since the sequence: the changes if they are still known, else the full state.
    DirectoryUpdate updateSince(std::uint64_t sequence) const;

    /// Returns the present sequence, which rises with each change.
    std::uint64_t sequence() const;

    /// Returns how many targets are listed.
    std::size_t size() const;

private:
    struct Listing {
        TargetRecord record;
        std::string node;
    };
    struct NodeLease {
        std::uint64_t incarnation = 0;
        TimePoint lastReport;
        std::set<std::string> keys; // of its targets, so that a report does not look at all listings
    };
    struct Change {
        std::uint64_t sequence = 0;
        std::string key;
    };

    bool put(const TargetRecord &record, const std::string &node);
    bool removeMissing(const NodeReport &report);
    bool removeNode(const std::string &node);
    void noteChange(const std::string &key);

    Duration m_lease;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Listing> m_listings;
    std::map<std::string, NodeLease> m_nodes;
    std::deque<Change> m_changes;
};

/// Merges the directories of several control VMs as one node sees them.
class DirectoryView
{
public:
    /// Takes in an update of a control VM, which is named by any text that identifies it; returns whether targets()
    /// changed. Several control VMs tell the same, so most updates change nothing; the cost grows with the update, not
    /// with the number of targets.
    bool apply(const std::string &source, const DirectoryUpdate &update);

    /// Forgets what a control VM told; returns whether targets() changed.
    bool drop(const std::string &source);

    /// Returns the sequence that was applied from a control VM, 0 if none.
    std::uint64_t sequenceOf(const std::string &source) const;

    /// Returns the newest record of each target that a control VM lists.
    std::vector<TargetRecord> targets() const;

private:
    struct Source {
        std::uint64_t sequence = 0;
        std::map<std::string, TargetRecord> records;
    };

    bool renew(const std::set<std::string> &keys);

    std::map<std::string, Source> m_sources;
    std::map<std::string, TargetRecord> m_newest; // of all sources, by key
};

}
