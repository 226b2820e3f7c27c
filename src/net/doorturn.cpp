#include "net/doorturn.h"

#include "base/text.h"
#include "shallotrelay/base/random.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <random>

namespace shallotrelay
{
namespace
{

constexpr std::size_t ReadAheadBytes = 8 * 1024;
constexpr std::size_t CoalesceBytes = 256 * 1024;
constexpr std::uint16_t CallerGone = 499;
constexpr std::uint16_t GatewayTimeout = 504;
constexpr std::uint16_t ServiceUnavailable = 503;
/// Time in which a caller finds another node.
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(50);
constexpr std::string_view ContinueText = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned Http11 = 11;

std::uint16_t statusOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kUnimplemented:
        return 501;
    case absl::StatusCode::kUnavailable:
        return 503;
    case absl::StatusCode::kOutOfRange:
        return 413;
    case absl::StatusCode::kFailedPrecondition:
        return 417;
    default:
        return 400;
    }
}

/// Returns the request's id: unique without coordination.
std::string newRequestId()
{
    thread_local Random random(std::random_device{}());
    return randomId(random);
}

/// Finds the service that path or host name directly.
absl::Status resolveByName(const CallerHead &caller, CallerRequest *request)
{
    const auto place = findServicePath(caller.target, caller.host);
    if (!place.ok()) {
        return place.status();
    }
    request->head.firm = place->service.firm;
    request->head.service = place->service.service;
    request->head.path = place->path;
    return absl::OkStatus();
}

/// Returns the answer that the system itself makes for a request without a whole answer of a target.
ResponseHead ownAnswer(const ExchangeResult &result, const std::string &requestId, bool fractional, std::string *body)
{
    const std::string execution = toString(result.execution);
    nlohmann::json json = {{"execution", execution}, {"reason", result.reason}, {"request_id", requestId}};
    ResponseHead head;
    head.requestId = requestId;
    head.status = result.status;
    head.reason = std::string(http::obsolete_reason(static_cast<http::status>(result.status)));
    head.headers = {{"Content-Type", "application/json"}, {std::string(ExecutionHeader), execution}};
    if (result.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(result.retryAfter).count();
        head.headers.push_back({"Retry-After", fractional ? fmt::format("{:.3f}", toSeconds(result.retryAfter))
                                                          : std::to_string(seconds)});
        json["retry_after_ms"] = toWholeMilliseconds(result.retryAfter);
    }
    *body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    head.bodyKind = BodyKind::Sized;
    head.contentLength = body->size();
    return head;
}

}

void DoorConnection::wake()
{
    changed.cancel();
    if (watching) {
        boost::system::error_code ignored;
        stream.socket().cancel(ignored);
    }
}

void DoorConnection::abandon()
{
    gone = true;
    closing = true;
    for (const auto &it : turns) {
        it->stop();
    }
}

std::string badInputText(std::uint16_t status, std::string reason, bool fractionalRetryAfter)
{
    ExchangeResult result;
    result.status = status;
    result.reason = std::move(reason);
    std::string body;
    const ResponseHead head = ownAnswer(result, newRequestId(), fractionalRetryAfter, &body);
    return responseHeadText(head, Http11, false, false) + body;
}

/// Reads the request body from the connection.
class DoorTurn::Source : public BodySource
{
public:
    explicit Source(DoorTurn &turn)
        : m_turn(turn)
        , m_connection(turn.m_connection)
        , m_parser(*turn.m_parser)
        , m_expects(!m_parser.get()[http::field::expect].empty() && m_parser.get().version() >= Http11)
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_expects) {
            m_expects = false;
            const bool first = co_await m_turn.untilFirst();
            if (!first) {
                co_return absl::UnavailableError("the connection is over");
            }
            co_await asio::async_write(m_connection.stream, asio::buffer(ContinueText), AsTuple);
        }
        if (m_parser.content_length_remaining().value_or(BodyChunkBytes) > ReadAheadBytes) {
            m_connection.buffer.reserve(BodyChunkBytes);
        }
        std::string data;
        while (data.empty() && !m_parser.is_done()) {
            data.resize(BodyChunkBytes);
            auto &body = m_parser.get().body();
            body.data = data.data();
            body.size = data.size();
            m_connection.stream.expires_after(m_connection.context.options.stallTimeout);
            auto [ec, n] = co_await http::async_read_some(m_connection.stream, m_connection.buffer, m_parser, AsTuple);
            data.resize(data.size() - body.size);
            if (ec && ec != http::error::need_buffer) {
                co_return toStatus(ec, "read the request body");
            }
        }
        m_connection.stream.expires_never();
        if (m_parser.is_done()) {
            m_connection.wake();
        }
        co_return data;
    }

    bool atEnd() const override
    {
        return m_parser.is_done();
    }

private:
    DoorTurn &m_turn;
    DoorConnection &m_connection;
    Parser &m_parser;
    bool m_expects;
};

/// Writes the answer to the connection once it is due.
class DoorTurn::Sink : public CallerSink
{
public:
    explicit Sink(DoorTurn &turn)
        : m_turn(turn)
        , m_connection(turn.m_connection)
        , m_version(turn.m_parser->get().version())
        , m_answersHead(turn.m_parser->get().method() == http::verb::head)
        , m_keepAlive(turn.m_parser->keep_alive())
    {
    }

    void setWantsRetry(WantsRetry wantsRetry) override
    {
        m_wantsRetry = std::move(wantsRetry);
    }

    asio::awaitable<absl::Status> head(const ResponseHead &head, Flush flush) override
    {
        if (m_wantsRetry && m_wantsRetry(head)) {
            co_return absl::AbortedError("the answer is dropped for a new try");
        }
        m_output.clear();
        m_head = head;
        m_head->headers.push_back({std::string(RequestIdHeader), m_turn.m_request.head.requestId});
        const bool streamed = head.bodyKind == BodyKind::Streamed && !m_answersHead;
        m_chunked = streamed && m_version >= Http11;
        m_endsWithConnection = streamed && !m_chunked;
        m_keepAlive = m_keepAlive && !m_endsWithConnection;
        m_sized = head.bodyKind == BodyKind::Sized && !m_answersHead;
        m_bytesLeft = head.contentLength;
        co_return co_await flushIf(flush == Flush::Now && m_connection.context.options.holdBytes == 0);
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush flush) override
    {
        if (m_sized && data.size() > m_bytesLeft) {
            co_return absl::DataLossError("the answer is longer than announced");
        }
        m_bytesLeft -= m_sized ? data.size() : 0;
        if (m_chunked) {
            appendChunk(&m_output, data);
        } else if (m_output.empty()) {
            m_output = std::move(data);
        } else {
            m_output.append(data);
        }
        const bool holds = m_output.size() < m_connection.context.options.holdBytes && !m_committed;
        co_return co_await flushIf(!holds && (flush == Flush::Now || m_output.size() >= CoalesceBytes));
    }

    asio::awaitable<absl::Status> end(const LoadReport &) override
    {
        if (m_sized && m_bytesLeft > 0) {
            co_return absl::DataLossError("the answer is shorter than announced");
        }
        if (m_chunked) {
            appendChunk(&m_output, {});
        }
        co_return co_await flushIf(true);
    }

    asio::awaitable<absl::Status> admitted(const LoadReport &) override
    {
        co_return absl::OkStatus();
    }

    /// An answer that waits for its turn counts, so that it is delivered even when the deadline passes meanwhile.
    bool committed() const override
    {
        return m_committed;
    }

    /// Returns whether the connection can carry another request.
    bool keepsAlive() const
    {
        return m_keepAlive;
    }

    /// Returns whether only the end of the connection tells the caller that the answer is whole.
    bool endsWithConnection() const
    {
        return m_endsWithConnection;
    }

    /// Answers in place of a target.
    asio::awaitable<void> answerItself(const ExchangeResult &result, bool keepAlive)
    {
        m_keepAlive = m_keepAlive && keepAlive;
        m_wantsRetry = nullptr;
        std::string body;
        const ResponseHead own = ownAnswer(result, m_turn.m_request.head.requestId,
                                           m_connection.context.options.fractionalRetryAfter, &body);
        co_await head(own, Flush::WithNext);
        if (!m_answersHead) {
            co_await chunk(std::move(body), Flush::WithNext);
        }
        co_await end({});
    }

private:
    asio::awaitable<absl::Status> flushIf(bool now)
    {
        if (!now || (m_output.empty() && !m_head)) {
            co_return absl::OkStatus();
        }
        m_committed = true;
        const bool first = co_await m_turn.untilFirst();
        if (!first) {
            co_return absl::CancelledError("the connection is over");
        }
        std::string batch = std::exchange(m_output, {});
        if (m_head) {
            // All requests that were read are answered before a connection is closed, so the last one says it.
            m_keepAlive = m_keepAlive && !(m_connection.context.draining && m_turn.isLast());
            m_connection.closing = m_connection.closing || !m_keepAlive;
            batch.insert(0, responseHeadText(*m_head, m_version, m_keepAlive, m_chunked));
            m_head.reset();
        }
        m_connection.stream.expires_after(m_connection.context.options.stallTimeout);
        const auto [ec, n] = co_await asio::async_write(m_connection.stream, asio::buffer(batch), AsTuple);
        m_connection.stream.expires_never();
        co_return toStatus(ec, "write to the caller");
    }

    DoorTurn &m_turn;
    DoorConnection &m_connection;
    unsigned m_version;
    bool m_answersHead;
    bool m_keepAlive;
    bool m_chunked = false;
    bool m_sized = false;
    bool m_endsWithConnection = false;
    bool m_committed = false;
    std::uint64_t m_bytesLeft = 0;
    std::optional<ResponseHead> m_head; // not written yet
    std::string m_output;
    WantsRetry m_wantsRetry;
};

DoorTurn::DoorTurn(DoorConnection &connection)
    : m_connection(connection)
    , m_parser(std::make_unique<Parser>())
    , m_stop(std::make_shared<StopSource>())
    , m_first(connection.stream.get_executor())
{
    m_parser->header_limit(connection.context.options.maxHeadBytes);
    m_parser->body_limit(boost::none);
}

DoorTurn::Parser &DoorTurn::parser()
{
    return *m_parser;
}

void DoorTurn::prepare()
{
    m_refusal = toRequest();
    const bool resolved = m_refusal.ok() || absl::IsNotFound(m_refusal) || absl::IsUnavailable(m_refusal);
    const bool readable = resolved && (m_refusal.ok() || bodyRead());
    m_connection.closing = m_connection.closing || !readable || !m_parser->keep_alive();
}

bool DoorTurn::startsAhead() const
{
    return !m_refusal.ok() || m_request.head.repeatable;
}

asio::awaitable<void> DoorTurn::run(std::shared_ptr<DoorTurn> self)
{
    DoorConnection &connection = self->m_connection;
    DoorContext &context = connection.context;
    const bool ahead = connection.turns.front() != self;
    context.ahead += ahead ? 1 : 0;
    ++context.inProgress;
    if (!connection.gone) {
        co_await self->serve();
    }
    --context.inProgress;
    context.ahead -= ahead ? 1 : 0;
    self->m_over = true;
    std::erase(connection.turns, self);
    if (!connection.turns.empty()) {
        connection.turns.front()->noteFirst();
    }
    connection.wake();
}

void DoorTurn::stop()
{
    m_stop->stop(StopReason::PeerGone);
    m_first.cancel();
}

void DoorTurn::noteFirst()
{
    m_first.cancel();
}

bool DoorTurn::bodyRead() const
{
    return m_parser->is_done();
}

bool DoorTurn::over() const
{
    return m_over;
}

bool DoorTurn::isLast() const
{
    return m_connection.turns.back().get() == this;
}

/// Waits until all requests before this one are answered; returns false if the connection is over.
asio::awaitable<bool> DoorTurn::untilFirst()
{
    while (!m_connection.gone && m_connection.turns.front().get() != this) {
        m_first.expires_at(asio::steady_timer::time_point::max());
        co_await m_first.async_wait(AsTuple);
    }
    co_return !m_connection.gone;
}

absl::Status DoorTurn::toRequest()
{
    const auto &message = m_parser->get();
    const DoorOptions &options = m_connection.context.options;
    RequestHead &head = m_request.head;
    CallerHead caller;
    caller.requestId = std::string(message[std::string(RequestIdHeader)]);
    const bool keepsId = options.keepsRequestIds && !caller.requestId.empty();
    head.requestId = keepsId ? caller.requestId : newRequestId();
    if (const absl::Status status = checkRequestHead(message); !status.ok()) {
        return status;
    }
    const auto wanted = requestedDeadline(message);
    if (!wanted.ok()) {
        return wanted.status();
    }
    caller.method = std::string(message.method_string());
    caller.target = std::string(message.target());
    caller.host = std::string(message[http::field::host]);
    caller.fields = endToEndFields(message);
    const Duration span = std::min(wanted->value_or(options.defaultDeadline), options.maxDeadline);
    m_request.deadline = m_connection.context.clock.now() + span;
    head.method = caller.method;
    head.headers = caller.fields;
    head.idempotencyKey = std::string(message["Idempotency-Key"]);
    head.repeatable = isSafeMethod(head.method);
    const absl::Status resolved
        = options.resolve ? options.resolve(caller, &m_request) : resolveByName(caller, &m_request);
    if (!resolved.ok()) {
        return resolved;
    }
    const auto length = m_parser->content_length();
    if (m_parser->chunked()) {
        head.bodyKind = BodyKind::Streamed;
    } else if (length && *length > 0) {
        head.bodyKind = BodyKind::Sized;
        head.contentLength = *length;
    }
    return absl::OkStatus();
}

asio::awaitable<void> DoorTurn::serve()
{
    Source source(*this);
    Sink sink(*this);
    ExchangeResult result;
    if (!m_refusal.ok()) {
        result.status = statusOf(m_refusal);
        result.reason = std::string(m_refusal.message());
        const bool keeps = !m_connection.closing;
        co_await sink.answerItself(result, keeps);
        co_return;
    }
    if (m_connection.context.refusing) {
        result.status = ServiceUnavailable;
        result.reason = "the node is stopping";
        result.retryAfter = StoppingRetryAfter;
        m_connection.closing = true;
        co_await sink.answerItself(result, !isLast());
        co_return;
    }
    result = co_await dispatch(source, sink);
    if (!result.whole) {
        if (result.status == CallerGone || result.status == 0) {
            m_connection.cutOff = m_connection.cutOff || sink.endsWithConnection();
            m_connection.abandon();
            co_return;
        }
        co_await sink.answerItself(result, source.atEnd());
    }
    if (!sink.keepsAlive() && !isLast()) {
        m_connection.abandon();
    }
    m_connection.closing = m_connection.closing || !source.atEnd();
}

asio::awaitable<ExchangeResult> DoorTurn::dispatch(Source &source, Sink &sink)
{
    const std::shared_ptr<StopSource> stop = m_stop;
    const auto progress = std::make_shared<ExchangeProgress>();
    asio::steady_timer deadline(m_connection.stream.get_executor());
    deadline.expires_at(m_request.deadline);
    deadline.async_wait([stop, &sink](boost::system::error_code ec) {
        // The deadline bounds the time until the answer starts; an answer that has started may go on.
        if (!ec && !stop->done() && !sink.committed()) {
            stop->stop(StopReason::Deadline);
        }
    });
    const auto ended = co_await stop->run(m_connection.context.dispatch(m_request, source, sink, *progress));
    deadline.cancel();
    ExchangeResult result;
    if (ended) {
        result = *ended;
    } else {
        const bool late = stop->reason() == StopReason::Deadline;
        const bool notRun = progress->execution == Execution::NotRun;
        result.status = !late ? CallerGone : notRun ? ServiceUnavailable : GatewayTimeout;
        result.reason = late ? "the deadline passed" : "the caller has gone";
        result.execution = progress->execution;
    }
    if (!result.whole && sink.committed()) {
        // Part of an answer went out; only a closed connection tells the caller that it is not whole.
        result.status = 0;
    }
    co_return result;
}

}
