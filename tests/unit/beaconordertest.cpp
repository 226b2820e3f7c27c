#include "support.h"

#include "shallotrelay/membership/beaconorder.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

LoadBeacon beaconOf(std::uint64_t incarnation, std::uint64_t sequence)
{
    LoadBeacon out;
    out.target = "i-1";
    out.incarnation = incarnation;
    out.sequence = sequence;
    return out;
}

}

TEST_CASE("Beacons of one incarnation are accepted in the order of their sequence")
{
    BeaconOrder order;
    CHECK(order.accept(beaconOf(5, 2), at(0s)));
    CHECK_FALSE(order.accept(beaconOf(5, 2), at(1s)));
    CHECK_FALSE(order.accept(beaconOf(5, 1), at(10s)));
    CHECK(order.accept(beaconOf(6, 1), at(10s)));
    CHECK_FALSE(order.accept(beaconOf(5, 3), at(11s)));
}

// Guards against a node whose load is ignored for good after its clock was set back before its restart.
TEST_CASE("Beacons of a restarted node with a smaller incarnation are accepted after a short silence")
{
    BeaconOrder order;
    CHECK(order.accept(beaconOf(5000, 80), at(0s)));
    CHECK_FALSE(order.accept(beaconOf(3000, 1), at(1s)));
    CHECK(order.accept(beaconOf(3000, 2), at(2100ms)));
    CHECK(order.accept(beaconOf(3000, 3), at(2200ms)));
    order.expire(at(30s));
    CHECK_FALSE(order.accept(beaconOf(3000, 3), at(30s)));
    order.expire(at(70s));
    CHECK(order.accept(beaconOf(1, 1), at(70s)));
}

}
