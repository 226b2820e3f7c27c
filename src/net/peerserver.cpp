#include "net/framestream.h"
#include "net/listener.h"
#include "net/peerprotocol.h"
#include "net/stopsource.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <atomic>

namespace shallotrelay
{
namespace
{

constexpr Duration IdleConnectionTimeout = std::chrono::minutes(5);
constexpr std::size_t FlushBytes = 256 * 1024;
/// Maximum number of body bytes that are read and discarded after the response to their request or its refusal.
constexpr std::size_t MaxDrainedBodyBytes = 1024 * 1024;

/// Reads a request body from frames.
class FrameBodySource : public BodySource
{
public:
    FrameBodySource(FrameStream &stream, const RequestHead &head, Duration timeout)
        : m_stream(stream)
        , m_head(head)
        , m_timeout(timeout)
        , m_atEnd(head.bodyKind == BodyKind::None)
    {
    }

    /// Sets the function that is called when the complete body was read.
    void setOnEnd(std::function<void()> onEnd)
    {
        m_onEnd = std::move(onEnd);
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_atEnd) {
            co_return std::string();
        }
        const auto frame = co_await m_stream.read(m_timeout);
        if (!frame.ok()) {
            co_return frame.status();
        }
        if (frame->type == BodyEnd::FrameType) {
            const auto end = decodeAs<BodyEnd>(*frame);
            m_atEnd = end.ok();
            if (m_atEnd && m_onEnd) {
                m_onEnd();
            }
            co_return end.ok() ? absl::StatusOr<std::string>(std::string()) : end.status();
        }
        auto chunk = decodeAs<BodyChunk>(*frame);
        if (!chunk.ok()) {
            co_return chunk.status();
        }
        if (chunk->data.empty()) {
            co_return absl::InvalidArgumentError("the peer sent an empty body chunk");
        }
        co_return std::move(chunk->data);
    }

    bool atEnd() const override
    {
        return m_atEnd;
    }

private:
    FrameStream &m_stream;
    const RequestHead &m_head;
    Duration m_timeout;
    bool m_atEnd;
    std::function<void()> m_onEnd;
};

/// Writes a response as frames.
class FrameResponseSink : public ResponseSink
{
public:
    FrameResponseSink(FrameStream &stream, std::string requestId)
        : m_stream(stream)
        , m_requestId(std::move(requestId))
    {
    }

    asio::awaitable<absl::Status> head(const ResponseHead &head, Flush flush) override
    {
        m_started = true;
        m_stream.queue(head);
        co_return co_await flushIf(flush == Flush::Now);
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush flush) override
    {
        m_queued += data.size();
        m_stream.queue(BodyChunk{std::move(data)});
        co_return co_await flushIf(flush == Flush::Now || m_queued >= FlushBytes);
    }

    asio::awaitable<absl::Status> end(const LoadReport &load) override
    {
        m_stream.queue(BodyEnd{m_requestId, load});
        co_return co_await flushIf(true);
    }

    asio::awaitable<absl::Status> admitted(const LoadReport &load) override
    {
        m_admittedSent = true;
        m_stream.queue(Admitted{m_requestId, load});
        co_return co_await m_stream.flush();
    }

    /// Returns whether an admission, which makes the peer send the body, was sent.
    bool admittedSent() const
    {
        return m_admittedSent;
    }

    /// Records that the exchange ends without a complete response.
    void close()
    {
        m_closed = true;
    }

    /// Returns whether keep-alive frames are no longer needed.
    bool closed() const
    {
        return m_started || m_closed;
    }

    /// Returns whether the response head was sent or queued.
    bool started() const
    {
        return m_started;
    }

private:
    asio::awaitable<absl::Status> flushIf(bool now)
    {
        if (!now) {
            co_return absl::OkStatus();
        }
        m_queued = 0;
        co_return co_await m_stream.flush();
    }

    FrameStream &m_stream;
    std::string m_requestId;
    std::size_t m_queued = 0;
    bool m_started = false;
    bool m_closed = false;
    bool m_admittedSent = false;
};

/// Sends keep-alive frames to the peer until the response of an exchange starts.
class KeepAliveSender : public std::enable_shared_from_this<KeepAliveSender>
{
public:
    KeepAliveSender(FrameStream &stream, const FrameResponseSink &sink, std::string requestId, Duration interval)
        : m_stream(stream)
        , m_sink(sink)
        , m_requestId(std::move(requestId))
        , m_interval(interval)
        , m_timer(stream.executor())
    {
    }

    /// Starts sending keep-alive frames, unless the interval is zero.
    void start()
    {
        if (m_interval <= Duration::zero()) {
            return;
        }
        m_timer.expires_after(m_interval);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
            if (!ec && !self->m_stopped && !self->m_sink.closed()) {
                self->m_stream.queue(Waiting{self->m_requestId, {}});
                asio::co_spawn(self->m_timer.get_executor(), flush(self), asio::detached);
                self->start();
            }
        });
    }

    /// Stops sending keep-alive frames.
    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    static asio::awaitable<void> flush(std::shared_ptr<KeepAliveSender> self)
    {
        if (!self->m_stopped) {
            co_await self->m_stream.flush();
        }
    }

    FrameStream &m_stream;
    const FrameResponseSink &m_sink;
    std::string m_requestId;
    Duration m_interval;
    asio::steady_timer m_timer;
    bool m_stopped = false;
};

Refusal toRefusal(const RequestHead &head, const ExchangeResult &result)
{
    Refusal refusal;
    refusal.requestId = head.requestId;
    refusal.execution = result.execution;
    refusal.status = result.status;
    refusal.reason = result.reason;
    refusal.retryAfterMs = toWholeMilliseconds(result.retryAfter);
    refusal.claimHeld = result.claimHeld;
    refusal.ownerAddress = result.ownerAddress;
    refusal.ownerTarget = result.ownerTarget;
    refusal.targetFailed = result.unreachable;
    refusal.reachedTarget = result.reachedTarget;
    refusal.everywhere = result.everywhere;
    refusal.load = result.load;
    return refusal;
}

}

struct PeerServer::Impl : std::enable_shared_from_this<PeerServer::Impl> {
    Impl(Runtime &runtime, const Clock &c, PeerOptions o, FindTarget find, ReadCrashLedger readLedger)
        : clock(c)
        , options(o)
        , findTarget(std::move(find))
        , readCrashLedger(std::move(readLedger))
        , listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(shared_from_this(), std::move(socket)), asio::detached);
        })
    {
    }

    const Clock &clock;
    PeerOptions options;
    FindTarget findTarget;
    ReadCrashLedger readCrashLedger;
    std::atomic<std::size_t> inProgress = 0;
    Listener listener;

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        FrameStream stream(std::move(socket), MaxPeerPayloadBytes);
        for (;;) {
            const auto frame = co_await stream.read(IdleConnectionTimeout);
            if (!frame.ok()) {
                co_return;
            }
            if (frame->type == CrashLedgerRequest::FrameType && self->readCrashLedger) {
                stream.queue(self->readCrashLedger());
                if (const absl::Status status = co_await stream.flush(); !status.ok()) {
                    co_return;
                }
                continue;
            }
            const auto head = decodeAs<RequestHead>(*frame);
            if (!head.ok()) {
                co_return;
            }
            ++self->inProgress;
            const bool reusable = co_await self->serveOne(stream, *head);
            --self->inProgress;
            if (!reusable) {
                co_return;
            }
        }
    }

    /// Serves one exchange and returns whether the connection can carry another one.
    asio::awaitable<bool> serveOne(FrameStream &stream, const RequestHead &head)
    {
        FrameBodySource source(stream, head, options.stallTimeout);
        FrameResponseSink sink(stream, head.requestId);
        const auto stop = std::make_shared<StopSource>();
        if (source.atEnd()) {
            stream.watchPeer(stop);
        } else {
            source.setOnEnd([&stream, stop] { stream.watchPeer(stop); });
        }
        const auto keepAlive
            = std::make_shared<KeepAliveSender>(stream, sink, head.requestId, options.keepAliveInterval);
        keepAlive->start();
        const auto reusable = co_await stop->run(runAndRespond(stream, head, source, sink));
        keepAlive->stop();
        stream.stopWatchingPeer();
        co_return reusable.value_or(false);
    }

    asio::awaitable<bool> runAndRespond(FrameStream &stream, const RequestHead &head, FrameBodySource &source,
                                        FrameResponseSink &sink)
    {
        ExchangeResult result;
        const std::shared_ptr<Backend> backend = findTarget(head);
        if (backend) {
            ExchangeProgress progress;
            const TimePoint deadline = clock.now() + std::chrono::milliseconds(head.timeLeftMs);
            result = co_await backend->run(head, source, sink, progress, deadline);
        } else {
            // If this node holds the claim to the key but has lost the target, it does not know whether the request
            // ran.
            result.execution = head.toOwner ? Execution::Unknown : Execution::NotRun;
            result.status = 503;
            result.reason = "absent";
        }
        if (result.whole) {
            co_return co_await drainBody(source);
        }
        sink.close();
        stream.queue(toRefusal(head, result));
        const absl::Status status = co_await stream.flush();
        // The peer sends the body only after the admission, so none follows a request that was refused before it.
        const bool bodyPending = !source.atEnd() && sink.admittedSent();
        if (status.ok() && bodyPending) {
            // Closing a socket with unread input would reset the connection, and the peer might lose the refusal.
            co_return co_await drainBody(source) && !sink.started();
        }
        co_return status.ok() && !sink.started() && !bodyPending;
    }

    /// Reads and discards the rest of a request body: a target may respond before the end of the body has been read.
    asio::awaitable<bool> drainBody(FrameBodySource &source)
    {
        std::size_t bytes = 0;
        while (!source.atEnd() && bytes < MaxDrainedBodyBytes) {
            const auto part = co_await source.read();
            if (!part.ok()) {
                co_return false;
            }
            bytes += part->size();
        }
        co_return source.atEnd();
    }
};

PeerServer::PeerServer(Runtime &runtime, const Clock &clock, PeerOptions options, FindTarget findTarget,
                       ReadCrashLedger readCrashLedger)
    : m_impl(std::make_shared<Impl>(runtime, clock, options, std::move(findTarget), std::move(readCrashLedger)))
{
}

PeerServer::~PeerServer()
{
    stopAccepting();
}

absl::Status PeerServer::start(const Address &address)
{
    return m_impl->listener.start(address);
}

std::uint16_t PeerServer::port() const
{
    return m_impl->listener.address().port;
}

void PeerServer::stopAccepting()
{
    m_impl->listener.stop();
}

std::size_t PeerServer::inProgress() const
{
    return m_impl->inProgress;
}

}
