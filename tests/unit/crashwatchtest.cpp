#include "shallotrelay/containment/crashwatch.h"
#include "shallotrelay/containment/requestprint.h"
#include "support.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

RequestHead readOf(const std::string &path)
{
    RequestHead head;
    head.method = "GET";
    head.path = path;
    head.callerService = "redactie";
    return head;
}

WatchedRun runOf(std::uint64_t print)
{
    return {{print, print, print}, "r" + std::to_string(print)};
}

}

TEST_CASE("Attempts with other ids and fields have the same print")
{
    RequestHead first = readOf("/a/1?x=2");
    RequestHead second = first;
    first.requestId = "one";
    second.requestId = "two";
    second.headers.push_back({"Accept", "*/*"});
    RequestPrinter a(first);
    RequestPrinter b(second);
    a.addBody("whole body");
    b.addBody("whole ");
    b.addBody("body");
    CHECK(a.print().whole == b.print().whole);
    CHECK(a.print().head == b.print().head);
}

TEST_CASE("Another path, method, caller or body gives another print")
{
    const RequestHead read = readOf("/a/1");
    RequestHead write = read;
    write.method = "POST";
    RequestHead stranger = read;
    stranger.callerService = "arhiva";
    CHECK(printOfHead(read) != printOfHead(readOf("/a/2")));
    CHECK(printOfHead(read) != printOfHead(write));
    CHECK(RequestPrinter(read).print().whole == RequestPrinter(stranger).print().whole);
    CHECK(RequestPrinter(read).print().byCaller != RequestPrinter(stranger).print().byCaller);
    RequestPrinter one(write);
    RequestPrinter other(write);
    one.addBody("1");
    other.addBody("2");
    CHECK(one.print().whole != other.print().whole);
    CHECK(one.print().head == other.print().head);
}

TEST_CASE("Only the first part of a long body counts for a print")
{
    RequestPrinter a(readOf("/a"));
    RequestPrinter b(readOf("/a"));
    a.addBody(std::string(PrintedBodyBytes, 'x'));
    b.addBody(std::string(PrintedBodyBytes, 'x') + "more");
    CHECK(a.print().whole == b.print().whole);
}

TEST_CASE("A connection that is cut off is no crash while the same start answers")
{
    CrashWatch watch;
    watch.started(1, runOf(1), at(0ms));
    watch.cutOff(1, at(10ms));
    watch.alive(at(11ms));
    CHECK_FALSE(watch.signOfCrash(CrashEvidence::NothingListens, at(50ms)));
}

TEST_CASE("A probe that was sent before the connection was cut off does not show that the target lives")
{
    CrashWatch watch;
    watch.started(1, runOf(1), at(0ms));
    watch.cutOff(1, at(10ms));
    watch.alive(at(9ms));
    CHECK(watch.signOfCrash(CrashEvidence::NothingListens, at(50ms)));
}

TEST_CASE("Nothing that listens is no crash if no connection was cut off")
{
    CrashWatch watch;
    watch.started(1, runOf(1), at(0ms));
    watch.ended(1);
    CHECK_FALSE(watch.signOfCrash(CrashEvidence::NothingListens, at(50ms)));
}

TEST_CASE("A crash names what ran at that moment, and nothing that began later or had been answered")
{
    CrashWatch watch;
    watch.started(1, runOf(1), at(0ms));
    watch.started(2, runOf(2), at(1ms));
    watch.started(3, runOf(3), at(2ms));
    watch.ended(3);
    watch.cutOff(1, at(10ms));
    watch.cutOff(2, at(10ms));
    watch.started(4, runOf(4), at(11ms));
    const auto crash = watch.signOfCrash(CrashEvidence::NothingListens, at(20ms));
    REQUIRE(crash);
    REQUIRE(crash->runs.size() == 2);
    CHECK(crash->runs[0].print.whole == 1);
    CHECK(crash->runs[1].print.whole == 2);
    CHECK(crash->age == 10ms);
    CHECK_FALSE(watch.signOfCrash(CrashEvidence::NewStart, at(900ms)));
}

TEST_CASE("A refused connection is no crash while older runs go on, for as long as these may only be late")
{
    CrashWatch watch;
    watch.started(1, runOf(1), at(0ms));
    watch.started(2, runOf(2), at(0ms));
    watch.cutOff(1, at(10ms));
    CHECK_FALSE(watch.signOfCrash(CrashEvidence::NothingListens, at(30ms)));
    CHECK(watch.signOfCrash(CrashEvidence::NothingListens, at(130ms)));
}

TEST_CASE("A target that falls silent and starts again has crashed under what its callers gave up")
{
    CrashWatch watch;
    watch.alive(at(0ms));
    watch.started(1, runOf(1), at(10ms));
    watch.started(2, runOf(2), at(20ms));
    watch.abandoned(1, at(500ms));
    const auto crash = watch.signOfCrash(CrashEvidence::NewStart, at(2s));
    REQUIRE(crash);
    CHECK(crash->runs.size() == 2);
}

TEST_CASE("What callers gave up while the target lived is no suspect of a later crash")
{
    CrashWatch watch;
    watch.started(1, runOf(1), at(0ms));
    watch.abandoned(1, at(50ms));
    watch.alive(at(100ms));
    CHECK_FALSE(watch.signOfCrash(CrashEvidence::NewStart, at(200ms)));
}

TEST_CASE("What callers gave up says nothing where connections are cut off")
{
    CrashWatch watch;
    watch.started(1, runOf(1), at(0ms));
    watch.abandoned(1, at(50ms));
    watch.started(2, runOf(2), at(60ms));
    watch.cutOff(2, at(70ms));
    const auto crash = watch.signOfCrash(CrashEvidence::NothingListens, at(71ms));
    REQUIRE(crash);
    REQUIRE(crash->runs.size() == 1);
    CHECK(crash->runs[0].print.whole == 2);
}

}
