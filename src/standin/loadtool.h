/// Open-loop HTTP load generator: requests are scheduled at a fixed rate, independent of earlier responses. Use it to
/// measure latency under a given load. Latency counts from the scheduled start, so that a stall is included in the
/// latency of each request that it delays.
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

/// The result of a load test.
struct LoadResult {
    std::vector<Duration> latencies; ///< Latencies of complete responses with a status below 500, ascending.
    std::uint64_t failed = 0; ///< Requests without a complete response.
    std::map<unsigned, std::uint64_t> statuses; ///< Number of complete responses by status.
    Duration elapsed{}; ///< Time from the first scheduled start to the last response.

    /// Returns the latency that this share of the requests (0 to 1) does not exceed; zero if there are no latencies.
    Duration quantile(double share) const;
};

/// Runs a load test on the calling thread and returns its result at the end.
LoadResult runLoad(const LoadSettings &settings);

}
