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
        const auto reply = blockingHttpCall(m_operatorAddress, {method, path, "", body}, 2s);
        return reply.value_or(HttpResponse{0, "", ""});
    }

    /// Repeats a call until it returns a status below 500 or the time of eventually() is over; returns the last reply.
    HttpResponse callUntilAnswered(const std::string &method, const std::string &path,
                                   const std::string &body = "") const
    {
        HttpResponse reply;
        eventually([&] {
            reply = call(method, path, body);
            return reply.status != 0 && reply.status < 500;
        });
        return reply;
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
    REQUIRE(control.callUntilAnswered("PUT", "/config", stateOf(2, 0)).status == 200);
    REQUIRE(control.callUntilAnswered("PUT", "/config", stateOf(5, 2)).status == 200);
    control.process->signal(SIGKILL);
    control.process->wait();
    control.start("false");
    const HttpResponse reply = control.callUntilAnswered("GET", "/config");
    REQUIRE(reply.status == 200);
    CHECK(nlohmann::json::parse(reply.body)["version"] == 5);
    CHECK(control.callUntilAnswered("PUT", "/config", stateOf(2, 0)).status == 200);
    CHECK(control.callUntilAnswered("PUT", "/config", stateOf(7, 2)).status == 412);
    CHECK(control.callUntilAnswered("PUT", "/config", stateOf(4, 5)).status == 400);
    CHECK(control.callUntilAnswered("PUT", "/config", "{\"version\":9").status == 400);
}

TEST_CASE("Control process keeps serving after SIGHUP and exits with status 0 after SIGTERM")
{
    SingleVoterControl control;
    REQUIRE(control.callUntilAnswered("PUT", "/config", stateOf(2, 0)).status == 200);
    control.process->signal(SIGHUP);
    control.process->signal(SIGHUP);
    CHECK(control.callUntilAnswered("GET", "/config").status == 200);
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
