#include "net/stopsource.h"
#include "process/guarded.h"

#include <catch2/catch.hpp>

#include <atomic>

namespace shallotrelay
{
namespace
{

std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + std::string(RequestIdHeader) + ": " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A target that sends the first bytes of an answer and ends the connection.
class CuttingTarget
{
public:
    CuttingTarget(Runtime &runtime, std::string text, bool resets)
        : m_text(std::move(text))
        , m_resets(resets)
        , m_listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(std::move(socket)), asio::detached);
        })
    {
        REQUIRE(m_listener.start(Address{"127.0.0.1", 0}).ok());
    }

    Address address() const
    {
        return m_listener.address();
    }

    std::atomic<std::size_t> bytes = 0; // sent of the answer

private:
    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string buf(4096, '\0');
        co_await socket.async_read_some(asio::buffer(buf), AsTuple);
        const std::string part = m_text.substr(0, bytes);
        co_await asio::async_write(socket, asio::buffer(part), AsTuple);
        if (m_resets) {
            // What was sent must have been read before the reset, which would drop it.
            co_await sleepFor(3ms);
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        socket.close();
    }

    std::string m_text;
    bool m_resets;
    Listener m_listener;
};

/// A target that sends a copy of each answer some time after it, on the same connection.
class CopyingTarget
{
public:
    CopyingTarget(Runtime &runtime, Duration later, int copies)
        : m_later(later)
        , m_copies(copies)
        , m_listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(std::move(socket)), asio::detached);
        })
    {
        REQUIRE(m_listener.start(Address{"127.0.0.1", 0}).ok());
    }

    static void tune(GuardedTargetOptions *options)
    {
        options->checkAnswer = [](const RequestHead &request, const ResponseHead &head) {
            AnswerCheck out;
            out.kind
                = head.requestId == request.requestId ? AnswerCheck::Kind::Answer : AnswerCheck::Kind::OtherRequest;
            return out;
        };
    }

    Address address() const
    {
        return m_listener.address();
    }

private:
    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string last;
        for (;;) {
            std::string buf(4096, '\0');
            const auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), AsTuple);
            if (ec) {
                co_return;
            }
            const std::string name = std::string(RequestIdHeader) + ": ";
            const std::size_t at = buf.find(name) + name.size();
            const std::string id = buf.substr(at, buf.find('\r', at) - at);
            // The copy of the answer before arrives where the answer to this request is due.
            std::string out;
            for (int i = 0; i < m_copies; ++i) {
                out += last;
            }
            last = answer(id, "for " + id);
            co_await sleepFor(m_later);
            out += last;
            co_await asio::async_write(socket, asio::buffer(out), AsTuple);
        }
    }

    Duration m_later;
    int m_copies;
    Listener m_listener;
};

/// A target that takes requests and never answers.
class MuteTarget
{
public:
    explicit MuteTarget(Runtime &runtime)
        : m_listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(std::move(socket)), asio::detached);
        })
    {
        REQUIRE(m_listener.start(Address{"127.0.0.1", 0}).ok());
    }

    static void tune(GuardedTargetOptions *options)
    {
        options->closesAbandoned = true;
    }

    Address address() const
    {
        return m_listener.address();
    }

    std::atomic<int> connections = 0;
    std::atomic<int> open = 0;

private:
    asio::awaitable<void> serve(tcp::socket socket)
    {
        ++connections;
        ++open;
        std::string buf(4096, '\0');
        boost::system::error_code ec;
        while (!ec) {
            std::tie(ec, std::ignore) = co_await socket.async_read_some(asio::buffer(buf), AsTuple);
        }
        --open;
    }

    Listener m_listener;
};

/// Keeps the body of an answer.
class KeepingSink : public DroppingSink
{
public:
    asio::awaitable<absl::Status> chunk(std::string data, Flush) override
    {
        body += data;
        co_return absl::OkStatus();
    }

    std::string body;
};

}

TEST_CASE("An answer that breaks off at any byte is never taken for whole")
{
    const std::vector<std::string> answers = {
        answer("r", "0123456789"),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\nField: z\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + answer("r", "ok"),
        "HTTP/1.1 204 No Content\r\n\r\n",
    };
    for (const std::string &it : answers) {
        for (const bool resets : {false, true}) {
            Guarded<CuttingTarget> guarded(100, it, resets);
            for (std::size_t n = 0; n <= it.size(); n += resets ? 7 : 1) {
                guarded.target.bytes = n;
                CAPTURE(it, n, resets);
                CHECK(guarded.get().whole == (n == it.size()));
            }
        }
    }
}

TEST_CASE("An answer without a length is whole after an orderly end and not after a reset")
{
    const std::string text = "HTTP/1.1 200 OK\r\n\r\n0123456789";
    for (const bool resets : {false, true}) {
        Guarded<CuttingTarget> guarded(100, text, resets);
        guarded.target.bytes = text.size();
        CHECK(guarded.get().whole == !resets);
    }
}

TEST_CASE("A second copy of an answer, late on a reused connection, never becomes the answer to the next request")
{
    for (const int copies : {1, 2}) {
        Guarded<CopyingTarget> guarded(4, 2ms, copies);
        for (int i = 0; i < 20; ++i) {
            const std::string id = "id" + std::to_string(i);
            KeepingSink sink;
            auto one = [&]() -> asio::awaitable<ExchangeResult> {
                RequestHead head;
                head.requestId = id;
                head.method = "GET";
                head.path = "/";
                head.repeatable = true;
                head.mayQueue = true;
                EmptyBody body;
                ExchangeProgress progress;
                co_return co_await guarded.guarded->run(head, body, sink, progress, guarded.clock.now() + 5s);
            };
            const ExchangeResult result = asio::co_spawn(guarded.runtime.shard(0), one(), asio::use_future).get();
            CHECK(result.whole);
            CHECK(sink.body == "for " + id);
        }
    }
}

TEST_CASE("A target that stays silent loses its standing, and its connection is closed and not used again")
{
    Guarded<MuteTarget> guarded(4);
    for (int i = 1; i <= 3; ++i) {
        auto one = [&]() -> asio::awaitable<bool> {
            const auto stop = std::make_shared<StopSource>();
            asio::steady_timer timer(co_await asio::this_coro::executor);
            timer.expires_after(100ms);
            timer.async_wait([stop](boost::system::error_code ec) {
                if (!ec) {
                    stop->stop(StopReason::Deadline);
                }
            });
            RequestHead head;
            head.requestId = "r";
            head.method = "GET";
            head.path = "/";
            head.repeatable = true;
            EmptyBody body;
            DroppingSink sink;
            ExchangeProgress progress;
            const TimePoint deadline = guarded.clock.now() + 100ms;
            const auto result = co_await stop->run(guarded.guarded->run(head, body, sink, progress, deadline));
            co_return result.has_value();
        };
        CHECK_FALSE(asio::co_spawn(guarded.runtime.shard(0), one(), asio::use_future).get());
        CHECK(eventually([&] { return guarded.target.open == 0; }, 2s));
        CHECK(guarded.target.connections == i);
        CHECK(eventually([&] { return guarded.guarded->load().inFlight == 0; }, 2s));
    }
    CHECK(guarded.guarded->load().failurePerMille > 300);
}

}
