#include "net/connectionpool.h"
#include "net/framestream.h"
#include "net/httpfields.h"
#include "net/peerprotocol.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>

namespace shallotrelay
{
namespace
{

using StreamPointer = std::unique_ptr<FrameStream>;

constexpr std::size_t MaxIdleConnections = 32;

}

struct PeerLink::Impl {
    Address address;
    const Clock &clock;
    PeerOptions options;
    ConnectionPool<FrameStream> idle;
};

/// One exchange on one connection.
class PeerLink::Exchange
{
public:
    Exchange(Impl &impl, const RequestHead &head, BodySource &source, ResponseSink &sink, ExchangeProgress &progress)
        : m_impl(impl)
        , m_head(head)
        , m_source(source)
        , m_sink(sink)
        , m_progress(progress)
        , m_start(impl.clock.now())
    {
    }

    asio::awaitable<ExchangeResult> run()
    {
        m_executor = co_await asio::this_coro::executor;
        auto stream = co_await open();
        if (!stream.ok()) {
            m_result.status = 503;
            m_result.reason = std::string(stream.status().message());
            m_result.unreachable = true;
            co_return m_result;
        }
        const absl::Status status = co_await sendAndRelay(**stream);
        co_await throwIfCancelled();
        if (m_finished) {
            returnToPool(*std::move(stream));
        } else {
            m_result.whole = false;
            m_result.execution = m_progress.execution;
            m_result.reason = std::string(status.message());
            m_result.status = m_result.status == 0 || m_result.status < 500 ? 502 : m_result.status;
            m_result.unreachable = status.code() != absl::StatusCode::kAborted;
        }
        co_return m_result;
    }

private:
    asio::awaitable<absl::StatusOr<StreamPointer>> open()
    {
        while (StreamPointer idle = m_impl.idle.take(m_executor)) {
            if (!idle->stale()) {
                co_return idle;
            }
        }
        const TimePoint begun = m_impl.clock.now();
        auto socket = co_await connectTo(m_executor, m_impl.address, m_impl.options.connectTimeout);
        if (!socket.ok()) {
            co_return socket.status();
        }
        m_result.roundTrip = m_impl.clock.now() - begun;
        co_return std::make_unique<FrameStream>(*std::move(socket), MaxPeerPayloadBytes);
    }

    void returnToPool(StreamPointer stream)
    {
        const bool bodySent = m_head.bodyKind == BodyKind::None || m_bodySent;
        if (bodySent) {
            m_impl.idle.put(m_executor, std::move(stream), MaxIdleConnections);
        }
    }

    asio::awaitable<absl::Status> sendAndRelay(FrameStream &stream)
    {
        using namespace asio::experimental::awaitable_operators;
        stream.queue(m_head);
        m_progress.execution = Execution::Unknown;
        if (const absl::Status status = co_await stream.flush(); !status.ok()) {
            co_return status;
        }
        if (m_head.bodyKind == BodyKind::None) {
            co_return co_await relayResponse(stream);
        }
        if (const absl::Status status = co_await waitForAdmission(stream); !status.ok() || m_finished) {
            co_return status;
        }
        const auto first = co_await (relayResponse(stream) || relayBody(stream));
        co_return first.index() == 0 ? std::get<0>(first) : std::get<1>(first);
    }

    /// Waits until the guard has admitted the request: the body is sent only then, so that a refused request can still
    /// be offered to another target.
    asio::awaitable<absl::Status> waitForAdmission(FrameStream &stream)
    {
        for (;;) {
            const auto frame = co_await stream.read(m_impl.options.silenceTimeout);
            if (!frame.ok()) {
                co_return frame.status();
            }
            if (frame->type == Waiting::FrameType) {
                continue;
            }
            if (frame->type == Refusal::FrameType) {
                co_return handleRefusal(*frame);
            }
            const auto admitted = decodeAs<Admitted>(*frame);
            co_return admitted.status();
        }
    }

    asio::awaitable<absl::Status> relayBody(FrameStream &stream)
    {
        for (;;) {
            auto part = co_await m_source.read();
            if (!part.ok()) {
                co_return part.status();
            }
            const bool end = part->empty();
            if (end) {
                stream.queue(BodyEnd{m_head.requestId, {}});
            } else {
                stream.queue(BodyChunk{*std::move(part)});
            }
            const absl::Status status = co_await stream.flush();
            m_bodySent = end && status.ok();
            if (end || !status.ok()) {
                co_await sleepForever();
            }
        }
    }

    asio::awaitable<absl::Status> relayResponse(FrameStream &stream)
    {
        for (;;) {
            const Duration idle
                = m_progress.responseStarted ? m_impl.options.stallTimeout : m_impl.options.silenceTimeout;
            const auto frame = co_await stream.read(idle);
            if (!frame.ok()) {
                co_return frame.status();
            }
            const absl::Status status
                = co_await handleFrame(*frame, stream.hasBufferedInput() ? Flush::WithNext : Flush::Now);
            if (!status.ok() || m_finished) {
                co_return status;
            }
        }
    }

    asio::awaitable<absl::Status> handleFrame(const Frame &frame, Flush flush)
    {
        switch (frame.type) {
        case Waiting::FrameType:
            co_return absl::OkStatus();
        case ResponseHead::FrameType:
            co_return co_await handleHead(frame, flush);
        case BodyChunk::FrameType:
            co_return co_await handleChunk(frame, flush);
        case BodyEnd::FrameType:
            co_return co_await handleEnd(frame);
        case Refusal::FrameType:
            co_return handleRefusal(frame);
        default:
            co_return absl::InvalidArgumentError("the peer sent a frame of an unexpected type");
        }
    }

    asio::awaitable<absl::Status> handleHead(const Frame &frame, Flush flush)
    {
        auto head = decodeAs<ResponseHead>(frame);
        if (!head.ok()) {
            co_return head.status();
        }
        if (head->requestId != m_head.requestId || m_progress.responseStarted) {
            co_return absl::InvalidArgumentError(
                "the peer sent a response head for another request or a second one for this request");
        }
        if (!isFinalStatus(head->status)) {
            co_return absl::InvalidArgumentError("the peer sent a response head with an invalid status");
        }
        m_progress.execution = Execution::Ran;
        m_result.status = head->status;
        m_result.headLatency = m_impl.clock.now() - m_start;
        recordLoad(head->load);
        const absl::Status status = co_await m_sink.head(*head, flush);
        m_progress.responseStarted = status.ok();
        co_return status;
    }

    asio::awaitable<absl::Status> handleChunk(const Frame &frame, Flush flush)
    {
        auto chunk = decodeAs<BodyChunk>(frame);
        if (!chunk.ok()) {
            co_return chunk.status();
        }
        if (!m_progress.responseStarted) {
            co_return absl::InvalidArgumentError("the peer sent a response body before the response head");
        }
        m_result.responseBytes += chunk->data.size();
        co_return co_await m_sink.chunk(std::move(chunk->data), flush);
    }

    asio::awaitable<absl::Status> handleEnd(const Frame &frame)
    {
        const auto end = decodeAs<BodyEnd>(frame);
        if (!end.ok()) {
            co_return end.status();
        }
        if (end->requestId != m_head.requestId || !m_progress.responseStarted) {
            co_return absl::InvalidArgumentError(
                "the peer sent the end of a response for another request or before the response head");
        }
        recordLoad(end->load);
        m_result.execution = Execution::Ran;
        const absl::Status status = co_await m_sink.end(end->load);
        m_result.whole = status.ok();
        m_finished = status.ok();
        co_return status;
    }

    absl::Status handleRefusal(const Frame &frame)
    {
        const auto refusal = decodeAs<Refusal>(frame);
        if (!refusal.ok()) {
            return refusal.status();
        }
        if (refusal->requestId != m_head.requestId) {
            return absl::InvalidArgumentError("the peer sent a refusal for another request");
        }
        if (m_progress.responseStarted) {
            return absl::UnavailableError("the response was truncated: " + refusal->reason);
        }
        m_progress.execution = refusal->execution;
        m_result.execution = refusal->execution;
        m_result.status = refusal->status;
        m_result.reason = refusal->reason;
        m_result.retryAfter = std::chrono::milliseconds(refusal->retryAfterMs);
        m_result.claimHeld = refusal->claimHeld;
        m_result.ownerAddress = refusal->ownerAddress;
        m_result.ownerTarget = refusal->ownerTarget;
        m_result.unreachable = refusal->targetFailed;
        m_result.reachedTarget = refusal->reachedTarget;
        m_result.everywhere = refusal->everywhere;
        recordLoad(refusal->load);
        m_finished = true;
        return absl::OkStatus();
    }

    void recordLoad(const LoadReport &load)
    {
        m_result.load = load;
        m_result.hasLoadReport = true;
    }

    Impl &m_impl;
    const RequestHead &m_head;
    BodySource &m_source;
    ResponseSink &m_sink;
    ExchangeProgress &m_progress;
    TimePoint m_start;
    ExchangeResult m_result;
    asio::any_io_executor m_executor;
    bool m_bodySent = false;
    bool m_finished = false;
};

PeerLink::PeerLink(Address address, const Clock &clock, PeerOptions options)
    : m_impl(new Impl{std::move(address), clock, options, {}})
{
}

PeerLink::~PeerLink() = default;

asio::awaitable<ExchangeResult> PeerLink::run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                              ExchangeProgress &progress, TimePoint)
{
    Exchange exchange(*m_impl, head, source, sink, progress);
    co_return co_await exchange.run();
}

asio::awaitable<absl::StatusOr<CrashLedgerState>> fetchCrashLedger(Address address, CrashLedgerRequest request,
                                                                   PeerOptions options)
{
    auto socket = co_await connectTo(co_await asio::this_coro::executor, address, options.connectTimeout);
    if (!socket.ok()) {
        co_return socket.status();
    }
    FrameStream stream(*std::move(socket), MaxPeerPayloadBytes);
    stream.queue(request);
    if (const absl::Status status = co_await stream.flush(); !status.ok()) {
        co_return status;
    }
    const auto frame = co_await stream.read(options.connectTimeout);
    if (!frame.ok()) {
        co_return frame.status();
    }
    co_return decodeAs<CrashLedgerState>(*frame);
}

}
