/// Provides a guarded target with a simulated target behind it, for tests of the exchanges between the two.
#pragma once

#include "net/guardedtarget.h"
#include "net/httpfields.h"
#include "net/listener.h"
#include "process/processes.h"
#include "support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <future>

namespace shallotrelay
{

/// A request without a body.
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

/// Discards a response.
class DiscardingSink : public ResponseSink
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

/// A guarded target in front of a simulated one of type Target, which may change the options with Target::configure().
template<class Target>
struct GuardedTargetHarness {
    template<class... Args>
    explicit GuardedTargetHarness(std::uint32_t slots, Args... args)
        : runtime(1)
        , target(runtime, args...)
    {
        runtime.start();
        GuardedTargetOptions options;
        options.clock = &clock;
        if constexpr (requires { Target::configure(&options); }) {
            Target::configure(&options);
        }
        guarded = std::make_shared<GuardedTarget>(options);
        GuardPolicy policy;
        policy.served = true;
        policy.slots = slots;
        policy.connections = 100;
        policy.coldSlots = slots;
        policy.queueLength = 10;
        policy.queueWait = 5s;
        policy.revision = 1;
        guarded->setPolicy(policy);
        guarded->announced({"boot", TargetState::Ready, slots, 100}, target.address());
    }

    ~GuardedTargetHarness()
    {
        runtime.stop();
    }

    /// Sends a GET request with a deadline in 5 s and waits for its result.
    ExchangeResult get()
    {
        return send(5s).get();
    }

    /// Sends a GET request whose deadline is the given time from now.
    std::future<ExchangeResult> send(Duration timeLeft, bool lastOffer = false)
    {
        auto one
            = [](std::shared_ptr<GuardedTarget> to, TimePoint deadline, bool last) -> asio::awaitable<ExchangeResult> {
            RequestHead head;
            head.requestId = "r";
            head.method = "GET";
            head.path = "/";
            head.repeatable = true;
            head.mayQueue = true;
            head.lastOffer = last;
            EmptyBody body;
            DiscardingSink sink;
            ExchangeProgress progress;
            co_return co_await to->run(head, body, sink, progress, deadline);
        };
        return asio::co_spawn(runtime.shard(0), one(guarded, clock.now() + timeLeft, lastOffer), asio::use_future);
    }

    SystemClock clock;
    Runtime runtime;
    Target target;
    std::shared_ptr<GuardedTarget> guarded;
};

}
