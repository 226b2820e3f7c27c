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

TEST_CASE("Control process exits with status 2 if trust is not set to unsigned")
{
    // Operators do not sign their orders, so accepting them has to be enabled with --trust unsigned.
    SingleVoterControl control("signed");
    CHECK(control.process->wait() == 2);
}

}
