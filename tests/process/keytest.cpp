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

/// Two nodes with a target each.
struct TwoTargets {
    TwoTargets()
        : first(deployment.addNode("brasov-a"))
        , second(deployment.addNode("brasov-b"))
    {
        deployment.addTarget(first, "redactie-1");
        deployment.addTarget(second, "redactie-2");
        REQUIRE(deployment.roll().status == 200);
        REQUIRE(deployment.ready(2));
    }

    /// Returns how often requests with a key ran at both targets.
    int runs(const std::string &key) const
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

TEST_CASE("A save that is sent again with its key through any node runs once and gets the same answer")
{
    TwoTargets system;
    for (int i = 0; i < 10; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const HttpReply one = system.deployment.save(system.first, key, "mix");
        const HttpReply two = system.deployment.save(system.second, key, "mix");
        CHECK(one.status == 200);
        CHECK(two.status == 200);
        CHECK(one.body == two.body);
        CHECK(system.runs(key) == 1);
    }
    CHECK(system.deployment.save(system.first, "key-0", "another mix").status == 422);
}

TEST_CASE("Saves with one key at the same time through both nodes run once")
{
    TwoTargets system;
    std::atomic<int> right = 0;
    std::vector<std::thread> callers;
    callers.reserve(16);
    for (int i = 0; i < 16; ++i) {
        callers.emplace_back([&, i] {
            const NodeProcess &node = i % 2 == 0 ? system.first : system.second;
            right += system.deployment.save(node, "same", "mix", "?work_ms=200").status == 200 ? 1 : 0;
        });
    }
    for (std::thread &it : callers) {
        it.join();
    }
    CHECK(right == 16);
    CHECK(system.runs("same") == 1);
}

TEST_CASE("A save whose caller has gone runs on, and its answer is kept for the resend")
{
    TwoTargets system;
    const std::string request
        = "POST /s/tipar/redactie/save?work_ms=300 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: gone\r\n"
          "Content-Length: 3\r\n\r\nmix";
    rawExchange(system.first.callers, request, 50ms);
    const HttpReply again = system.deployment.save(system.second, "gone", "mix", "?work_ms=300");
    CHECK(again.status == 200);
    CHECK(system.runs("gone") == 1);
}

TEST_CASE("After a kill of the node that ran a save its resend is answered unknown and does not run")
{
    TwoTargets system;
    REQUIRE(system.deployment.save(system.first, "lost", "mix").status == 200);
    REQUIRE(system.runs("lost") == 1);
    for (NodeProcess *it : {&system.first, &system.second}) {
        it->process->signal(SIGKILL);
        it->process->wait();
        system.deployment.restart(*it);
    }
    REQUIRE(system.deployment.ready(2));
    const HttpReply again = system.deployment.save(system.second, "lost", "mix");
    CHECK(again.status == 502);
    CHECK(again.body.find("\"execution\":\"unknown\"") != std::string::npos);
    CHECK(system.runs("lost") == 1);
}

TEST_CASE(
    "Without a control VM a save with a key does not run and is answered unknown, and runs once when control is back")
{
    TwoTargets system;
    system.deployment.control->signal(SIGKILL);
    system.deployment.control->wait();
    const auto refused = [&] {
        const HttpReply reply = system.deployment.save(system.first, "wait", "mix");
        return reply.status == 503 && reply.body.find("\"execution\":\"unknown\"") != std::string::npos;
    };
    CHECK(eventually(refused));
    CHECK(system.runs("wait") == 0);
    system.deployment.startControl();
    CHECK(eventually([&] { return system.deployment.save(system.second, "wait", "mix").status == 200; }));
    CHECK(system.runs("wait") == 1);
}

TEST_CASE("A save with a key and a body that is too large to be held is refused as not run")
{
    TwoTargets system;
    const HttpReply reply = system.deployment.save(system.first, "large", std::string(300000, 'x'));
    CHECK(reply.status == 413);
    CHECK(reply.body.find("\"execution\":\"not-run\"") != std::string::npos);
    CHECK(system.runs("large") == 0);
}
