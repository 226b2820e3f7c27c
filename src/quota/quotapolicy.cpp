#include "shallotrelay/quota/quotapolicy.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Requests of this time fit into the bucket, because credits travel in batches.
constexpr double MinBucketSeconds = 0.2;

}

bool QuotaPolicy::isLimited() const
{
    return requestsPerSecond > 0;
}

double QuotaPolicy::bucketSize() const
{
    return std::max({1.0, burst, requestsPerSecond * MinBucketSeconds});
}

QuotaPolicies quotasOf(const std::vector<Workspace> &workspaces)
{
    QuotaPolicies out;
    for (const Workspace &it : workspaces) {
        if (const QuotaPolicy policy{it.requestsPerSecond, it.burst}; policy.isLimited()) {
            out[it.name] = policy;
        }
    }
    return out;
}

}
