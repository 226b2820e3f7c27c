#include "shallotrelay/admission/aheadwindow.h"

#include <catch2/catch.hpp>

using namespace shallotrelay;

TEST_CASE("A connection is read on while requests run, up to its bound")
{
    const AheadBounds bounds{3, 100};
    CHECK(mayReadAhead(bounds, {0, 0, false}));
    CHECK(mayReadAhead(bounds, {2, 1, false}));
    CHECK_FALSE(mayReadAhead(bounds, {3, 2, false}));
}

TEST_CASE("Many connections that send ahead share the bound of the node, and each still has one request")
{
    const AheadBounds bounds{16, 8};
    CHECK(mayReadAhead(bounds, {1, 7, false}));
    CHECK_FALSE(mayReadAhead(bounds, {1, 8, false}));
    CHECK(mayReadAhead(bounds, {0, 8, false}));
}

TEST_CASE("Nothing is read after a request with which the connection ends")
{
    CHECK_FALSE(mayReadAhead({}, {0, 0, true}));
    CHECK_FALSE(mayReadAhead({}, {1, 0, true}));
}

TEST_CASE("A request that must not run twice starts when all before it are answered")
{
    CHECK(mayStartAhead({1, 0, false}, true));
    CHECK_FALSE(mayStartAhead({1, 0, false}, false));
    CHECK(mayStartAhead({0, 0, false}, false));
}

TEST_CASE("Replay: one slow request ahead of quick ones delays their start only while the window is full")
{
    // Sixteen reads are sent at once and the first takes 1 s; served one after the other the last would start after it.
    const AheadBounds bounds;
    std::size_t started = 0;
    while (started < 100 && mayReadAhead(bounds, {started, started == 0 ? 0 : started - 1, false})
           && mayStartAhead({started, 0, false}, true)) {
        ++started;
    }
    CHECK(started == bounds.perConnection);
    CHECK(started >= 16);
}
