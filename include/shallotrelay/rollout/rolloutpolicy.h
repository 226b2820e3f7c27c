/// Bounds that a deployment sets for roll-outs.
#pragma once

#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// What a version under trial may receive, and how fast it must be withdrawn.
struct RolloutPolicy {
    double share = 0; ///< Maximum share of the requests of the service, from 0 to 1; 0 takes no orders of roll-outs.
    double slack = 0; ///< Number of requests in addition to the share.
    Duration rollbackTime{}; ///< Time within which no node sends requests to a version that was found to be bad.
};

}
