#include "shallotrelay/containment/crashdetector.h"
#include "shallotrelay/containment/requestfingerprinter.h"
#include "support.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

RequestHead readRequest(const std::string &path)
{
    RequestHead head;
    head.method = "GET";
    head.path = path;
    head.callerService = "redactie";
    return head;
}

TrackedRun runOf(std::uint64_t fingerprint)
{
    return {{fingerprint, fingerprint, fingerprint}, "r" + std::to_string(fingerprint)};
}

}

TEST_CASE("The fingerprint of a request does not depend on its id and header fields")
{
    RequestHead first = readRequest("/a/1?x=2");
    RequestHead second = first;
    first.requestId = "one";
    second.requestId = "two";
    second.headers.push_back({"Accept", "*/*"});
    RequestFingerprinter a(first);
    RequestFingerprinter b(second);
    a.addBody("whole body");
    b.addBody("whole ");
    b.addBody("body");
    CHECK(a.fingerprint().whole == b.fingerprint().whole);
    CHECK(a.fingerprint().head == b.fingerprint().head);
}

TEST_CASE("A request fingerprint covers method and path and body and its per-caller variant also the calling service")
{
    const RequestHead read = readRequest("/a/1");
    RequestHead write = read;
    write.method = "POST";
    RequestHead otherCaller = read;
    otherCaller.callerService = "arhiva";
    CHECK(fingerprintOfHead(read) != fingerprintOfHead(readRequest("/a/2")));
    CHECK(fingerprintOfHead(read) != fingerprintOfHead(write));
    CHECK(RequestFingerprinter(read).fingerprint().whole == RequestFingerprinter(otherCaller).fingerprint().whole);
    CHECK(RequestFingerprinter(read).fingerprint().byCaller
          != RequestFingerprinter(otherCaller).fingerprint().byCaller);
    RequestFingerprinter one(write);
    RequestFingerprinter other(write);
    one.addBody("1");
    other.addBody("2");
    CHECK(one.fingerprint().whole != other.fingerprint().whole);
    CHECK(one.fingerprint().head == other.fingerprint().head);
}

TEST_CASE("The fingerprint of a request covers only the first part of a long body")
{
    RequestFingerprinter a(readRequest("/a"));
    RequestFingerprinter b(readRequest("/a"));
    a.addBody(std::string(FingerprintedBodyBytes, 'x'));
    b.addBody(std::string(FingerprintedBodyBytes, 'x') + "more");
    CHECK(a.fingerprint().whole == b.fingerprint().whole);
}

TEST_CASE("A lost connection is no crash if the same instance responds afterwards")
{
    CrashDetector detector;
    detector.started(1, runOf(1), at(0ms));
    detector.connectionLost(1, at(10ms));
    detector.responded(at(11ms));
    CHECK_FALSE(detector.evaluateCrashEvidence(CrashEvidence::NothingListens, at(50ms)));
}

TEST_CASE("A response to a probe sent before the connection was lost does not rule out a crash")
{
    CrashDetector detector;
    detector.started(1, runOf(1), at(0ms));
    detector.connectionLost(1, at(10ms));
    detector.responded(at(9ms));
    CHECK(detector.evaluateCrashEvidence(CrashEvidence::NothingListens, at(50ms)));
}

TEST_CASE("A refused connection is no crash if no connection was lost")
{
    CrashDetector detector;
    detector.started(1, runOf(1), at(0ms));
    detector.ended(1);
    CHECK_FALSE(detector.evaluateCrashEvidence(CrashEvidence::NothingListens, at(50ms)));
}

TEST_CASE("A crash lists the requests running at that time and none that started later or had completed")
{
    CrashDetector detector;
    detector.started(1, runOf(1), at(0ms));
    detector.started(2, runOf(2), at(1ms));
    detector.started(3, runOf(3), at(2ms));
    detector.ended(3);
    detector.connectionLost(1, at(10ms));
    detector.connectionLost(2, at(10ms));
    detector.started(4, runOf(4), at(11ms));
    const auto crash = detector.evaluateCrashEvidence(CrashEvidence::NothingListens, at(20ms));
    REQUIRE(crash);
    REQUIRE(crash->runs.size() == 2);
    CHECK(crash->runs[0].print.whole == 1);
    CHECK(crash->runs[1].print.whole == 2);
    CHECK(crash->age == 10ms);
    CHECK_FALSE(detector.evaluateCrashEvidence(CrashEvidence::NewStart, at(900ms)));
}

TEST_CASE("A refused connection is no crash until older runs have had time to be lost as well")
{
    CrashDetector detector;
    detector.started(1, runOf(1), at(0ms));
    detector.started(2, runOf(2), at(0ms));
    detector.connectionLost(1, at(10ms));
    CHECK_FALSE(detector.evaluateCrashEvidence(CrashEvidence::NothingListens, at(30ms)));
    CHECK(detector.evaluateCrashEvidence(CrashEvidence::NothingListens, at(130ms)));
}

TEST_CASE("A crash lists abandoned runs if the target stopped responding and then restarted")
{
    CrashDetector detector;
    detector.responded(at(0ms));
    detector.started(1, runOf(1), at(10ms));
    detector.started(2, runOf(2), at(20ms));
    detector.abandoned(1, at(500ms));
    const auto crash = detector.evaluateCrashEvidence(CrashEvidence::NewStart, at(2s));
    REQUIRE(crash);
    CHECK(crash->runs.size() == 2);
}

TEST_CASE("A run abandoned before the target responded again is not listed in a later crash")
{
    CrashDetector detector;
    detector.started(1, runOf(1), at(0ms));
    detector.abandoned(1, at(50ms));
    detector.responded(at(100ms));
    CHECK_FALSE(detector.evaluateCrashEvidence(CrashEvidence::NewStart, at(200ms)));
}

TEST_CASE("A crash with lost connections does not list abandoned runs")
{
    CrashDetector detector;
    detector.started(1, runOf(1), at(0ms));
    detector.abandoned(1, at(50ms));
    detector.started(2, runOf(2), at(60ms));
    detector.connectionLost(2, at(70ms));
    const auto crash = detector.evaluateCrashEvidence(CrashEvidence::NothingListens, at(71ms));
    REQUIRE(crash);
    REQUIRE(crash->runs.size() == 1);
    CHECK(crash->runs[0].print.whole == 2);
}

}
