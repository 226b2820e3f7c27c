#include "net/httpfields.h"
#include "net/listener.h"
#include "process/guarded.h"
#include "support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

namespace shallotrelay
{
namespace
{

/// A target that answers the first request on each connection and resets the connection at the second one, a while
/// after it has read it.
class ResettingTarget
{
public:
    ResettingTarget(Runtime &runtime, Duration delay)
        : m_delay(delay)
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

    std::atomic<int> arrivals = 0;

private:
    asio::awaitable<void> serve(tcp::socket socket)
    {
        for (int served = 0;; ++served) {
            std::string buf(4096, '\0');
            const auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), AsTuple);
            if (ec) {
                co_return;
            }
            ++arrivals;
            if (served > 0) {
                co_await sleepFor(m_delay);
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                co_return;
            }
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            co_await asio::async_write(socket, asio::buffer(answer), AsTuple);
        }
    }

    Duration m_delay;
    Listener m_listener;
};

/// A target that answers each request after a while with the time that it was told to have left.
class TimedTarget
{
public:
    explicit TimedTarget(Runtime &runtime)
        : m_listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(std::move(socket)), asio::detached);
        })
    {
        REQUIRE(m_listener.start(Address{"127.0.0.1", 0}).ok());
    }

    Address address() const
    {
        return m_listener.address();
    }

    /// Returns the times that it was told, in milliseconds.
    std::vector<int> told() const
    {
        const std::lock_guard lock(m_mutex);
        return m_told;
    }

private:
    asio::awaitable<void> serve(tcp::socket socket)
    {
        for (;;) {
            std::string buf(4096, '\0');
            const auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), AsTuple);
            if (ec) {
                co_return;
            }
            note(buf.substr(0, n));
            co_await sleepFor(200ms);
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            co_await asio::async_write(socket, asio::buffer(answer), AsTuple);
        }
    }

    void note(const std::string &head)
    {
        const std::string name = std::string(DeadlineHeader) + ": ";
        const std::size_t at = head.find(name);
        const std::lock_guard lock(m_mutex);
        m_told.push_back(at == std::string::npos ? -1 : std::stoi(head.substr(at + name.size())));
    }

    mutable std::mutex m_mutex;
    std::vector<int> m_told;
    Listener m_listener;
};

/// A target that tells its pace at "/pace" and in each answer.
class PacedTarget
{
public:
    explicit PacedTarget(Runtime &runtime)
        : m_listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(std::move(socket)), asio::detached);
        })
    {
        REQUIRE(m_listener.start(Address{"127.0.0.1", 0}).ok());
    }

    static void tune(GuardedTargetOptions *options)
    {
        options->pacePath = [] { return std::string("/pace"); };
        options->looksPerSecond = 1000;
        options->checkAnswer = [](const RequestHead &, const ResponseHead &answer) {
            AnswerCheck out;
            out.pacePercent = static_cast<std::uint32_t>(std::stoi(std::string(findField(answer.headers, "Pace"))));
            return out;
        };
    }

    Address address() const
    {
        return m_listener.address();
    }

    std::atomic<int> pace = 100; // in percent
    std::atomic<int> looks = 0;
    std::atomic<int> runs = 0;
    std::atomic<bool> mute = false; // whether questions for the pace stay without an answer

private:
    asio::awaitable<void> serve(tcp::socket socket)
    {
        for (;;) {
            std::string buf(4096, '\0');
            const auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), AsTuple);
            if (ec) {
                co_return;
            }
            const bool look = buf.starts_with("GET /pace ");
            ++(look ? looks : runs);
            if (look && mute) {
                co_await sleepForever();
            }
            co_await sleepFor(2ms);
            const std::string answer
                = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nPace: " + std::to_string(pace) + "\r\n\r\nok";
            co_await asio::async_write(socket, asio::buffer(answer), AsTuple);
        }
    }

    Listener m_listener;
};

}

TEST_CASE("A request whose connection is reset while the target works on it does not reach that target again")
{
    Guarded<ResettingTarget> resets(4, 60ms);
    REQUIRE(resets.get().whole);
    const ExchangeResult result = resets.get();
    CHECK_FALSE(result.whole);
    CHECK(result.execution == Execution::Unknown);
    CHECK(result.reachedTarget);
    CHECK(resets.target.arrivals == 2);
}

TEST_CASE("A request whose connection is reset at once is left to the budget of its caller's node, too")
{
    Guarded<ResettingTarget> resets(4, 0ms);
    REQUIRE(resets.get().whole);
    const ExchangeResult result = resets.get();
    CHECK_FALSE(result.whole);
    CHECK(result.execution == Execution::Unknown);
    CHECK(result.reachedTarget);
    CHECK(resets.target.arrivals == 2);
    CHECK(resets.get().whole);
}

TEST_CASE("A target is told the time that is left when its request is sent, not when the caller sent it")
{
    Guarded<TimedTarget> guarded(1);
    auto first = guarded.send(1s);
    auto second = guarded.send(1s);
    REQUIRE(first.get().whole);
    REQUIRE(second.get().whole);
    const std::vector<int> told = guarded.target.told();
    REQUIRE(told.size() == 2);
    CHECK(told[0] > 0);
    CHECK(told[0] <= 1000);
    // The second one waited for the slot while the first one took 200 ms.
    CHECK(told[1] > 0);
    CHECK(told[1] <= 800);
}

TEST_CASE("A request that may go elsewhere is refused in a slow phase and reaches no target; the last offer waits")
{
    Guarded<PacedTarget> paced(4);
    REQUIRE(paced.get().whole);
    paced.target.pace = 500;
    std::this_thread::sleep_for(20ms);
    const ExchangeResult elsewhere = paced.get();
    CHECK_FALSE(elsewhere.whole);
    CHECK(elsewhere.execution == Execution::NotRun);
    CHECK(elsewhere.reason == toString(GuardRefusal::SlowPhase));
    CHECK(paced.target.runs == 1);
    auto last = paced.send(5s, true);
    std::this_thread::sleep_for(100ms);
    CHECK(paced.target.runs == 1);
    paced.target.pace = 100;
    CHECK(last.get().whole);
    CHECK(paced.target.runs == 2);
}

TEST_CASE("Requests that come together share one question for the pace")
{
    Guarded<PacedTarget> paced(10);
    REQUIRE(paced.get().whole);
    std::this_thread::sleep_for(20ms);
    const int before = paced.target.looks;
    std::vector<std::future<ExchangeResult>> all;
    all.reserve(10);
    for (int i = 0; i < 10; ++i) {
        all.push_back(paced.send(5s));
    }
    for (auto &it : all) {
        CHECK(it.get().whole);
    }
    CHECK(paced.target.looks == before + 1);
}

TEST_CASE("A target that does not tell its pace delays a request by a moment only")
{
    Guarded<PacedTarget> paced(4);
    REQUIRE(paced.get().whole);
    paced.target.mute = true;
    std::this_thread::sleep_for(20ms);
    const auto begun = std::chrono::steady_clock::now();
    CHECK(paced.get().whole);
    CHECK(std::chrono::steady_clock::now() - begun < 500ms);
}

}
