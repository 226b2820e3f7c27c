/// Workspaces: the groups of callers that a bundle admits by key, with their rank and their quota.
///
/// A bundle lists its workspaces. Use checkWorkspaces() on each list, whichever format it was read from.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Maximum number of workspaces of a bundle.
inline constexpr std::size_t MaxWorkspaces = 65536;

/// Maximum number of keys of all workspaces of a bundle.
inline constexpr std::size_t MaxWorkspaceKeys = 262144;

/// Maximum length of the name of a workspace, in bytes.
inline constexpr std::size_t MaxWorkspaceNameBytes = 1024;

/// Maximum length of a key, in bytes.
inline constexpr std::size_t MaxKeyBytes = 4096;

/// Maximum priority number of a workspace or a route.
inline constexpr std::uint32_t MaxPriority = 1000;

/// Callers that share a set of keys and a quota.
struct Workspace {
    std::string name; ///< Name, unique within the bundle.
    std::vector<std::string> keys; ///< Keys of its callers; no other workspace has the same.
    std::optional<std::uint32_t> priority; ///< Priority, which goes before that of a route; 0, the highest, if unset.
    double requestsPerSecond = 0; ///< Quota in requests per second; 0 means that there is none.
    double burst = 0; ///< Requests beyond the rate that may be used at once.

    bool operator==(const Workspace &other) const = default;
};

/// Validates the workspaces of a bundle on their own and against each other. Returns an InvalidArgument error that
/// starts with the name of the workspace; it contains no key.
absl::Status checkWorkspaces(const std::vector<Workspace> &workspaces);

/// Returns the rank of a request, 0 for the most urgent one: the priority of the workspace goes before that of the
/// route. Without a workspace it is the priority of the route.
std::uint32_t rankOf(const Workspace *workspace, std::uint32_t routePriority);

/// Returns the part of a rank that is due to the workspace.
std::uint32_t workspacePriorityOf(std::uint32_t rank);

}
