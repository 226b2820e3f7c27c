/// Subsetting: selects the targets of a service that a node prefers, so that its cost does not grow with the
/// deployment.
///
/// With hundreds of nodes and targets, sending the load of every target to every node needs a number of datagrams that
/// grows with the square of the deployment, or reports that are too rare to be useful. Each node therefore prefers a
/// few targets, most of them in its own data centre, and subscribes only to their load reports. Rendezvous hashing
/// gives each target about the same number of nodes that prefer it; adding or removing a target changes the subsets of
/// few nodes, by one target each.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Number of targets that a node prefers.
struct SubsetSize {
    /// In the data centre of the node; more make too many nodes choose the same targets (docs/DECISIONS.md).
    std::size_t near = 6;
    /// Among all other targets, for when the data centre of the node is lost or full.
    std::size_t far = 4;
};

/// A target that accepts requests.
struct SubsetTarget {
    std::string name; ///< Name, unique within the service.
    std::string dataCentre; ///< Data centre of its VM.
};

/// Returns the names of the targets that a node prefers: all of them if there are no more than the subset size.
std::set<std::string> preferredTargets(const std::string &node, const std::string &dataCentre,
                                       const std::vector<SubsetTarget> &targets, const SubsetSize &size);

}
