#include "net/httpfields.h"

#include <catch2/catch.hpp>

using namespace shallotrelay;

namespace
{

http::request_header<> headOf(std::string_view target = "/")
{
    http::request_header<> head;
    head.version(11);
    head.method(http::verb::get);
    head.target(target);
    head.set(http::field::host, "redactie.tipar");
    return head;
}

}

TEST_CASE("findServicePath() takes the service from the path prefix or else from the Host field")
{
    const auto byHost = findServicePath("/a?b=c", "redactie.tipar.example:8080");
    REQUIRE(byHost.ok());
    CHECK(byHost->service == ServiceId{"tipar", "redactie"});
    CHECK(byHost->path == "/a?b=c");
    const auto byPath = findServicePath("/s/consorcio/fichas/mix/7?x=1", "127.0.0.1");
    REQUIRE(byPath.ok());
    CHECK(byPath->service == ServiceId{"consorcio", "fichas"});
    CHECK(byPath->path == "/mix/7?x=1");
    CHECK(findServicePath("/s/consorcio/fichas?x=1", "")->path == "/?x=1");
    for (const char *it : {"/s/", "/s/consorcio", "/s//fichas/", "/s/a b/c/"}) {
        CHECK_FALSE(findServicePath(it, "redactie.tipar").ok());
    }
    CHECK_FALSE(findServicePath("/", "localhost").ok());
}

TEST_CASE("checkRequestHead() rejects request heads that a proxy must not forward")
{
    CHECK(checkRequestHead(headOf()).ok());
    auto head = headOf();
    SECTION("no Host field")
    {
        head.erase(http::field::host);
    }
    SECTION("two Host fields")
    {
        head.insert(http::field::host, "other.tipar");
    }
    SECTION("a transfer coding other than chunked")
    {
        head.set(http::field::transfer_encoding, "gzip, chunked");
    }
    SECTION("a transfer coding in HTTP/1.0")
    {
        head.version(10);
        head.set(http::field::transfer_encoding, "chunked");
    }
    SECTION("a protocol upgrade")
    {
        head.set(http::field::upgrade, "websocket");
    }
    SECTION("the CONNECT method")
    {
        head.method(http::verb::connect);
    }
    SECTION("a request target in absolute form")
    {
        head.target("http://elsewhere/");
    }
    SECTION("an unsupported expectation")
    {
        head.set(http::field::expect, "200-ok");
    }
    CHECK_FALSE(checkRequestHead(head).ok());
}

TEST_CASE("endToEndFields() drops hop-by-hop fields and fields that the node sets itself")
{
    http::fields fields;
    fields.insert("Connection", "close, X-Hop");
    fields.insert("X-Hop", "1");
    fields.insert("Transfer-Encoding", "chunked");
    fields.insert("Shallotrelay-Execution", "ran");
    fields.insert("Set-Cookie", "a=1");
    fields.insert("Set-Cookie", "b=2");
    const std::vector<HeaderField> kept = endToEndFields(fields);
    CHECK(kept == std::vector<HeaderField>{{"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"}});
}

TEST_CASE("requestedDeadline() accepts only a positive whole number of milliseconds")
{
    http::fields fields;
    CHECK_FALSE(requestedDeadline(fields)->has_value());
    fields.set(DeadlineHeader, "250");
    CHECK(**requestedDeadline(fields) == std::chrono::milliseconds(250));
    for (const char *it : {"0", "-5", "1.5", "soon", ""}) {
        fields.set(DeadlineHeader, it);
        CHECK_FALSE(requestedDeadline(fields).ok());
    }
}
