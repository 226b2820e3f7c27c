/// The directory of announced targets: soft state with leases that can be rebuilt from node reports alone.
///
/// A control VM keeps a Directory, passes node reports and the current time to it, and sends each node the changes
/// since the sequence that the node has applied. A node keeps a DirectoryView, which merges the updates of several
/// control VMs.
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

/// Returns the key of a target in the directory, FIRM/SERVICE/NAME.
std::string targetKey(const TargetRecord &record);

/// Returns whether a record is newer than another record of the same target, by incarnation, then sequence.
bool isNewer(const TargetRecord &record, const TargetRecord &other);

/// Lists the targets of all nodes that hold a lease, which each report renews.
class Directory
{
public:
    /// Sets the lease: the records of a node are removed once it has not reported for this long.
    explicit Directory(Duration lease);

    /// Applies the report of a node and returns whether the directory changed. Ignores a report of an earlier
    /// incarnation of the node.
    bool report(const NodeReport &report, TimePoint now);

    /// Removes the records of nodes whose lease has expired and returns whether the directory changed.
    bool expire(TimePoint now);

    /// Returns an update from the given sequence to the current one: the changes if they are retained, otherwise the
    /// full state. Sequence 0 always gives the full state.
    DirectoryUpdate updateSince(std::uint64_t sequence) const;

    /// Returns the current sequence, which increases with each change.
    std::uint64_t sequence() const;

    /// Returns the number of listed targets.
    std::size_t size() const;

private:
    struct Listing {
        TargetRecord record;
        std::string node;
    };
    struct NodeLease {
        std::uint64_t incarnation = 0;
        TimePoint lastReport;
        std::set<std::string> keys; // of its targets, so that applying a report need not scan all listings
    };
    struct Change {
        std::uint64_t sequence = 0;
        std::string key;
    };

    bool put(const TargetRecord &record, const std::string &node);
    bool removeMissing(const NodeReport &report);
    bool removeNode(const std::string &node);
    void recordChange(const std::string &key);

    Duration m_lease;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Listing> m_listings;
    std::map<std::string, NodeLease> m_nodes;
    std::deque<Change> m_changes;
};

/// Merges the directories of several control VMs into the view of one node.
class DirectoryView
{
public:
    /// Applies an update of a control VM and returns whether targets() changed; `source` is any unique identifier of
    /// the control VM. Control VMs send the same records, so most updates change nothing; the cost grows with the
    /// size of the update, not with the number of targets.
    bool apply(const std::string &source, const DirectoryUpdate &update);

    /// Removes all records of a control VM and returns whether targets() changed.
    bool drop(const std::string &source);

    /// Returns the last sequence applied from a control VM, 0 if none.
    std::uint64_t sequenceOf(const std::string &source) const;

    /// Returns the newest record of each target that at least one control VM lists.
    std::vector<TargetRecord> targets() const;

private:
    struct Source {
        std::uint64_t sequence = 0;
        std::map<std::string, TargetRecord> records;
    };

    bool updateNewest(const std::set<std::string> &keys);

    std::map<std::string, Source> m_sources;
    std::map<std::string, TargetRecord> m_newest; // of all sources, by key
};

}
