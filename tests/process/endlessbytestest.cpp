#include "net/httpserver.h"
#include "process/guardedtargetharness.h"

#include <catch2/catch.hpp>

#include <atomic>

namespace shallotrelay
{
namespace
{

/// Target that sends bytes until its client closes the connection.
class EndlessTarget
{
public:
    EndlessTarget(Runtime &runtime, std::string firstBytes, std::string repeatedBytes)
        : m_firstBytes(std::move(firstBytes))
        , m_repeatedBytes(std::move(repeatedBytes))
        , m_listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(std::move(socket)), asio::detached);
        })
    {
        REQUIRE(m_listener.start(Address{"127.0.0.1", 0}).ok());
    }

    static void configure(GuardedTargetOptions *options)
    {
        options->cancelsOnClose = true;
        options->checkResponse = [](const RequestHead &, const ResponseHead &response) {
            ResponseCheck out;
            out.kind = response.status == 503   ? ResponseCheck::Kind::Rejected
                       : response.status == 299 ? ResponseCheck::Kind::OtherRequest
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
        std::string bytes = m_firstBytes;
        for (;;) {
            const auto [ec, n] = co_await asio::async_write(socket, asio::buffer(bytes), AsTuple);
            sent += n;
            if (ec) {
                break;
            }
            bytes = m_repeatedBytes;
            if (m_repeatedBytes.size() < 100) {
                co_await sleepFor(1ms);
            }
        }
        --open;
    }

    std::string m_firstBytes;
    std::string m_repeatedBytes;
    Listener m_listener;
};

constexpr const char *ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Limit for the bytes that the target can send before its client stops reading, including those in socket buffers.
constexpr std::size_t MaxSentBytes = 8 * 1024 * 1024;

std::string repeatTo64KiB(const std::string &text)
{
    std::string out;
    while (out.size() < 64 * 1024) {
        out += text;
    }
    return out;
}

}

TEST_CASE("An attempt whose target sends endless bytes that form no response fails within 2 s and stops reading")
{
    struct Case {
        const char *description;
        std::string firstBytes;
        std::string repeatedBytes;
    };
    const std::vector<Case> cases = {
        {"an endless status line", "HTTP/1.1 200 ", repeatTo64KiB("x")},
        {"endless header fields", "HTTP/1.1 200 OK\r\n", repeatTo64KiB("X-Field: y\r\n")},
        {"input that is not HTTP", repeatTo64KiB("nonsense\r\n"), repeatTo64KiB("nonsense\r\n")},
        {"an endless chunk size", ChunkedHead, repeatTo64KiB("0")},
        {"an endless chunk extension", std::string(ChunkedHead) + "5;", repeatTo64KiB("x")},
        {"endless trailer fields", std::string(ChunkedHead) + "2\r\nok\r\n0\r\n", repeatTo64KiB("X-Field: y\r\n")},
        {"endless interim responses", "HTTP/1.1 100 Continue\r\n\r\n", repeatTo64KiB("HTTP/1.1 100 Continue\r\n\r\n")},
        {"endless responses to other requests", "", repeatTo64KiB("HTTP/1.1 299 OK\r\nContent-Length: 2\r\n\r\nok")},
        {"an endless body of a response to another request", "HTTP/1.1 299 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         repeatTo64KiB("2\r\nok\r\n")},
    };
    for (const Case &it : cases) {
        CAPTURE(it.description);
        GuardedTargetHarness<EndlessTarget> guarded(4, it.firstBytes, it.repeatedBytes);
        const auto startTime = std::chrono::steady_clock::now();
        const ExchangeResult result = guarded.send(5s).get();
        CHECK_FALSE(result.whole);
        CHECK(result.execution != Execution::NotRun);
        CHECK(std::chrono::steady_clock::now() - startTime < 2s);
        CHECK(eventually([&] { return guarded.target.open == 0; }, 2s));
        CHECK(guarded.target.sent < MaxSentBytes);
        CHECK(guarded.guarded->load().failurePerMille > 0);
        CHECK(guarded.guarded->load().inFlight == 0);
    }
}

TEST_CASE("A rejection with an endless body is reported within 2 s as not run")
{
    for (const char *head : {"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "HTTP/1.1 503 Full\r\nContent-Length: 99999999\r\n\r\n"}) {
        GuardedTargetHarness<EndlessTarget> guarded(4, head, repeatTo64KiB("2\r\nok\r\n"));
        const auto startTime = std::chrono::steady_clock::now();
        const ExchangeResult result = guarded.send(5s).get();
        CHECK(result.execution == Execution::NotRun);
        CHECK(result.status == 503);
        CHECK(std::chrono::steady_clock::now() - startTime < 2s);
        CHECK(eventually([&] { return guarded.target.open == 0; }, 2s));
        CHECK(guarded.target.sent < MaxSentBytes);
    }
}

TEST_CASE(
    "httpCall() fails within its time limit and stops reading when the response exceeds its size limit or never ends")
{
    for (const auto &[firstBytes, repeatedBytes] : std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", repeatTo64KiB("x")},
             {ChunkedHead, repeatTo64KiB("2\r\nok\r\n")},
             {std::string(ChunkedHead) + "5;", repeatTo64KiB("x")},
             {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "x"},
         }) {
        Runtime runtime(1);
        EndlessTarget target(runtime, firstBytes, repeatedBytes);
        runtime.start();
        HttpRequest request;
        request.method = "GET";
        request.path = "/healthz";
        auto call = [&]() -> asio::awaitable<bool> {
            const auto response = co_await httpCall(target.address(), request, 400ms, 16 * 1024);
            co_return response.ok();
        };
        const auto startTime = std::chrono::steady_clock::now();
        CHECK_FALSE(asio::co_spawn(runtime.shard(0), call(), asio::use_future).get());
        CHECK(std::chrono::steady_clock::now() - startTime < 1s);
        CHECK(target.sent < MaxSentBytes);
        runtime.stop();
    }
}

}
