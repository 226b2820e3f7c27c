#include "shallotrelay/admission/pipelinewindow.h"

#include <catch2/catch.hpp>

using namespace shallotrelay;

TEST_CASE("Pipelining: requests are read while others run until the limit of the connection is reached")
{
    const PipelineLimits limits{3, 100};
    CHECK(mayReadPipelined(limits, {0, 0, false}));
    CHECK(mayReadPipelined(limits, {2, 1, false}));
    CHECK_FALSE(mayReadPipelined(limits, {3, 2, false}));
}

TEST_CASE("Pipelining: connections share the limit of the node and each may still have one request")
{
    const PipelineLimits limits{16, 8};
    CHECK(mayReadPipelined(limits, {1, 7, false}));
    CHECK_FALSE(mayReadPipelined(limits, {1, 8, false}));
    CHECK(mayReadPipelined(limits, {0, 8, false}));
}

TEST_CASE("Pipelining: nothing is read after a request that closes the connection")
{
    CHECK_FALSE(mayReadPipelined({}, {0, 0, true}));
    CHECK_FALSE(mayReadPipelined({}, {1, 0, true}));
}

TEST_CASE("Pipelining: a request that must not run twice starts only after all earlier responses are complete")
{
    CHECK(mayStartPipelined({1, 0, false}, true));
    CHECK_FALSE(mayStartPipelined({1, 0, false}, false));
    CHECK(mayStartPipelined({0, 0, false}, false));
}

TEST_CASE("Replay: a slow request delays the start of pipelined requests behind it only while the window is full")
{
    // Sixteen reads are pipelined and the first takes 1 s; served one after the other, all others would start after it.
    const PipelineLimits limits;
    std::size_t started = 0;
    while (started < 100 && mayReadPipelined(limits, {started, started == 0 ? 0 : started - 1, false})
           && mayStartPipelined({started, 0, false}, true)) {
        ++started;
    }
    CHECK(started == limits.perConnection);
    CHECK(started >= 16);
}
