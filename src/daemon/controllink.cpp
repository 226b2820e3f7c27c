#include "daemon/controllink.h"

#include "base/text.h"
#include "net/framestream.h"
#include "shallotrelay/membership/connecttimeoutpolicy.h"

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

/// Delay before reconnecting after a lost or refused connection.
constexpr Duration ReconnectDelay = std::chrono::milliseconds(100);
constexpr int MaxMissedHeartbeats = 3;
constexpr Duration ClaimTimeout = std::chrono::seconds(2);

}

struct ControlLink::Impl : std::enable_shared_from_this<ControlLink::Impl> {
    Impl(asio::io_context &l, Options o, ServiceTable &s, LocalTargets &t, EventLog &e)
        : loop(l)
        , options(std::move(o))
        , services(s)
        , local(t)
        , log(e)
        , wakeTimer(l)
        , source(options.address.text())
    {
    }

    asio::io_context &loop;
    Options options;
    ServiceTable &services;
    LocalTargets &local;
    EventLog &log;
    asio::steady_timer wakeTimer;
    ConnectTimeoutPolicy connectTimeouts;
    std::string source;
    bool reportRequested = false;
    std::uint64_t lastClaimId = 0;
    std::vector<ClaimRequest> unsentClaims;
    struct PendingClaim;
    std::map<std::uint64_t, std::shared_ptr<PendingClaim>> pendingClaims;
    std::atomic<bool> connected = false;
    std::atomic<bool> stopped = false;

    static asio::awaitable<void> run(std::shared_ptr<Impl> self)
    {
        while (!self->stopped) {
            const Duration timeout = self->connectTimeouts.nextTimeout();
            auto socket = co_await connectTo(self->loop.get_executor(), self->options.address, timeout);
            if (socket.ok()) {
                self->connectTimeouts.reset();
                co_await self->exchangeFrames(*std::move(socket));
            }
            self->connected = false;
            co_await sleepFor(ReconnectDelay);
        }
    }

    asio::awaitable<void> exchangeFrames(tcp::socket socket)
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
            const auto frame = co_await stream.read(options.heartbeat * MaxMissedHeartbeats);
            if (!frame.ok()) {
                co_return frame.status();
            }
            const absl::Status status = handleFrame(*frame);
            if (!status.ok()) {
                co_return status;
            }
            connected = true;
        }
    }

    absl::Status handleFrame(const Frame &frame)
    {
        if (frame.type == Heartbeat::FrameType) {
            return decodeAs<Heartbeat>(frame).status();
        }
        if (frame.type == ClaimAnswer::FrameType) {
            const auto response = decodeAs<ClaimAnswer>(frame);
            if (response.ok()) {
                handleClaim(*response);
            }
            return response.status();
        }
        if (frame.type == PackedIntent::FrameType && options.onIntent) {
            auto intent = decodeAs<PackedIntent>(frame);
            if (!intent.ok()) {
                return intent.status();
            }
            options.onIntent(*std::move(intent));
            return absl::OkStatus();
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
        return handleBundle(*accepted);
    }

    absl::Status handleBundle(const AcceptedBundle &accepted)
    {
        const auto applied = services.applyBundle(accepted);
        if (!applied.ok()) {
            return applied.status();
        }
        if (*applied) {
            log.write(LogLevel::Info, "bundle-applied",
                      LogFields().add("control", source).add("revision", accepted.revision));
            options.onBundle();
            requestReport();
        }
        return absl::OkStatus();
    }

    /// A claim request that waits for its response.
    struct PendingClaim {
        explicit PendingClaim(asio::io_context &claimLoop)
            : responseTimer(claimLoop)
        {
        }

        asio::steady_timer responseTimer;
        std::optional<ClaimAnswer> response;
    };

    static asio::awaitable<std::optional<ClaimAnswer>> claim(std::shared_ptr<Impl> self, ClaimRequest request)
    {
        if (!self->connected) {
            co_return std::nullopt;
        }
        request.id = ++self->lastClaimId;
        const auto pending = std::make_shared<PendingClaim>(self->loop);
        self->pendingClaims[request.id] = pending;
        self->unsentClaims.push_back(request);
        self->wakeTimer.cancel();
        pending->responseTimer.expires_after(ClaimTimeout);
        co_await pending->responseTimer.async_wait(AsTuple);
        self->pendingClaims.erase(request.id);
        co_return pending->response;
    }

    void handleClaim(const ClaimAnswer &response)
    {
        const auto it = pendingClaims.find(response.id);
        if (it != pendingClaims.end()) {
            it->second->response = response;
            it->second->responseTimer.cancel();
        }
    }

    /// Sends a report at once, then at each heartbeat and whenever one is requested; sends claims without delay.
    asio::awaitable<absl::Status> send(FrameStream &stream)
    {
        unsentClaims.clear();
        auto nextReport = std::chrono::steady_clock::now();
        while (!stopped) {
            if (reportRequested || std::chrono::steady_clock::now() >= nextReport) {
                reportRequested = false;
                if (options.nodeWatch) {
                    stream.queue(options.nodeWatch());
                }
                stream.queue(report());
                nextReport = std::chrono::steady_clock::now() + options.heartbeat;
            }
            for (const ClaimRequest &it : std::exchange(unsentClaims, {})) {
                stream.queue(it);
            }
            const absl::Status status = co_await stream.flush();
            if (!status.ok()) {
                co_return status;
            }
            if (!reportRequested && unsentClaims.empty()) {
                wakeTimer.expires_at(nextReport);
                co_await wakeTimer.async_wait(AsTuple);
            }
        }
        co_return absl::CancelledError("the control link was stopped");
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

    void requestReport()
    {
        reportRequested = true;
        wakeTimer.cancel();
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
    asio::post(m_impl->loop, [impl = m_impl] { impl->wakeTimer.cancel(); });
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
    asio::post(m_impl->loop, [impl = m_impl] { impl->requestReport(); });
}

asio::awaitable<std::optional<ClaimAnswer>> ControlLink::claim(ClaimRequest request)
{
    // The state of the link may only be accessed on its event loop, which may differ from that of the caller.
    co_return co_await asio::co_spawn(m_impl->loop, Impl::claim(m_impl, std::move(request)), asio::use_awaitable);
}

}
