#include "wire/frame.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace shallotrelay;

namespace
{

RequestHead sampleHead()
{
    RequestHead head;
    head.requestId = "id-1";
    head.firm = "tipar";
    head.service = "redactie";
    head.target = "redactie-1";
    head.method = "GET";
    head.path = "/";
    head.headers = {{"Accept", "*/*"}, {"Host", "redactie.tipar"}};
    head.timeLeftMs = 1500;
    return head;
}

std::string payloadOf(const std::string &frame)
{
    return frame.substr(FrameHeaderBytes);
}

}

TEST_CASE("A message survives the frame codec")
{
    const RequestHead head = sampleHead();
    const std::string frame = encodeFrame(head);
    const auto header = parseFrameHeader(std::string_view(frame).substr(0, FrameHeaderBytes));
    REQUIRE(header.ok());
    CHECK(header->type == RequestHead::FrameType);
    CHECK(header->payloadBytes + FrameHeaderBytes == frame.size());
    const auto decoded = decodeMessage<RequestHead>(payloadOf(frame));
    REQUIRE(decoded.ok());
    CHECK(*decoded == head);
}

TEST_CASE("A frame header with an impossible length is refused")
{
    CHECK_FALSE(parseFrameHeader(std::string("\0\0\0\0\1", 5)).ok());
    CHECK_FALSE(parseFrameHeader(std::string("\xff\xff\xff\xff\1", 5)).ok());
    CHECK_FALSE(parseFrameHeader("abc").ok());
}

TEST_CASE("Each truncated message is refused")
{
    const std::string payload = payloadOf(encodeFrame(sampleHead()));
    for (std::size_t n = 0; n < payload.size(); ++n) {
        CHECK_FALSE(decodeMessage<RequestHead>(std::string_view(payload).substr(0, n)).ok());
    }
    CHECK_FALSE(decodeMessage<RequestHead>(payload + "x").ok());
}

TEST_CASE("A length beyond the message is refused before memory is taken")
{
    std::string payload(4, '\xff');
    payload += "abc";
    const auto chunk = decodeMessage<BodyChunk>(payload);
    CHECK(std::string(chunk.status().message()) == "a length exceeds the message");
    const auto report = decodeMessage<NodeReport>(std::string(200, '\xff'));
    CHECK_FALSE(report.ok());
}

TEST_CASE("A value outside its enumeration is refused")
{
    Refusal refusal;
    refusal.execution = static_cast<Execution>(9);
    CHECK_FALSE(decodeMessage<Refusal>(payloadOf(encodeFrame(refusal))).ok());
}

TEST_CASE("Hostile payloads never do more than fail")
{
    const std::string good = payloadOf(encodeFrame(sampleHead()));
    const bool mutated = rc::check("a mutated payload decodes or fails", [&] {
        std::string payload = good;
        const auto edits = *rc::gen::inRange<std::size_t>(1, 8);
        for (std::size_t i = 0; i < edits; ++i) {
            payload[*rc::gen::inRange<std::size_t>(0, payload.size())] = *rc::gen::arbitrary<char>();
        }
        const auto head = decodeMessage<RequestHead>(payload);
        if (head.ok()) {
            RC_ASSERT(payloadOf(encodeFrame(*head)) == payload);
        }
    });
    CHECK(mutated);
    const bool arbitrary = rc::check("arbitrary bytes decode or fail", [] {
        const auto payload = *rc::gen::arbitrary<std::string>();
        const auto update = decodeMessage<DirectoryUpdate>(payload);
        if (update.ok()) {
            RC_ASSERT(payloadOf(encodeFrame(*update)) == payload);
        }
    });
    CHECK(arbitrary);
}
