#include "daemon/nodesessions.h"

#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>

#include <mutex>
#include <set>

namespace shallotrelay
{
namespace
{

constexpr Duration ExpiryInterval = std::chrono::milliseconds(100);

}

struct NodeSessions::Impl : std::enable_shared_from_this<NodeSessions::Impl> {
    /// A connection of a node, and the timer that wakes its sender.
    struct Session {
        explicit Session(const asio::any_io_executor &executor)
            : wake(executor)
        {
        }

        /// Makes the session check for updates; call it on the event loop of the session.
        void notify()
        {
            notified = true;
            wake.cancel();
        }

        asio::steady_timer wake;
        bool notified = false;
        NodeReport report;
        bool hasReport = false;
        std::uint64_t sentSequence = 0;
        NodeSession state;
    };

    Impl(Runtime &r, const Clock &c, Options o, Hooks h)
        : runtime(r)
        , clock(c)
        , options(o)
        , hooks(std::move(h))
        , directory(options.lease)
        , listener(r, [this](asio::io_context &loop, tcp::socket socket) { accept(loop, std::move(socket)); })
    {
    }

    Runtime &runtime;
    const Clock &clock;
    Options options;
    Hooks hooks;
    mutable std::mutex directoryMutex;
    Directory directory;
    mutable std::mutex sessionsMutex;
    std::set<std::shared_ptr<Session>> sessions;
    Listener listener;

    void wakeAll()
    {
        const std::lock_guard lock(sessionsMutex);
        for (const auto &it : sessions) {
            asio::post(it->wake.get_executor(), [it] { it->notify(); });
        }
    }

    void accept(asio::io_context &loop, tcp::socket socket)
    {
        if (sessionCount() < options.maxNodes) {
            asio::co_spawn(loop, serve(shared_from_this(), std::move(socket)), asio::detached);
        }
    }

    std::size_t sessionCount() const
    {
        const std::lock_guard lock(sessionsMutex);
        return sessions.size();
    }

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        using namespace asio::experimental::awaitable_operators;
        FrameStream stream(std::move(socket), MaxFramePayloadBytes);
        const auto session = std::make_shared<Session>(stream.executor());
        {
            const std::lock_guard lock(self->sessionsMutex);
            self->sessions.insert(session);
        }
        co_await (self->receiveFrames(stream, *session) || self->sendUpdates(stream, *session));
        const std::lock_guard lock(self->sessionsMutex);
        self->sessions.erase(session);
    }

    /// Receives frames of a node until its connection fails or no frame arrives within the lease.
    asio::awaitable<void> receiveFrames(FrameStream &stream, Session &session)
    {
        for (;;) {
            const auto frame = co_await stream.read(options.lease);
            if (!frame.ok()) {
                co_return;
            }
            if (frame->type != NodeReport::FrameType) {
                if (!co_await hooks.handleFrame(stream, session.state, *frame)) {
                    co_return;
                }
                continue;
            }
            auto report = decodeAs<NodeReport>(*frame);
            if (!report.ok()) {
                co_return;
            }
            if (applyReport(*report)) {
                wakeAll();
            }
            const std::lock_guard lock(sessionsMutex);
            session.report = *std::move(report);
            session.hasReport = true;
            session.notify();
        }
    }

    bool applyReport(const NodeReport &report)
    {
        const std::lock_guard lock(directoryMutex);
        return directory.report(report, clock.now());
    }

    /// Sends updates to a node, and a heartbeat if the directory has not changed.
    asio::awaitable<void> sendUpdates(FrameStream &stream, Session &session)
    {
        Duration delay = options.heartbeat;
        for (;;) {
            if (!session.notified) {
                session.wake.expires_after(delay);
                co_await session.wake.async_wait(AsTuple);
            }
            session.notified = false;
            if (!session.hasReport) {
                continue;
            }
            const Duration requestedDelay = hooks.queueUpdates(stream, session.state);
            delay = requestedDelay > Duration::zero() ? std::min(requestedDelay, options.heartbeat) : options.heartbeat;
            queueDirectory(stream, session);
            const absl::Status status = co_await stream.flush();
            if (!status.ok()) {
                co_return;
            }
        }
    }

    void queueDirectory(FrameStream &stream, Session &session)
    {
        DirectoryUpdate update;
        {
            const std::lock_guard lock(directoryMutex);
            update = directory.updateSince(session.sentSequence);
        }
        const bool changed = update.sequence != session.sentSequence;
        session.sentSequence = update.sequence;
        if (changed) {
            stream.queue(update);
        } else {
            stream.queue(Heartbeat{update.sequence});
        }
    }

    static asio::awaitable<void> runExpiry(std::shared_ptr<Impl> self)
    {
        for (;;) {
            co_await sleepFor(ExpiryInterval);
            bool changed = false;
            {
                const std::lock_guard lock(self->directoryMutex);
                changed = self->directory.expire(self->clock.now());
            }
            if (changed) {
                self->wakeAll();
            }
        }
    }
};

NodeSessions::NodeSessions(Runtime &runtime, const Clock &clock, Options options, Hooks hooks)
    : m_impl(std::make_shared<Impl>(runtime, clock, options, std::move(hooks)))
{
}

NodeSessions::~NodeSessions()
{
    m_impl->listener.stop();
}

absl::Status NodeSessions::start(const Address &address)
{
    if (const absl::Status status = m_impl->listener.start(address); !status.ok()) {
        return status;
    }
    asio::co_spawn(m_impl->runtime.shard(0), Impl::runExpiry(m_impl), asio::detached);
    return absl::OkStatus();
}

const Address &NodeSessions::address() const
{
    return m_impl->listener.address();
}

void NodeSessions::wakeAll()
{
    m_impl->wakeAll();
}

std::vector<NodeReport> NodeSessions::reports() const
{
    const std::lock_guard lock(m_impl->sessionsMutex);
    std::vector<NodeReport> out;
    for (const auto &it : m_impl->sessions) {
        if (it->hasReport) {
            out.push_back(it->report);
        }
    }
    return out;
}

std::size_t NodeSessions::targetCount() const
{
    const std::lock_guard lock(m_impl->directoryMutex);
    return m_impl->directory.size();
}

}
