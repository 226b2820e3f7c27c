#include "shallotrelay/membership/heartbeatcheck.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

constexpr const char *TargetAddress = "127.0.0.1:7080";

TargetHeartbeat heartbeatOf(const std::string &id, std::uint64_t born, std::uint64_t sequence)
{
    TargetHeartbeat out;
    out.id = id;
    out.service = "redactie";
    out.address = "127.0.0.1:7080";
    out.slots = 12;
    out.startedAtMs = born;
    out.sequence = sequence;
    return out;
}

}

TEST_CASE("Heartbeat check refuses entries of another service or address and believes the others")
{
    HeartbeatCheck check({"redactie", TargetAddress});
    CHECK(check.check(heartbeatOf("a", 1000, 1)) == HeartbeatVerdict::Accepted);
    TargetHeartbeat odd = heartbeatOf("b", 2000, 1);
    odd.service = "qo77nd1";
    CHECK(check.check(odd) == HeartbeatVerdict::OtherService);
    odd = heartbeatOf("b", 2000, 1);
    odd.address = "127.0.0.1:1";
    CHECK(check.check(odd) == HeartbeatVerdict::OtherAddress);
    CHECK(HeartbeatCheck({"", ""}).check(odd) == HeartbeatVerdict::Accepted);
}

// Guards against an entry without a start time that revives a target that is leaving.
TEST_CASE("Heartbeat check refuses an entry without a start time once targets have stated theirs")
{
    HeartbeatCheck check({"redactie", TargetAddress});
    CHECK(check.check(heartbeatOf("a", 0, 1)) == HeartbeatVerdict::Accepted);
    CHECK(check.check(heartbeatOf("a", 1000, 2)) == HeartbeatVerdict::Accepted);
    CHECK(check.check(heartbeatOf("a", 0, 3)) == HeartbeatVerdict::NoStartTime);
}

}
