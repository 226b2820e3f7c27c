#include "daemon/controllink.h"

#include "base/text.h"
#include "net/framestream.h"
#include "shallotrelay/membership/connecttimeoutpolicy.h"
#include "wire/packedtext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <map>
#include <utility>
#include <vector>

namespace shallotrelay
{
namespace
{

/// Pause after a lost or refused connection.
constexpr Duration ReconnectDelay = std::chrono::milliseconds(100);
constexpr int SilentHeartbeats = 3;
constexpr Duration ClaimTimeout = std::chrono::seconds(2);

}

struct ControlLink::Impl : std::enable_shared_from_this<ControlLink::Impl> {
    Impl(asio::io_context &l, Options o, ServiceTable &s, LocalTargets &t, EventLog &e)
        : loop(l)
        , options(std::move(o))
        , services(s)
        , local(t)
        , log(e)
        , wake(l)
        , source(options.address.text())
    {
    }

    asio::io_context &loop;
    Options options;
    ServiceTable &services;
    LocalTargets &local;
    EventLog &log;
    asio::steady_timer wake;
    ConnectTimeoutPolicy patience;
    std::string source;
    bool roused = false;
    std::uint64_t lastClaim = 0;
    std::vector<ClaimRequest> outbox;
    struct PendingClaim;
    std::map<std::uint64_t, std::shared_ptr<PendingClaim>> pendingClaims;
    std::atomic<bool> connected = false;
    std::atomic<bool> stopped = false;

    static asio::awaitable<void> run(std::shared_ptr<Impl> self)
    {
        while (!self->stopped) {
            const Duration timeout = self->patience.nextTimeout();
            auto socket = co_await connectTo(self->loop.get_executor(), self->options.address, timeout);
            if (socket.ok()) {
                self->patience.reset();
                co_await self->talk(*std::move(socket));
            }
            self->connected = false;
            co_await sleepFor(ReconnectDelay);
        }
    }

    asio::awaitable<void> talk(tcp::socket socket)
    {
        using namespace asio::experimental::awaitable_operators;
        FrameStream stream(std::move(socket), MaxFramePayloadBytes);
        const auto first = co_await (receive(stream) || send(stream));
        const absl::Status status = first.index() == 0 ? std::get<0>(first) : std::get<1>(first);
        log.write(LogLevel::Warn, "control-link",
                  LogFields().add("control", source).add("lost", toStd(status.message())));
    }

    asio::awaitable<absl::Status> receive(FrameStream &stream)
    {
        for (;;) {
            const auto frame = co_await stream.read(options.heartbeat * SilentHeartbeats);
            if (!frame.ok()) {
                co_return frame.status();
            }
            const absl::Status status = take(*frame);
            if (!status.ok()) {
                co_return status;
            }
            connected = true;
        }
    }

    absl::Status takeIntent(const Frame &frame)
    {
        const auto packed = decodeAs<PackedIntent>(frame);
        if (!packed.ok()) {
            return packed.status();
        }
        const auto text = unpackText(packed->packed, packed->bytes);
        if (!text.ok()) {
            return text.status();
        }
        const auto update = decodeMessage<IntentUpdate>(*text);
        if (update.ok()) {
            options.onIntent(*update);
            rouse();
        }
        return update.status();
    }

    absl::Status take(const Frame &frame)
    {
        if (frame.type == Heartbeat::FrameType) {
            return decodeAs<Heartbeat>(frame).status();
        }
        if (frame.type == ClaimAnswer::FrameType) {
            const auto answer = decodeAs<ClaimAnswer>(frame);
            if (answer.ok()) {
                takeClaim(*answer);
            }
            return answer.status();
        }
        if (frame.type == PackedIntent::FrameType && options.onIntent) {
            return takeIntent(frame);
        }
        if (frame.type == ControlView::FrameType && options.onView) {
            const auto view = decodeAs<ControlView>(frame);
            if (view.ok()) {
                options.onView(*view);
            }
            return view.status();
        }
        if (frame.type == DirectoryUpdate::FrameType) {
            const auto update = decodeAs<DirectoryUpdate>(frame);
            if (update.ok()) {
                services.applyDirectory(source, *update);
            }
            return update.status();
        }
        const auto accepted = decodeAs<AcceptedBundle>(frame);
        if (!accepted.ok()) {
            return accepted.status();
        }
        return takeBundle(*accepted);
    }

    absl::Status takeBundle(const AcceptedBundle &accepted)
    {
        const auto applied = services.applyBundle(accepted);
        if (!applied.ok()) {
            return applied.status();
        }
        if (*applied) {
            log.write(LogLevel::Info, "bundle-applied",
                      LogFields().add("control", source).add("revision", accepted.revision));
            options.onBundle();
            rouse();
        }
        return absl::OkStatus();
    }

    /// A claim that was asked for.
    struct PendingClaim {
        explicit PendingClaim(asio::io_context &claimLoop)
            : answered(claimLoop)
        {
        }

        asio::steady_timer answered;
        std::optional<ClaimAnswer> answer;
    };

    static asio::awaitable<std::optional<ClaimAnswer>> claim(std::shared_ptr<Impl> self, ClaimRequest request)
    {
        if (!self->connected) {
            co_return std::nullopt;
        }
        request.id = ++self->lastClaim;
        const auto pending = std::make_shared<PendingClaim>(self->loop);
        self->pendingClaims[request.id] = pending;
        self->outbox.push_back(request);
        self->wake.cancel();
        pending->answered.expires_after(ClaimTimeout);
        co_await pending->answered.async_wait(AsTuple);
        self->pendingClaims.erase(request.id);
        co_return pending->answer;
    }

    void takeClaim(const ClaimAnswer &answer)
    {
        const auto it = pendingClaims.find(answer.id);
        if (it != pendingClaims.end()) {
            it->second->answer = answer;
            it->second->answered.cancel();
        }
    }

    /// Sends a report at once and then at each heartbeat, or sooner when something changed; claims go out at once.
    asio::awaitable<absl::Status> send(FrameStream &stream)
    {
        outbox.clear();
        auto nextReport = std::chrono::steady_clock::now();
        while (!stopped) {
            if (roused || std::chrono::steady_clock::now() >= nextReport) {
                roused = false;
                if (options.watch) {
                    stream.queue(options.watch());
                }
                stream.queue(report());
                nextReport = std::chrono::steady_clock::now() + options.heartbeat;
            }
            for (const ClaimRequest &it : std::exchange(outbox, {})) {
                stream.queue(it);
            }
            const absl::Status status = co_await stream.flush();
            if (!status.ok()) {
                co_return status;
            }
            if (!roused && outbox.empty()) {
                wake.expires_at(nextReport);
                co_await wake.async_wait(AsTuple);
            }
        }
        co_return absl::CancelledError("the link ends");
    }

    NodeReport report() const
    {
        NodeReport out;
        out.node = options.node;
        out.dataCentre = options.dataCentre;
        out.incarnation = options.incarnation;
        out.directorySequence = services.directorySequence(source);
        out.applied = services.applied();
        out.targets = local.records();
        return out;
    }

    void rouse()
    {
        roused = true;
        wake.cancel();
    }
};

ControlLink::ControlLink(Runtime &runtime, Options options, ServiceTable &services, LocalTargets &local, EventLog &log)
    : m_impl(std::make_shared<Impl>(runtime.next(), std::move(options), services, local, log))
{
}

ControlLink::~ControlLink()
{
    stop();
}

void ControlLink::stop()
{
    m_impl->stopped = true;
    asio::post(m_impl->loop, [impl = m_impl] { impl->wake.cancel(); });
}

bool ControlLink::connected() const
{
    return m_impl->connected;
}

void ControlLink::start()
{
    asio::co_spawn(m_impl->loop, Impl::run(m_impl), asio::detached);
}

void ControlLink::reportSoon()
{
    asio::post(m_impl->loop, [impl = m_impl] { impl->rouse(); });
}

asio::awaitable<std::optional<ClaimAnswer>> ControlLink::claim(ClaimRequest request)
{
    // The link lives on an event loop of its own.
    co_return co_await asio::co_spawn(m_impl->loop, Impl::claim(m_impl, std::move(request)), asio::use_awaitable);
}

}
