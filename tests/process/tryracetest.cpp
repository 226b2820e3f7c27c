#include "daemon/tryrace.h"
#include "support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

/// Answers at once.
class PromptBackend : public Backend
{
public:
    asio::awaitable<ExchangeResult> run(const RequestHead &, BodySource &, AnswerSink &sink, ExchangeProgress &,
                                        TimePoint) override
    {
        ResponseHead head;
        head.status = 200;
        ExchangeResult result;
        result.whole = (co_await sink.head(head, Flush::WithNext)).ok()
                       && (co_await sink.chunk("body", Flush::Now)).ok() && (co_await sink.end({})).ok();
        result.status = 200;
        co_return result;
    }
};

/// What happens to a connection, kept beyond it.
struct Connection {
    bool closed = false;
    bool usedAfterClose = false;
    std::string written;
};

/// A caller's connection that takes a while to write.
class SlowCaller : public CallerSink
{
public:
    explicit SlowCaller(std::shared_ptr<Connection> connection)
        : m_connection(std::move(connection))
    {
    }

    ~SlowCaller() override
    {
        m_connection->closed = true;
    }

    SlowCaller(const SlowCaller &) = delete;
    SlowCaller &operator=(const SlowCaller &) = delete;

    asio::awaitable<absl::Status> head(const ResponseHead &, Flush) override
    {
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush) override
    {
        // The connection is held here, so that a use after its end is seen instead of crashing the test.
        const auto connection = m_connection;
        co_await sleepFor(50ms);
        connection->usedAfterClose = connection->usedAfterClose || connection->closed;
        connection->written += data;
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

    void setWantsRetry(WantsRetry) override
    {
    }

    bool committed() const override
    {
        return false;
    }

private:
    std::shared_ptr<Connection> m_connection;
};

asio::awaitable<bool> serve(std::shared_ptr<Connection> connection)
{
    struct End {
        ~End()
        {
            race->close();
        }

        std::shared_ptr<TryRace> race;
    };

    const SystemClock clock;
    SlowCaller caller(connection);
    const auto executor = co_await asio::this_coro::executor;
    const auto race = std::make_shared<TryRace>(executor, caller, 1024, [](const ResponseHead &) { return false; });
    const End end{race};
    const auto attempt = std::make_shared<TryRace::Attempt>();
    attempt->backend = std::make_shared<PromptBackend>();
    attempt->onEnd = [](const ExchangeResult *) {};
    race->start(attempt, TimePoint::max());
    const auto ended = co_await race->next(clock, TimePoint::max());
    co_return ended && ended->result.whole;
}

}

TEST_CASE("A caller that leaves while its answer is written is not written to any more")
{
    asio::io_context loop;
    const auto connection = std::make_shared<Connection>();
    const auto stop = std::make_shared<StopSource>();
    bool ended = false;
    auto run = [&]() -> asio::awaitable<void> { ended = (co_await stop->run(serve(connection))).has_value(); };
    asio::co_spawn(loop, run, asio::detached);
    asio::steady_timer timer(loop);
    timer.expires_after(std::chrono::milliseconds(10));
    timer.async_wait([&](boost::system::error_code) { stop->stop(StopReason::PeerGone); });
    loop.run_for(std::chrono::milliseconds(300));
    CHECK_FALSE(ended);
    CHECK(connection->closed);
    CHECK_FALSE(connection->usedAfterClose);
}

TEST_CASE("An answer reaches its caller whole")
{
    asio::io_context loop;
    const auto connection = std::make_shared<Connection>();
    const auto stop = std::make_shared<StopSource>();
    std::optional<bool> whole;
    auto run = [&]() -> asio::awaitable<void> { whole = co_await stop->run(serve(connection)); };
    asio::co_spawn(loop, run, asio::detached);
    loop.run_for(std::chrono::milliseconds(300));
    CHECK(whole == std::optional(true));
    CHECK(connection->written == "body");
}

}
