#include "wire/frame.h"
#include "wire/textcompression.h"

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

TEST_CASE("The frame codec decodes an encoded message to an equal message")
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

TEST_CASE("parseFrameHeader rejects a header with an invalid length")
{
    CHECK_FALSE(parseFrameHeader(std::string("\0\0\0\0\1", 5)).ok());
    CHECK_FALSE(parseFrameHeader(std::string("\xff\xff\xff\xff\1", 5)).ok());
    CHECK_FALSE(parseFrameHeader("abc").ok());
}

TEST_CASE("decodeMessage rejects a truncated message and one with extra bytes")
{
    const std::string payload = payloadOf(encodeFrame(sampleHead()));
    for (std::size_t n = 0; n < payload.size(); ++n) {
        CHECK_FALSE(decodeMessage<RequestHead>(std::string_view(payload).substr(0, n)).ok());
    }
    CHECK_FALSE(decodeMessage<RequestHead>(payload + "x").ok());
}

TEST_CASE("decodeMessage rejects an element count above the bytes left before allocating memory")
{
    std::string payload(4, '\xff');
    payload += "abc";
    const auto chunk = decodeMessage<BodyChunk>(payload);
    CHECK(std::string(chunk.status().message()) == "message has an element count above the number of bytes left");
    const auto report = decodeMessage<NodeReport>(std::string(200, '\xff'));
    CHECK_FALSE(report.ok());
}

TEST_CASE("decodeMessage rejects an invalid enum value")
{
    Refusal refusal;
    refusal.execution = static_cast<Execution>(9);
    CHECK_FALSE(decodeMessage<Refusal>(payloadOf(encodeFrame(refusal))).ok());
}

TEST_CASE("decodeMessage decodes or rejects mutated and arbitrary payloads")
{
    const std::string validPayload = payloadOf(encodeFrame(sampleHead()));
    const bool mutated = rc::check("a mutated payload decodes or fails", [&] {
        std::string payload = validPayload;
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

TEST_CASE("Text compression reduces a document of many routes to below a tenth and restores it")
{
    std::string text;
    for (int i = 0; i < 1400; ++i) {
        text += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","host":"a.example","pathPrefix":"/p)"
                + std::to_string(i * 104729) + R"(/","routeType":"idempotent","timeout":"800ms","maxAttempts":2},)";
    }
    const std::string compressed = compressText(text);
    CHECK(compressed.size() * 10 < text.size());
    const auto decompressed = decompressText(compressed, text.size());
    REQUIRE(decompressed.ok());
    CHECK(*decompressed == text);
}

TEST_CASE("Text compression restores any text")
{
    CHECK(rc::check("decompression restores the original text", [](const std::string &text) {
        const auto out = decompressText(compressText(text), text.size());
        RC_ASSERT(out.ok());
        RC_ASSERT(*out == text);
    }));
}

TEST_CASE("Text decompression rejects damaged or truncated input and a wrong size")
{
    const std::string text(10000, 'x');
    const std::string compressed = compressText(text);
    CHECK_FALSE(decompressText(compressed, text.size() - 1).ok());
    CHECK_FALSE(decompressText(compressed, text.size() + 1).ok());
    CHECK_FALSE(decompressText(compressed + "y", text.size()).ok());
    CHECK_FALSE(decompressText(std::string_view(compressed).substr(0, compressed.size() - 1), text.size()).ok());
    CHECK_FALSE(decompressText(compressed, MaxFramePayloadBytes + 1).ok());
    CHECK(rc::check("arbitrary bytes decompress to the given size or fail", [&](const std::string &bytes) {
        const auto out = decompressText(bytes, text.size());
        const bool failedOrSized = !out.ok() || out->size() == text.size();
        RC_ASSERT(failedOrSized);
    }));
}
