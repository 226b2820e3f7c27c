/// Quota of a workspace: the requests that may begin at all nodes together.
#pragma once

#include "shallotrelay/bundle/workspace.h"

#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Limits the requests of a workspace to a rate with a burst.
struct QuotaPolicy {
    double requestsPerSecond = 0; ///< Sustained rate; 0 means no limit, whatever the burst.
    double burst = 0; ///< Number of requests that may begin at once after a pause.

    bool operator==(const QuotaPolicy &other) const = default;

    /// Whether the policy limits requests.
    bool isLimited() const;

    /// Returns the size of the token bucket, which a small rate or burst doesn't make useless.
    double bucketSize() const;
};

/// Quotas by name of the workspace.
using QuotaPolicies = std::map<std::string, QuotaPolicy>;

/// Returns the quotas of the workspaces that have one.
QuotaPolicies quotasOf(const std::vector<Workspace> &workspaces);

}
