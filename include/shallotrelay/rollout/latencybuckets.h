/// Buckets of latencies, so that a datagram can carry their distribution.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstddef>

namespace shallotrelay
{

/// Number of buckets; the last one has no upper bound.
inline constexpr std::size_t RolloutLatencyBuckets = 24;

/// Returns the bucket of a latency. The first one ends at 4 ms, and each further one at 1.4 times the one before.
std::size_t latencyBucketOf(Duration latency);

}
