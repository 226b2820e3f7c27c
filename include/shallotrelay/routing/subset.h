/// Which targets of a service a node prefers, so that what it spends does not grow with the deployment.
///
/// The load pattern: with hundreds of nodes and targets, telling each target's load to each node costs datagrams by the
/// square of the size, or is told so rarely that it is worthless. Each node prefers a few targets, near ones first, and
/// only it is told their load. Rendezvous hashing spreads the preferences: each target is preferred by about as many
/// nodes as any other, and a target that comes or goes changes the preferences of few nodes, by one target each.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace shallotrelay
{

/// How many targets a node prefers.
struct SubsetSize {
    std::size_t near = 6; ///< In its own data centre; more gather nodes at the same targets (docs/DECISIONS.md).
    std::size_t far = 4; ///< Of all others, for when its own data centre is lost or full.
};

/// A target that may take work.
struct SubsetTarget {
    std::string name; ///< Name, unique in the service.
    std::string dataCentre; ///< Data centre of its VM.
};

/// Returns the names of the targets that a node in a data centre prefers; all of them where there are few.
std::set<std::string> preferredTargets(const std::string &node, const std::string &dataCentre,
                                       const std::vector<SubsetTarget> &targets, const SubsetSize &size);

}
