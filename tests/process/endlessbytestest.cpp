#include "net/httpserver.h"
#include "process/guardedtargetharness.h"

#include <catch2/catch.hpp>

#include <atomic>

namespace shallotrelay
{
namespace
{

/// A target that sends bytes until its caller closes the connection.
class EndlessTarget
{
public:
    EndlessTarget(Runtime &runtime, std::string begin, std::string again)
        : m_begin(std::move(begin))
        , m_again(std::move(again))
        , m_listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(std::move(socket)), asio::detached);
        })
    {
        REQUIRE(m_listener.start(Address{"127.0.0.1", 0}).ok());
    }

    static void configure(GuardedTargetOptions *options)
    {
        options->cancelsOnClose = true;
        options->checkResponse = [](const RequestHead &, const ResponseHead &answer) {
            ResponseCheck out;
            out.kind = answer.status == 503   ? ResponseCheck::Kind::Rejected
                       : answer.status == 299 ? ResponseCheck::Kind::OtherRequest
                                              : ResponseCheck::Kind::Response;
            return out;
        };
    }

    Address address() const
    {
        return m_listener.address();
    }

    std::atomic<std::size_t> sent = 0;
    std::atomic<int> open = 0;

private:
    asio::awaitable<void> serve(tcp::socket socket)
    {
        ++open;
        std::string buf(4096, '\0');
        co_await socket.async_read_some(asio::buffer(buf), AsTuple);
        std::string bytes = m_begin;
        for (;;) {
            const auto [ec, n] = co_await asio::async_write(socket, asio::buffer(bytes), AsTuple);
            sent += n;
            if (ec) {
                break;
            }
            bytes = m_again;
            if (m_again.size() < 100) {
                co_await sleepFor(1ms);
            }
        }
        --open;
    }

    std::string m_begin;
    std::string m_again;
    Listener m_listener;
};

constexpr const char *ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Bytes that a guard may take of what it cannot use, with what the system holds on the way.
constexpr std::size_t TakenBound = 8 * 1024 * 1024;

std::string many(const std::string &text)
{
    std::string out;
    while (out.size() < 64 * 1024) {
        out += text;
    }
    return out;
}

}

TEST_CASE("Bytes without end that are no answer end the try at once and are not read on")
{
    struct Case {
        const char *what;
        std::string begin;
        std::string again;
    };
    const std::vector<Case> cases = {
        {"a head line", "HTTP/1.1 200 ", many("x")},
        {"fields of the head", "HTTP/1.1 200 OK\r\n", many("X-Field: y\r\n")},
        {"no answer at all", many("nonsense\r\n"), many("nonsense\r\n")},
        {"a chunk's size", ChunkedHead, many("0")},
        {"a chunk's extension", std::string(ChunkedHead) + "5;", many("x")},
        {"fields after the last chunk", std::string(ChunkedHead) + "2\r\nok\r\n0\r\n", many("X-Field: y\r\n")},
        {"provisional answers", "HTTP/1.1 100 Continue\r\n\r\n", many("HTTP/1.1 100 Continue\r\n\r\n")},
        {"answers to other requests", "", many("HTTP/1.1 299 OK\r\nContent-Length: 2\r\n\r\nok")},
        {"the body of an answer to another request", "HTTP/1.1 299 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         many("2\r\nok\r\n")},
    };
    for (const Case &it : cases) {
        CAPTURE(it.what);
        GuardedTargetHarness<EndlessTarget> guarded(4, it.begin, it.again);
        const auto begun = std::chrono::steady_clock::now();
        const ExchangeResult result = guarded.send(5s).get();
        CHECK_FALSE(result.whole);
        CHECK(result.execution != Execution::NotRun);
        CHECK(std::chrono::steady_clock::now() - begun < 2s);
        CHECK(eventually([&] { return guarded.target.open == 0; }, 2s));
        CHECK(guarded.target.sent < TakenBound);
        CHECK(guarded.guarded->load().failurePerMille > 0);
        CHECK(guarded.guarded->load().inFlight == 0);
    }
}

TEST_CASE("A rejection whose body does not end is passed on at once as not run")
{
    for (const char *head : {"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "HTTP/1.1 503 Full\r\nContent-Length: 99999999\r\n\r\n"}) {
        GuardedTargetHarness<EndlessTarget> guarded(4, head, many("2\r\nok\r\n"));
        const auto begun = std::chrono::steady_clock::now();
        const ExchangeResult result = guarded.send(5s).get();
        CHECK(result.execution == Execution::NotRun);
        CHECK(result.status == 503);
        CHECK(std::chrono::steady_clock::now() - begun < 2s);
        CHECK(eventually([&] { return guarded.target.open == 0; }, 2s));
        CHECK(guarded.target.sent < TakenBound);
    }
}

TEST_CASE("A probe reads no more of an answer than it can use, and no longer than its time")
{
    for (const auto &[begin, again] : std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", many("x")},
             {ChunkedHead, many("2\r\nok\r\n")},
             {std::string(ChunkedHead) + "5;", many("x")},
             {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "x"},
         }) {
        Runtime runtime(1);
        EndlessTarget target(runtime, begin, again);
        runtime.start();
        HttpRequest request;
        request.method = "GET";
        request.path = "/healthz";
        auto call = [&]() -> asio::awaitable<bool> {
            const auto reply = co_await httpCall(target.address(), request, 400ms, 16 * 1024);
            co_return reply.ok();
        };
        const auto begun = std::chrono::steady_clock::now();
        CHECK_FALSE(asio::co_spawn(runtime.shard(0), call(), asio::use_future).get());
        CHECK(std::chrono::steady_clock::now() - begun < 1s);
        CHECK(target.sent < TakenBound);
        runtime.stop();
    }
}

}
