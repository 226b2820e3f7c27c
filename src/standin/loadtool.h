/// An open-loop load: requests start at fixed times whatever becomes of earlier ones, and latency counts from the
/// intended start, so that a stall shows in all requests that it delays.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/settings.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// What a load showed.
struct LoadResult {
    std::vector<Duration> latencies; ///< Of whole answers with a status below 500, in order of size.
    std::uint64_t failed = 0; ///< Requests without a whole answer.
    std::map<unsigned, std::uint64_t> statuses; ///< Whole answers by status.
    Duration elapsed{}; ///< Time from the first intended start to the last answer.

    /// Returns the latency that the share of requests does not exceed.
    Duration quantile(double share) const;
};

/// Runs a load on one thread until it is over.
LoadResult runLoad(const LoadSettings &settings);

}
