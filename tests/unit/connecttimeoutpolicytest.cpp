#include "support.h"

#include "shallotrelay/membership/connecttimeoutpolicy.h"

#include <catch2/catch.hpp>

using namespace shallotrelay;

TEST_CASE("Connect timeouts are at most 250 ms during the first 400 ms so that a VM that starts late is reached soon")
{
    ConnectTimeoutPolicy policy;
    Duration waited{};
    while (waited < 400ms) {
        const Duration timeout = policy.nextTimeout();
        CHECK(timeout <= 250ms);
        waited += timeout;
    }
}

TEST_CASE("Connect timeouts grow to between one and two seconds and are short again after a connection")
{
    ConnectTimeoutPolicy policy;
    Duration longest{};
    for (int i = 0; i < 15; ++i) {
        const Duration timeout = policy.nextTimeout();
        CHECK(timeout >= longest);
        longest = timeout;
    }
    CHECK(longest >= 1s);
    CHECK(longest <= 2s);
    policy.reset();
    CHECK(policy.nextTimeout() <= 250ms);
}
