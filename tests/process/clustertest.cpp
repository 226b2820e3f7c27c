#include "process/singlevotercontrol.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

namespace shallotrelay
{
namespace
{

std::string stateOf(int version, int base)
{
    const nlohmann::json state = {{"version", version},
                                  {"baseVersion", base},
                                  {"routes", nlohmann::json::array()},
                                  {"services", nlohmann::json::array()}};
    return state.dump();
}

}

TEST_CASE("Control process keeps an acknowledged intent across SIGKILL and checks new versions against it")
{
    SingleVoterControl control;
    REQUIRE(control.callWithRetries("PUT", "/config", stateOf(2, 0)).status == 200);
    REQUIRE(control.callWithRetries("PUT", "/config", stateOf(5, 2)).status == 200);
    control.process->signal(SIGKILL);
    control.process->wait();
    control.start("false");
    const HttpResponse response = control.callWithRetries("GET", "/config");
    REQUIRE(response.status == 200);
    CHECK(nlohmann::json::parse(response.body)["version"] == 5);
    CHECK(control.callWithRetries("PUT", "/config", stateOf(2, 0)).status == 200);
    CHECK(control.callWithRetries("PUT", "/config", stateOf(7, 2)).status == 412);
    CHECK(control.callWithRetries("PUT", "/config", stateOf(4, 5)).status == 400);
    CHECK(control.callWithRetries("PUT", "/config", "{\"version\":9").status == 400);
}

TEST_CASE("Control process keeps serving after SIGHUP and exits with status 0 after SIGTERM")
{
    SingleVoterControl control;
    REQUIRE(control.callWithRetries("PUT", "/config", stateOf(2, 0)).status == 200);
    control.process->signal(SIGHUP);
    control.process->signal(SIGHUP);
    CHECK(control.callWithRetries("GET", "/config").status == 200);
    CHECK(control.process->running());
    control.process->signal(SIGTERM);
    CHECK(control.process->wait() == 0);
}

// Guards against an order whose nesting exhausts the stack or the memory of each control VM that reads it.
TEST_CASE("Control process refuses deeply nested orders and orders with odd numbers and keeps running")
{
    SingleVoterControl control;
    REQUIRE(control.callWithRetries("PUT", "/config", stateOf(2, 0)).status == 200);
    constexpr std::size_t Depth = 1000 * 1000;
    const std::string deep = std::string(Depth, '[') + std::string(Depth, ']');
    std::string odd = stateOf(3, 2);
    odd.back() = ',';
    for (const std::string &body :
         {deep, odd + "\"x\":" + deep + "}", std::string(3 * Depth, '['), odd + "\"version\":1e999}",
          odd + "\"baseVersion\":-1}", std::string("{\"version\":18446744073709551616,\"baseVersion\":2}")}) {
        CHECK(control.call("PUT", "/config", body).status == 400);
        CHECK(control.call("PATCH", "/config", body).status == 400);
    }
    constexpr std::uint64_t MaxResidentBytes = 64 * 1024 * 1024;
    CHECK(control.process->peakResidentBytes() < MaxResidentBytes);
    CHECK(control.process->running());
    CHECK(control.callWithRetries("PUT", "/config", stateOf(3, 2)).status == 200);
}

TEST_CASE("Control process exits with status 2 if trust is not set to unsigned")
{
    // Operators do not sign their orders, so accepting them has to be enabled with --trust unsigned.
    SingleVoterControl control("signed");
    CHECK(control.process->wait() == 2);
}

}
