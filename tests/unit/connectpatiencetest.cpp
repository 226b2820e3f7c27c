#include "support.h"

#include "shallotrelay/membership/connectpatience.h"

#include <catch2/catch.hpp>

using namespace shallotrelay;

TEST_CASE("Attempts to reach a VM that starts late are short: it is found a quarter of a second after it is up")
{
    ConnectPatience patience;
    Duration waited{};
    while (waited < 400ms) {
        const Duration timeout = patience.next();
        CHECK(timeout <= 250ms);
        waited += timeout;
    }
}

TEST_CASE("Attempts grow until a slow network is borne, and are short again after a connection")
{
    ConnectPatience patience;
    Duration longest{};
    for (int i = 0; i < 15; ++i) {
        const Duration timeout = patience.next();
        CHECK(timeout >= longest);
        longest = timeout;
    }
    CHECK(longest >= 1s);
    CHECK(longest <= 2s);
    patience.succeeded();
    CHECK(patience.next() <= 250ms);
}
