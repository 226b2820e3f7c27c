#include "shallotrelay/rollout/latencybuckets.h"

namespace shallotrelay
{
namespace
{

constexpr double FirstBucketSeconds = 0.004;
constexpr double BucketFactor = 1.4;

}

std::size_t latencyBucketOf(Duration latency)
{
    double upper = FirstBucketSeconds;
    std::size_t out = 0;
    while (out + 1 < RolloutLatencyBuckets && toSeconds(latency) > upper) {
        upper *= BucketFactor;
        ++out;
    }
    return out;
}

}
