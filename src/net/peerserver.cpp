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

constexpr Duration IdleLinkBound = std::chrono::minutes(5);
constexpr std::size_t FlushBytes = 256 * 1024;
/// Most of a body that is still read once its request was answered.
constexpr std::size_t MaxLateBodyBytes = 256 * 1024;

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

    /// Sets what is called once the whole body was read.
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
            co_return absl::InvalidArgumentError("an empty part of a body");
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

/// Writes an answer as frames.
class FrameAnswerSink : public AnswerSink
{
public:
    FrameAnswerSink(FrameStream &stream, std::string requestId)
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

    /// Returns whether the other node was told to send the body.
    bool admittedSent() const
    {
        return m_admittedSent;
    }

    /// Notes that the exchange is about to end without an answer.
    void close()
    {
        m_closed = true;
    }

    /// Returns whether signs of life are no longer wanted.
    bool closed() const
    {
        return m_started || m_closed;
    }

    /// Returns whether the head of the answer went out.
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

/// Shows the other node that an exchange is alive until its answer starts.
class LifeSigns : public std::enable_shared_from_this<LifeSigns>
{
public:
    LifeSigns(FrameStream &stream, const FrameAnswerSink &sink, std::string requestId, Duration interval)
        : m_stream(stream)
        , m_sink(sink)
        , m_requestId(std::move(requestId))
        , m_interval(interval)
        , m_timer(stream.executor())
    {
    }

    /// Starts to show signs of life, if any are wanted.
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

    /// Shows no more of them.
    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    static asio::awaitable<void> flush(std::shared_ptr<LifeSigns> self)
    {
        if (!self->m_stopped) {
            co_await self->m_stream.flush();
        }
    }

    FrameStream &m_stream;
    const FrameAnswerSink &m_sink;
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
    Impl(Runtime &runtime, const Clock &c, PeerOptions o, FindTarget find, TellCrashes tell)
        : clock(c)
        , options(o)
        , findTarget(std::move(find))
        , tellCrashes(std::move(tell))
        , listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(shared_from_this(), std::move(socket)), asio::detached);
        })
    {
    }

    const Clock &clock;
    PeerOptions options;
    FindTarget findTarget;
    TellCrashes tellCrashes;
    std::atomic<std::size_t> inProgress = 0;
    Listener listener;

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        FrameStream stream(std::move(socket), MaxExchangePayloadBytes);
        for (;;) {
            const auto frame = co_await stream.read(IdleLinkBound);
            if (!frame.ok()) {
                co_return;
            }
            if (frame->type == CrashLedgerRequest::FrameType && self->tellCrashes) {
                stream.queue(self->tellCrashes());
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
            const bool clean = co_await self->serveOne(stream, *head);
            --self->inProgress;
            if (!clean) {
                co_return;
            }
        }
    }

    /// Serves one exchange and returns whether the connection can carry another one.
    asio::awaitable<bool> serveOne(FrameStream &stream, const RequestHead &head)
    {
        FrameBodySource source(stream, head, options.stallTimeout);
        FrameAnswerSink sink(stream, head.requestId);
        const auto stop = std::make_shared<StopSource>();
        if (source.atEnd()) {
            stream.watchPeer(stop);
        } else {
            source.setOnEnd([&stream, stop] { stream.watchPeer(stop); });
        }
        const auto signs = std::make_shared<LifeSigns>(stream, sink, head.requestId, options.lifeSignInterval);
        signs->start();
        const auto clean = co_await stop->run(runAndAnswer(stream, head, source, sink));
        signs->stop();
        stream.endWatch();
        co_return clean.value_or(false);
    }

    asio::awaitable<bool> runAndAnswer(FrameStream &stream, const RequestHead &head, FrameBodySource &source,
                                       FrameAnswerSink &sink)
    {
        ExchangeResult result;
        const std::shared_ptr<Backend> backend = findTarget(head);
        if (backend) {
            ExchangeProgress progress;
            const TimePoint deadline = clock.now() + std::chrono::milliseconds(head.timeLeftMs);
            result = co_await backend->run(head, source, sink, progress, deadline);
        } else {
            // A holder of a claim that has lost its target does not know what became of the key.
            result.execution = head.toOwner ? Execution::Unknown : Execution::NotRun;
            result.status = 503;
            result.reason = "absent";
        }
        if (result.whole) {
            co_return co_await readToEnd(source);
        }
        sink.close();
        stream.queue(toRefusal(head, result));
        const absl::Status status = co_await stream.flush();
        // A request that was refused before its admission has sent no body.
        const bool bodyAhead = !source.atEnd() && sink.admittedSent();
        co_return status.ok() && !sink.started() && !bodyAhead;
    }

    /// Reads what is left of a request body: a target may answer before the mark of its end has been read.
    asio::awaitable<bool> readToEnd(FrameBodySource &source)
    {
        std::size_t bytes = 0;
        while (!source.atEnd() && bytes < MaxLateBodyBytes) {
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
                       TellCrashes tellCrashes)
    : m_impl(std::make_shared<Impl>(runtime, clock, options, std::move(findTarget), std::move(tellCrashes)))
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
