#include "daemon/attemptrace.h"
#include "support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

/// Backend that responds at once.
class ImmediateBackend : public Backend
{
public:
    asio::awaitable<ExchangeResult> run(const RequestHead &, BodySource &, ResponseSink &sink, ExchangeProgress &,
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

/// Log of a caller's connection, which outlives the connection.
struct ConnectionLog {
    bool closed = false;
    bool usedAfterClose = false;
    std::string written;
};

/// Caller's connection on which each write takes 50 ms.
class SlowCaller : public CallerSink
{
public:
    explicit SlowCaller(std::shared_ptr<ConnectionLog> connection)
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
        // Holding the log makes a write after the connection has closed visible instead of crashing the test.
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

    void setShouldDiscard(ShouldDiscard) override
    {
    }

    bool committed() const override
    {
        return false;
    }

private:
    std::shared_ptr<ConnectionLog> m_connection;
};

asio::awaitable<bool> serve(std::shared_ptr<ConnectionLog> connection)
{
    struct RaceCloser {
        ~RaceCloser()
        {
            race->close();
        }

        std::shared_ptr<AttemptRace> race;
    };

    const SystemClock clock;
    SlowCaller caller(connection);
    const auto executor = co_await asio::this_coro::executor;
    const auto race = std::make_shared<AttemptRace>(executor, caller, 1024, [](const ResponseHead &) { return false; });
    const RaceCloser closer{race};
    const auto attempt = std::make_shared<AttemptRace::Attempt>();
    attempt->backend = std::make_shared<ImmediateBackend>();
    attempt->onFinished = [](const ExchangeResult *) {};
    race->start(attempt, TimePoint::max());
    const auto finished = co_await race->next(clock, TimePoint::max());
    co_return finished && finished->result.whole;
}

}

TEST_CASE("AttemptRace does not use the connection of a caller that disconnects during a write")
{
    asio::io_context loop;
    const auto connection = std::make_shared<ConnectionLog>();
    const auto stop = std::make_shared<StopSource>();
    bool finished = false;
    auto run = [&]() -> asio::awaitable<void> { finished = (co_await stop->run(serve(connection))).has_value(); };
    asio::co_spawn(loop, run, asio::detached);
    asio::steady_timer timer(loop);
    timer.expires_after(std::chrono::milliseconds(10));
    timer.async_wait([&](boost::system::error_code) { stop->stop(StopReason::PeerDisconnected); });
    loop.run_for(std::chrono::milliseconds(300));
    CHECK_FALSE(finished);
    CHECK(connection->closed);
    CHECK_FALSE(connection->usedAfterClose);
}

TEST_CASE("AttemptRace delivers the complete response to the caller")
{
    asio::io_context loop;
    const auto connection = std::make_shared<ConnectionLog>();
    const auto stop = std::make_shared<StopSource>();
    std::optional<bool> delivered;
    auto run = [&]() -> asio::awaitable<void> { delivered = co_await stop->run(serve(connection)); };
    asio::co_spawn(loop, run, asio::detached);
    loop.run_for(std::chrono::milliseconds(300));
    CHECK(delivered == std::optional(true));
    CHECK(connection->written == "body");
}

}
