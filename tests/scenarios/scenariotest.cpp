#include "scenarios/script.h"

#include <catch2/catch.hpp>

using namespace shallotrelay;

namespace
{

/// Invariants of every scenario: no target exceeds its in-flight limit, no non-idempotent request runs twice, no
/// request that ran is reported as not run, taking a data centre out of service interrupts no request and takes effect
/// within 4 s, and every request gets a response.
constexpr const char *Invariants = "expect limit_exceeded == 0\n"
                                   "expect double_runs == 0\n"
                                   "expect false_not_run == 0\n"
                                   "expect cut_answers == 0\n"
                                   "expect late_starts == 0\n"
                                   "expect unanswered == 0\n";

Script scriptOf(const std::string &text)
{
    const auto script = parseScript(text + Invariants);
    INFO(std::string(script.status().message()));
    REQUIRE(script.ok());
    return *script;
}

/// Checks that the script passes under the policy Ours and fails under Naive, which shows that the expectations are
/// strict enough.
void checkScenario(const std::string &text)
{
    const Script script = scriptOf(text);
    const std::vector<std::string> ours = unmetExpectations(script, runScript(script, SimulationPolicy::Ours));
    const std::vector<std::string> naive = unmetExpectations(script, runScript(script, SimulationPolicy::Naive));
    for (const std::string &it : naive) {
        UNSCOPED_INFO("naive: " + it);
    }
    CAPTURE(ours);
    CHECK(ours.empty());
    CHECK_FALSE(naive.empty());
}

}

TEST_CASE("Scenario: no target exceeds its in-flight limit at a steady load of 95 percent")
{
    for (const char *it : {"tipar", "consorcio"}) {
        checkScenario(std::string("deployment ") + it + "\nload 95%\nrun 10s\nexpect goodput >= 0.98\n");
    }
}

TEST_CASE("Scenario: a target in cold start stays within its cold limit")
{
    checkScenario("deployment tipar\nload 70%\nrun 10s\n"
                  "at 2s cold redactie-3\nat 5s cold redactie-3\nat 5s cold redactie-4\nexpect goodput >= 0.98\n");
    checkScenario("deployment consorcio\nload 70%\nrun 10s\nat 3s cold fichas-2\nexpect goodput >= 0.98\n");
}

TEST_CASE("Scenario: a target that fails fast does not attract traffic")
{
    checkScenario("deployment tipar\nload 60%\nrun 10s\nat 2s failfast redactie-2\nexpect goodput >= 0.995\n");
    checkScenario("deployment consorcio\nload 60%\nrun 10s\nat 2s failfast fichas-1\nexpect goodput >= 0.995\n");
}

TEST_CASE("Scenario: traffic moves away from a target that suddenly slows down")
{
    checkScenario("deployment tipar\nload 60%\nrun 10s\nat 2s slow redactie-1 x10\nexpect p99 <= 120\n");
    checkScenario("deployment consorcio\nload 60%\nrun 10s\nat 2s slow fichas-5 x10\nexpect p99 <= 120\n");
}

TEST_CASE("Scenario: a non-idempotent request whose response is lost runs once and is reported as unknown")
{
    checkScenario("deployment tipar\nload 30%\nrun 6s\nat 2s cut node-2 node-1\nat 4s heal node-2 node-1\n"
                  "expect unknown >= 1\n");
}

TEST_CASE("Scenario: a data centre taken out of service gets no new requests and completes those in flight")
{
    checkScenario("deployment tipar\nload 50%\nrun 14s\nat 2s out brasov-a\nat 9s in brasov-a\n"
                  "at 11s out brasov-a\nat 12s in brasov-a\nexpect worst_second >= 0.99\n");
    checkScenario("deployment consorcio\nload 50%\nrun 14s\nat 2s out salvador\nat 9s in salvador\n"
                  "expect worst_second >= 0.99\n");
}

TEST_CASE("Scenario: a leaving target gets no new requests and completes those in flight")
{
    checkScenario("deployment tipar\nload 60%\nrun 10s\nat 2s leave redactie-4\nat 6s return redactie-4\n"
                  "at 3s slow redactie-1 x5\nat 5s restore redactie-1\nexpect goodput >= 0.99\n");
}

TEST_CASE("Scenario: a load spike of factor 2 for 100 ms is served")
{
    checkScenario("deployment tipar\nload 80%\nrun 6s\nat 3s load x2\nat 3100ms load x1\nexpect goodput >= 0.98\n");
}

TEST_CASE("Script parser: an invalid statement is rejected with its line number")
{
    for (const char *it : {"at 5s dance redactie-1", "at soon slow redactie-1 x2", "expect beauty == 1",
                           "expect p99 < 5", "deployment lisbon", "at 5s cut node-1"}) {
        const auto script = parseScript(std::string("load 50%\n") + it);
        CAPTURE(it);
        CHECK(std::string(script.status().message()).rfind("line 2: ", 0) == 0);
    }
}

TEST_CASE("Script: a run is reproducible from its seed and from the printed text")
{
    const Script script = scriptOf("deployment tipar\nseed 5\nload 80%\nrun 2s\nat 1s cold redactie-1\n");
    const Script again = *parseScript(script.text());
    const SimulationResults a = runScript(script, SimulationPolicy::Ours);
    const SimulationResults b = runScript(again, SimulationPolicy::Ours);
    CHECK(a.latencies == b.latencies);
    CHECK(a.startsByTarget == b.startsByTarget);
}
