#include "shallotrelay/admission/aheadwindow.h"

#include <catch2/catch.hpp>

using namespace shallotrelay;

TEST_CASE("Pipelining: requests are read while others run until the limit of the connection is reached")
{
    const AheadBounds limits{3, 100};
    CHECK(mayReadAhead(limits, {0, 0, false}));
    CHECK(mayReadAhead(limits, {2, 1, false}));
    CHECK_FALSE(mayReadAhead(limits, {3, 2, false}));
}

TEST_CASE("Pipelining: connections share the limit of the node and each may still have one request")
{
    const AheadBounds limits{16, 8};
    CHECK(mayReadAhead(limits, {1, 7, false}));
    CHECK_FALSE(mayReadAhead(limits, {1, 8, false}));
    CHECK(mayReadAhead(limits, {0, 8, false}));
}

TEST_CASE("Pipelining: nothing is read after a request that closes the connection")
{
    CHECK_FALSE(mayReadAhead({}, {0, 0, true}));
    CHECK_FALSE(mayReadAhead({}, {1, 0, true}));
}

TEST_CASE("Pipelining: a request that must not run twice starts only after all earlier responses are complete")
{
    CHECK(mayStartAhead({1, 0, false}, true));
    CHECK_FALSE(mayStartAhead({1, 0, false}, false));
    CHECK(mayStartAhead({0, 0, false}, false));
}

TEST_CASE("Replay: a slow request delays the start of pipelined requests behind it only while the window is full")
{
    // Sixteen reads are pipelined and the first takes 1 s; served one after the other, all others would start after it.
    const AheadBounds limits;
    std::size_t started = 0;
    while (started < 100 && mayReadAhead(limits, {started, started == 0 ? 0 : started - 1, false})
           && mayStartAhead({started, 0, false}, true)) {
        ++started;
    }
    CHECK(started == limits.perConnection);
    CHECK(started >= 16);
}
