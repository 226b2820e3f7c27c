#include "net/guardedtarget.h"
#include "net/listener.h"
#include "support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>

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

class EmptyBody : public BodySource
{
public:
    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        co_return std::string();
    }

    bool atEnd() const override
    {
        return true;
    }
};

class DroppingSink : public AnswerSink
{
public:
    asio::awaitable<absl::Status> head(const ResponseHead &, Flush) override
    {
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> chunk(std::string, Flush) override
    {
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> end(const LoadReport &) override
    {
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> admitted(const LoadReport &) override
    {
        co_return absl::OkStatus();
    }
};

/// A guard before such a target.
struct GuardedResets {
    explicit GuardedResets(Duration delay)
        : runtime(1)
        , target(runtime, delay)
    {
        runtime.start();
        GuardedTargetOptions options;
        options.clock = &clock;
        guarded = std::make_shared<GuardedTarget>(options);
        GuardPolicy policy;
        policy.served = true;
        policy.slots = 4;
        policy.connections = 100;
        policy.coldSlots = 4;
        policy.revision = 1;
        guarded->setPolicy(policy);
        guarded->announced({"boot", TargetState::Ready, 4, 100}, target.address());
    }

    ~GuardedResets()
    {
        runtime.stop();
    }

    ExchangeResult get()
    {
        auto one = [](std::shared_ptr<GuardedTarget> to, TimePoint deadline) -> asio::awaitable<ExchangeResult> {
            RequestHead head;
            head.requestId = "r";
            head.method = "GET";
            head.path = "/";
            head.repeatable = true;
            EmptyBody body;
            DroppingSink sink;
            ExchangeProgress progress;
            co_return co_await to->run(head, body, sink, progress, deadline);
        };
        return asio::co_spawn(runtime.shard(0), one(guarded, clock.now() + 5s), asio::use_future).get();
    }

    SystemClock clock;
    Runtime runtime;
    ResettingTarget target;
    std::shared_ptr<GuardedTarget> guarded;
};

}

TEST_CASE("A request whose connection is reset while the target works on it does not reach that target again")
{
    GuardedResets resets(60ms);
    REQUIRE(resets.get().whole);
    const ExchangeResult result = resets.get();
    CHECK_FALSE(result.whole);
    CHECK(result.execution == Execution::Unknown);
    CHECK(result.reachedTarget);
    CHECK(resets.target.arrivals == 2);
}

TEST_CASE("A request whose connection is reset at once is left to the budget of its caller's node, too")
{
    GuardedResets resets(0ms);
    REQUIRE(resets.get().whole);
    const ExchangeResult result = resets.get();
    CHECK_FALSE(result.whole);
    CHECK(result.execution == Execution::Unknown);
    CHECK(result.reachedTarget);
    CHECK(resets.target.arrivals == 2);
    CHECK(resets.get().whole);
}

}
