#include "process/processes.h"

#include "net/httpserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

namespace shallotrelay
{
namespace
{

/// One control process that is the only voter, with its own data folder.
class LoneControl
{
public:
    explicit LoneControl(const std::string &trust = "unsigned")
        : m_peers(freeAddress())
        , m_operators(freeAddress())
        , m_metrics(freeAddress())
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
                                               m_peers.text(),
                                               "--operator-listen",
                                               m_operators.text(),
                                               "--metrics-listen",
                                               m_metrics.text(),
                                               "--control",
                                               m_operators.text(),
                                               "--data-folder",
                                               m_folder.path("data"),
                                               "--first-start",
                                               firstStart,
                                               "--trust",
                                               m_trust};
        process = std::make_unique<Process>(args, m_folder.path("control.log"));
    }

    HttpReply call(const std::string &method, const std::string &path, const std::string &body = "") const
    {
        const auto reply = blockingHttpCall(m_operators, {method, path, "", body}, 2s);
        return reply.value_or(HttpReply{0, "", ""});
    }

    /// Sends a call until it has a clear answer.
    HttpReply insist(const std::string &method, const std::string &path, const std::string &body = "") const
    {
        HttpReply reply;
        eventually([&] {
            reply = call(method, path, body);
            return reply.status != 0 && reply.status < 500;
        });
        return reply;
    }

    std::unique_ptr<Process> process;

private:
    WorkFolder m_folder;
    Address m_peers;
    Address m_operators;
    Address m_metrics;
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

TEST_CASE("An acknowledged state is read back after the process was killed")
{
    LoneControl control;
    REQUIRE(control.insist("PUT", "/config", stateOf(2, 0)).status == 200);
    REQUIRE(control.insist("PUT", "/config", stateOf(5, 2)).status == 200);
    control.process->signal(SIGKILL);
    control.process->wait();
    control.start("false");
    const HttpReply reply = control.insist("GET", "/config");
    REQUIRE(reply.status == 200);
    CHECK(nlohmann::json::parse(reply.body)["version"] == 5);
    CHECK(control.insist("PUT", "/config", stateOf(2, 0)).status == 200);
    CHECK(control.insist("PUT", "/config", stateOf(7, 2)).status == 412);
    CHECK(control.insist("PUT", "/config", stateOf(4, 5)).status == 400);
    CHECK(control.insist("PUT", "/config", "{\"version\":9").status == 400);
}

TEST_CASE("SIGHUP does not end a process")
{
    LoneControl control;
    REQUIRE(control.insist("PUT", "/config", stateOf(2, 0)).status == 200);
    control.process->signal(SIGHUP);
    control.process->signal(SIGHUP);
    CHECK(control.insist("GET", "/config").status == 200);
    CHECK(control.process->running());
    control.process->signal(SIGTERM);
    CHECK(control.process->wait() == 0);
}

TEST_CASE("Orders without signatures are taken only where the settings say so")
{
    LoneControl control("signed");
    CHECK(control.process->wait() == 2);
}

}
