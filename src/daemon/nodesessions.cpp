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
    /// A session, and how to wake it.
    struct Session {
        explicit Session(const asio::any_io_executor &executor)
            : wake(executor)
        {
        }

        /// Makes the session look for news; called on the session's own event loop.
        void rouse()
        {
            roused = true;
            wake.cancel();
        }

        asio::steady_timer wake;
        bool roused = false;
        NodeReport report;
        bool reported = false;
        std::uint64_t sentSequence = 0;
        NodeSession shared;
    };

    Impl(Runtime &r, const Clock &c, Options o, Hooks h)
        : runtime(r)
        , clock(c)
        , options(o)
        , hooks(std::move(h))
        , directory(options.lease)
        , listener(r, [this](asio::io_context &loop, tcp::socket socket) { take(loop, std::move(socket)); })
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
            asio::post(it->wake.get_executor(), [it] { it->rouse(); });
        }
    }

    void take(asio::io_context &loop, tcp::socket socket)
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
        co_await (self->receive(stream, *session) || self->push(stream, *session));
        const std::lock_guard lock(self->sessionsMutex);
        self->sessions.erase(session);
    }

    /// Takes the reports of a node until its connection is silent.
    asio::awaitable<void> receive(FrameStream &stream, Session &session)
    {
        for (;;) {
            const auto frame = co_await stream.read(options.lease);
            if (!frame.ok()) {
                co_return;
            }
            if (frame->type != NodeReport::FrameType) {
                if (!co_await hooks.takeFrame(stream, session.shared, *frame)) {
                    co_return;
                }
                continue;
            }
            auto report = decodeAs<NodeReport>(*frame);
            if (!report.ok()) {
                co_return;
            }
            if (takeReport(*report)) {
                wakeAll();
            }
            const std::lock_guard lock(sessionsMutex);
            session.report = *std::move(report);
            session.reported = true;
            session.rouse();
        }
    }

    bool takeReport(const NodeReport &report)
    {
        const std::lock_guard lock(directoryMutex);
        return directory.report(report, clock.now());
    }

    /// Sends what is new to a node, and a heartbeat when nothing is.
    asio::awaitable<void> push(FrameStream &stream, Session &session)
    {
        Duration pause = options.heartbeat;
        for (;;) {
            if (!session.roused) {
                session.wake.expires_after(pause);
                co_await session.wake.async_wait(AsTuple);
            }
            session.roused = false;
            if (!session.reported) {
                continue;
            }
            const Duration wanted = hooks.queueNews(stream, session.shared);
            pause = wanted > Duration::zero() ? std::min(wanted, options.heartbeat) : options.heartbeat;
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

    static asio::awaitable<void> expireAll(std::shared_ptr<Impl> self)
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
    asio::co_spawn(m_impl->runtime.shard(0), Impl::expireAll(m_impl), asio::detached);
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
        if (it->reported) {
            out.push_back(it->report);
        }
    }
    return out;
}

std::size_t NodeSessions::targets() const
{
    const std::lock_guard lock(m_impl->directoryMutex);
    return m_impl->directory.size();
}

}
