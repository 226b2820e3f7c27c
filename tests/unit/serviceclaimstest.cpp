#include "shallotrelay/membership/serviceclaims.h"

#include <catch2/catch.hpp>

#include <string>

namespace shallotrelay
{
namespace
{

TargetHeartbeat heartbeatOf(const std::string &id)
{
    TargetHeartbeat out;
    out.id = id;
    return out;
}

}

TEST_CASE("An instance that comes up while the node runs gets requests only after it has named the service of the VM")
{
    ServiceClaims claims;
    claims.recordProbe("a");
    claims.record(heartbeatOf("a"), HeartbeatVerdict::Accepted);
    CHECK(claims.mayServe("a"));
    claims.recordProbe("b");
    CHECK_FALSE(claims.mayServe("b"));
    claims.record(heartbeatOf("b"), HeartbeatVerdict::OtherService);
    CHECK_FALSE(claims.mayServe("b"));
    claims.record(heartbeatOf("c"), HeartbeatVerdict::Accepted);
    CHECK(claims.mayServe("c"));
}

TEST_CASE("The instance that is there when the node starts gets requests until it names another service")
{
    ServiceClaims claims;
    CHECK_FALSE(claims.mayServe("a"));
    claims.recordProbe("a");
    CHECK(claims.mayServe("a"));
    claims.recordProbe("");
    claims.record(heartbeatOf("a"), HeartbeatVerdict::NoStartTime);
    CHECK(claims.mayServe("a"));
    claims.record(heartbeatOf("a"), HeartbeatVerdict::OtherService);
    CHECK_FALSE(claims.mayServe("a"));
}

TEST_CASE("An instance that comes up after the start of the node is not believed by a probe alone")
{
    ServiceClaims claims;
    claims.recordProbe("");
    claims.recordProbe("a");
    CHECK_FALSE(claims.mayServe("a"));
    CHECK_FALSE(claims.mayServe(""));
}

TEST_CASE("Another writer that names another service under the ID of a target does not stop its requests")
{
    ServiceClaims claims;
    claims.record(heartbeatOf("a"), HeartbeatVerdict::OtherService);
    claims.record(heartbeatOf("a"), HeartbeatVerdict::Accepted);
    for (int i = 0; i < 100; ++i) {
        claims.record(heartbeatOf("a"), HeartbeatVerdict::OtherService);
        claims.record(heartbeatOf("odd" + std::to_string(i)), HeartbeatVerdict::OtherService);
    }
    CHECK(claims.mayServe("a"));
}

}
