#include "process/processes.h"

#include "net/httpserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

namespace shallotrelay
{
namespace
{

/// A control process that is the only voter of its cluster, with a data folder that survives restarts of the process.
class SingleVoterControl
{
public:
    explicit SingleVoterControl(const std::string &trust = "unsigned")
        : m_peerAddress(freeAddress())
        , m_operatorAddress(freeAddress())
        , m_metricsAddress(freeAddress())
        , m_trust(trust)
    {
        start("true");
    }

    void start(const std::string &firstStart)
    {
        const std::vector<std::string> args = {"platform-control",
                                               "--name",
                                               "c1",
                                               "--listen",
                                               m_peerAddress.text(),
                                               "--operator-listen",
                                               m_operatorAddress.text(),
                                               "--metrics-listen",
                                               m_metricsAddress.text(),
                                               "--control",
                                               m_operatorAddress.text(),
                                               "--data-folder",
                                               m_folder.path("data"),
                                               "--first-start",
                                               firstStart,
                                               "--trust",
                                               m_trust};
        process = std::make_unique<Process>(args, m_folder.path("control.log"));
    }

    HttpResponse call(const std::string &method, const std::string &path, const std::string &body = "") const
    {
        const auto response = blockingHttpCall(m_operatorAddress, {method, path, "", body}, 2s);
        return response.value_or(HttpResponse{0, "", ""});
    }

    /// Repeats a call until it returns a status below 500 or the time of eventually() is over; returns the last
    /// response.
    HttpResponse callWithRetries(const std::string &method, const std::string &path, const std::string &body = "") const
    {
        HttpResponse response;
        eventually([&] {
            response = call(method, path, body);
            return response.status != 0 && response.status < 500;
        });
        return response;
    }

    std::unique_ptr<Process> process;

private:
    TemporaryDirectory m_folder;
    Address m_peerAddress;
    Address m_operatorAddress;
    Address m_metricsAddress;
    std::string m_trust;
};

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
