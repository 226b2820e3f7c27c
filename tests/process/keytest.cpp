#include "process/processes.h"
#include "support.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <thread>

using namespace shallotrelay;

namespace
{

/// A deployment of two nodes with one target each.
struct TwoNodeDeployment {
    TwoNodeDeployment()
        : first(deployment.addNode("brasov-a"))
        , second(deployment.addNode("brasov-b"))
    {
        deployment.addTarget(first, "redactie-1");
        deployment.addTarget(second, "redactie-2");
        REQUIRE(deployment.roll().status == 200);
        REQUIRE(deployment.ready(2));
    }

    /// Returns the number of executions of requests with a key at both targets.
    int executionCount(const std::string &key) const
    {
        int n = 0;
        for (const char *it : {"redactie-1.journal", "redactie-2.journal"}) {
            std::ifstream in(deployment.path(it));
            for (std::string line; std::getline(in, line);) {
                n += line.rfind(key + " ", 0) == 0 ? 1 : 0;
            }
        }
        return n;
    }

    Deployment deployment;
    NodeProcess &first;
    NodeProcess &second;
};

}

TEST_CASE("A save resent with its idempotency key through another node runs once and returns the same response")
{
    TwoNodeDeployment system;
    for (int i = 0; i < 10; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const HttpResponse firstResponse = system.deployment.save(system.first, key, "mix");
        const HttpResponse secondResponse = system.deployment.save(system.second, key, "mix");
        CHECK(firstResponse.status == 200);
        CHECK(secondResponse.status == 200);
        CHECK(firstResponse.body == secondResponse.body);
        CHECK(system.executionCount(key) == 1);
    }
    CHECK(system.deployment.save(system.first, "key-0", "another mix").status == 422);
}

TEST_CASE("Concurrent saves with the same idempotency key through both nodes run once and all succeed")
{
    TwoNodeDeployment system;
    std::atomic<int> succeeded = 0;
    std::vector<std::thread> callers;
    callers.reserve(16);
    for (int i = 0; i < 16; ++i) {
        callers.emplace_back([&, i] {
            const NodeProcess &node = i % 2 == 0 ? system.first : system.second;
            succeeded += system.deployment.save(node, "same", "mix", "?work_ms=200").status == 200 ? 1 : 0;
        });
    }
    for (std::thread &it : callers) {
        it.join();
    }
    CHECK(succeeded == 16);
    CHECK(system.executionCount("same") == 1);
}

TEST_CASE("A save whose caller disconnects completes and its response is returned to a resend")
{
    TwoNodeDeployment system;
    const std::string request
        = "POST /s/tipar/redactie/save?work_ms=300 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: gone\r\n"
          "Content-Length: 3\r\n\r\nmix";
    rawExchange(system.first.callers, request, 50ms);
    const HttpResponse resent = system.deployment.save(system.second, "gone", "mix", "?work_ms=300");
    CHECK(resent.status == 200);
    CHECK(system.executionCount("gone") == 1);
}

TEST_CASE("A save resent after both nodes were killed reports execution unknown and does not run again")
{
    TwoNodeDeployment system;
    REQUIRE(system.deployment.save(system.first, "lost", "mix").status == 200);
    REQUIRE(system.executionCount("lost") == 1);
    for (NodeProcess *it : {&system.first, &system.second}) {
        it->process->signal(SIGKILL);
        it->process->wait();
        system.deployment.restart(*it);
    }
    REQUIRE(system.deployment.ready(2));
    const HttpResponse resent = system.deployment.save(system.second, "lost", "mix");
    CHECK(resent.status == 502);
    CHECK(resent.body.find("\"execution\":\"unknown\"") != std::string::npos);
    CHECK(system.executionCount("lost") == 1);
}

TEST_CASE("A save with an idempotency key reports execution unknown while the control VM is down and runs once after "
          "its restart")
{
    TwoNodeDeployment system;
    system.deployment.control->signal(SIGKILL);
    system.deployment.control->wait();
    const auto isUnknown = [&] {
        const HttpResponse response = system.deployment.save(system.first, "wait", "mix");
        return response.status == 503 && response.body.find("\"execution\":\"unknown\"") != std::string::npos;
    };
    CHECK(eventually(isUnknown));
    CHECK(system.executionCount("wait") == 0);
    system.deployment.startControl();
    CHECK(eventually([&] { return system.deployment.save(system.second, "wait", "mix").status == 200; }));
    CHECK(system.executionCount("wait") == 1);
}

TEST_CASE("A save with an idempotency key and a body above the size limit is rejected as not run")
{
    TwoNodeDeployment system;
    const HttpResponse response = system.deployment.save(system.first, "large", std::string(300000, 'x'));
    CHECK(response.status == 413);
    CHECK(response.body.find("\"execution\":\"not-run\"") != std::string::npos);
    CHECK(system.executionCount("large") == 0);
}
