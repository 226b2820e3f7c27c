#include "net/frontendexchange.h"

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

constexpr std::size_t ReadBufferBytes = 8 * 1024;
constexpr std::size_t CoalesceBytes = 256 * 1024;
constexpr std::uint16_t ClientClosedRequest = 499;
constexpr std::uint16_t GatewayTimeout = 504;
constexpr std::uint16_t ServiceUnavailable = 503;
constexpr std::uint16_t Unauthorized = 401;
/// Time for a caller to find another node.
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(50);
constexpr std::string_view ContinueText = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned Http11 = 11;

std::uint16_t statusOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kUnauthenticated:
        return Unauthorized;
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

/// Returns a random request id, which is unique without coordination.
std::string newRequestId()
{
    thread_local Random random(std::random_device{}());
    return randomId(random);
}

/// Resolves the service that the path or the Host field names.
absl::Status resolveByName(const CallerHead &caller, CallerRequest *request)
{
    const auto servicePath = findServicePath(caller.target, caller.host);
    if (!servicePath.ok()) {
        return servicePath.status();
    }
    request->head.firm = servicePath->service.firm;
    request->head.service = servicePath->service.service;
    request->head.path = servicePath->path;
    return absl::OkStatus();
}

/// Returns the response that the node itself generates when no target gave a complete one.
ResponseHead localResponse(const ExchangeResult &result, const std::string &requestId, bool fractional,
                           std::string *body)
{
    const std::string execution = toString(result.execution);
    nlohmann::json json = {{"execution", execution}, {"reason", result.reason}, {"request_id", requestId}};
    ResponseHead head;
    head.requestId = requestId;
    head.status = result.status;
    head.reason = std::string(http::obsolete_reason(static_cast<http::status>(result.status)));
    head.headers = {{"Content-Type", "application/json"}, {std::string(ExecutionHeader), execution}};
    if (result.status == Unauthorized) {
        head.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
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

void FrontendConnection::wake()
{
    changed.cancel();
    if (waitingForInput) {
        boost::system::error_code ignored;
        stream.socket().cancel(ignored);
    }
}

void FrontendConnection::abandon()
{
    abandoned = true;
    closing = true;
    for (const auto &it : exchanges) {
        it->stop();
    }
}

std::string errorResponseText(std::uint16_t status, std::string reason, bool fractionalRetryAfter)
{
    ExchangeResult result;
    result.status = status;
    result.reason = std::move(reason);
    std::string body;
    const ResponseHead head = localResponse(result, newRequestId(), fractionalRetryAfter, &body);
    return responseHeadText(head, Http11, false, false) + body;
}

/// Reads the request body from the connection.
class FrontendExchange::Source : public BodySource
{
public:
    explicit Source(FrontendExchange &exchange)
        : m_exchange(exchange)
        , m_connection(exchange.m_connection)
        , m_parser(*exchange.m_parser)
        , m_expectsContinue(!m_parser.get()[http::field::expect].empty() && m_parser.get().version() >= Http11)
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_expectsContinue) {
            m_expectsContinue = false;
            const bool first = co_await m_exchange.waitUntilFirst();
            if (!first) {
                co_return absl::UnavailableError("the connection to the caller has ended");
            }
            co_await asio::async_write(m_connection.stream, asio::buffer(ContinueText), AsTuple);
        }
        if (m_parser.content_length_remaining().value_or(BodyChunkBytes) > ReadBufferBytes) {
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
    FrontendExchange &m_exchange;
    FrontendConnection &m_connection;
    Parser &m_parser;
    bool m_expectsContinue;
};

/// Writes the response to the connection once all earlier responses are complete.
class FrontendExchange::Sink : public CallerSink
{
public:
    explicit Sink(FrontendExchange &exchange)
        : m_exchange(exchange)
        , m_connection(exchange.m_connection)
        , m_version(exchange.m_parser->get().version())
        , m_isHeadRequest(exchange.m_parser->get().method() == http::verb::head)
        , m_keepAlive(exchange.m_parser->keep_alive())
    {
    }

    void setShouldDiscard(ShouldDiscard shouldDiscard) override
    {
        m_shouldDiscard = std::move(shouldDiscard);
    }

    asio::awaitable<absl::Status> head(const ResponseHead &head, Flush flush) override
    {
        if (m_shouldDiscard && m_shouldDiscard(head)) {
            co_return absl::AbortedError("the response is discarded in favour of another attempt");
        }
        m_output.clear();
        m_head = head;
        m_head->headers.push_back({std::string(RequestIdHeader), m_exchange.m_request.head.requestId});
        const bool streamed = head.bodyKind == BodyKind::Streamed && !m_isHeadRequest;
        m_chunked = streamed && m_version >= Http11;
        m_closeDelimited = streamed && !m_chunked;
        m_keepAlive = m_keepAlive && !m_closeDelimited;
        m_sized = head.bodyKind == BodyKind::Sized && !m_isHeadRequest;
        m_bytesLeft = head.contentLength;
        co_return co_await flushIf(flush == Flush::Now && m_connection.context.options.responseBufferBytes == 0);
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush flush) override
    {
        if (m_sized && data.size() > m_bytesLeft) {
            co_return absl::DataLossError("the response body is longer than its declared length");
        }
        m_bytesLeft -= m_sized ? data.size() : 0;
        if (m_chunked) {
            appendChunk(&m_output, data);
        } else if (m_output.empty()) {
            m_output = std::move(data);
        } else {
            m_output.append(data);
        }
        const bool buffers = m_output.size() < m_connection.context.options.responseBufferBytes && !m_committed;
        co_return co_await flushIf(!buffers && (flush == Flush::Now || m_output.size() >= CoalesceBytes));
    }

    asio::awaitable<absl::Status> end(const LoadReport &) override
    {
        if (m_sized && m_bytesLeft > 0) {
            co_return absl::DataLossError("the response body is shorter than its declared length");
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

    /// A response that waits for earlier ones counts as committed, so that it is delivered even if its deadline expires
    /// meanwhile.
    bool committed() const override
    {
        return m_committed;
    }

    /// Returns whether the connection stays open for another request.
    bool keepsAlive() const
    {
        return m_keepAlive;
    }

    /// Returns whether the end of the response is marked only by the end of the connection.
    bool closeDelimited() const
    {
        return m_closeDelimited;
    }

    /// Sends a response generated by the node itself.
    asio::awaitable<void> sendLocalResponse(const ExchangeResult &result, bool keepAlive)
    {
        m_keepAlive = m_keepAlive && keepAlive;
        m_shouldDiscard = nullptr;
        std::string body;
        const ResponseHead localHead = localResponse(result, m_exchange.m_request.head.requestId,
                                                     m_connection.context.options.fractionalRetryAfter, &body);
        co_await head(localHead, Flush::WithNext);
        if (!m_isHeadRequest) {
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
        const bool first = co_await m_exchange.waitUntilFirst();
        if (!first) {
            co_return absl::CancelledError("the connection to the caller has ended");
        }
        std::string batch = std::exchange(m_output, {});
        if (m_head) {
            // Every request that was read gets a response before the connection closes, so only the last one announces
            // it.
            m_keepAlive = m_keepAlive && !(m_connection.context.draining && m_exchange.isLast());
            m_connection.closing = m_connection.closing || !m_keepAlive;
            batch.insert(0, responseHeadText(*m_head, m_version, m_keepAlive, m_chunked));
            m_head.reset();
        }
        co_return co_await writePaced(batch);
    }

    asio::awaitable<absl::Status> writePaced(std::string_view bytes)
    {
        const FrontendOptions &options = m_connection.context.options;
        boost::system::error_code ec;
        while (!ec && !bytes.empty()) {
            std::size_t piece = bytes.size();
            if (options.pace) {
                piece = co_await options.pace(m_exchange.m_request, m_bytesWritten, bytes.size());
            }
            m_connection.stream.expires_after(options.stallTimeout);
            std::tie(ec, std::ignore)
                = co_await asio::async_write(m_connection.stream, asio::buffer(bytes.substr(0, piece)), AsTuple);
            m_connection.stream.expires_never();
            m_bytesWritten += piece;
            bytes.remove_prefix(piece);
        }
        co_return toStatus(ec, "write to the caller");
    }

    FrontendExchange &m_exchange;
    FrontendConnection &m_connection;
    unsigned m_version;
    bool m_isHeadRequest;
    bool m_keepAlive;
    bool m_chunked = false;
    bool m_sized = false;
    bool m_closeDelimited = false;
    bool m_committed = false;
    std::uint64_t m_bytesLeft = 0;
    std::size_t m_bytesWritten = 0;
    std::optional<ResponseHead> m_head; // not written yet
    std::string m_output;
    ShouldDiscard m_shouldDiscard;
};

FrontendExchange::FrontendExchange(FrontendConnection &connection)
    : m_connection(connection)
    , m_parser(std::make_unique<Parser>())
    , m_stopSource(std::make_shared<StopSource>())
    , m_becameFirst(connection.stream.get_executor())
{
    m_parser->header_limit(connection.context.options.maxHeadBytes);
    m_parser->body_limit(boost::none);
}

FrontendExchange::Parser &FrontendExchange::parser()
{
    return *m_parser;
}

void FrontendExchange::prepare()
{
    m_refusal = buildRequest();
    const bool resolved = m_refusal.ok() || absl::IsNotFound(m_refusal) || absl::IsUnavailable(m_refusal)
                          || absl::IsUnauthenticated(m_refusal);
    const bool readable = resolved && (m_refusal.ok() || bodyComplete());
    m_connection.closing = m_connection.closing || !readable || !m_parser->keep_alive();
}

bool FrontendExchange::mayRunPipelined() const
{
    return !m_refusal.ok() || m_request.head.repeatable;
}

asio::awaitable<void> FrontendExchange::run(std::shared_ptr<FrontendExchange> self)
{
    FrontendConnection &connection = self->m_connection;
    FrontendContext &context = connection.context;
    const bool pipelined = connection.exchanges.front() != self;
    context.pipelined += pipelined ? 1 : 0;
    ++context.inProgress;
    if (!connection.abandoned) {
        co_await self->serve();
    }
    --context.inProgress;
    context.pipelined -= pipelined ? 1 : 0;
    self->m_finished = true;
    std::erase(connection.exchanges, self);
    if (!connection.exchanges.empty()) {
        connection.exchanges.front()->notifyFirst();
    }
    connection.wake();
}

void FrontendExchange::stop()
{
    m_stopSource->stop(StopReason::PeerDisconnected);
    m_becameFirst.cancel();
}

void FrontendExchange::notifyFirst()
{
    m_becameFirst.cancel();
}

bool FrontendExchange::bodyComplete() const
{
    return m_parser->is_done();
}

bool FrontendExchange::finished() const
{
    return m_finished;
}

bool FrontendExchange::isLast() const
{
    return m_connection.exchanges.back().get() == this;
}

/// Waits until all earlier responses are complete; returns false if the connection was abandoned.
asio::awaitable<bool> FrontendExchange::waitUntilFirst()
{
    while (!m_connection.abandoned && m_connection.exchanges.front().get() != this) {
        m_becameFirst.expires_at(asio::steady_timer::time_point::max());
        co_await m_becameFirst.async_wait(AsTuple);
    }
    co_return !m_connection.abandoned;
}

absl::Status FrontendExchange::buildRequest()
{
    const auto &message = m_parser->get();
    const FrontendOptions &options = m_connection.context.options;
    RequestHead &head = m_request.head;
    CallerHead caller;
    caller.requestId = std::string(message[std::string(RequestIdHeader)]);
    const bool keepsId = options.acceptsRequestIds && !caller.requestId.empty();
    head.requestId = keepsId ? caller.requestId : newRequestId();
    if (const absl::Status status = checkRequestHead(message); !status.ok()) {
        return status;
    }
    const auto requested = requestedDeadline(message);
    if (!requested.ok()) {
        return requested.status();
    }
    caller.method = std::string(message.method_string());
    caller.target = std::string(message.target());
    caller.host = std::string(message[http::field::host]);
    caller.fields = endToEndFields(message);
    const Duration timeout = std::min(requested->value_or(options.defaultDeadline), options.maxDeadline);
    m_request.deadline = m_connection.context.clock.now() + timeout;
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

asio::awaitable<void> FrontendExchange::serve()
{
    Source source(*this);
    Sink sink(*this);
    ExchangeResult result;
    if (!m_refusal.ok()) {
        result.status = statusOf(m_refusal);
        result.reason = std::string(m_refusal.message());
        result.retryAfter = m_request.retryAfter;
        const bool keepAlive = !m_connection.closing;
        co_await sink.sendLocalResponse(result, keepAlive);
        co_return;
    }
    if (m_connection.context.rejecting) {
        result.status = ServiceUnavailable;
        result.reason = "the node is stopping";
        result.retryAfter = StoppingRetryAfter;
        m_connection.closing = true;
        co_await sink.sendLocalResponse(result, !isLast());
        co_return;
    }
    result = co_await dispatch(source, sink);
    if (!result.whole) {
        if (result.status == ClientClosedRequest || result.status == 0) {
            m_connection.truncated = m_connection.truncated || sink.closeDelimited();
            m_connection.abandon();
            co_return;
        }
        co_await sink.sendLocalResponse(result, source.atEnd());
    }
    if (!sink.keepsAlive() && !isLast()) {
        m_connection.abandon();
    }
    m_connection.closing = m_connection.closing || !source.atEnd();
}

asio::awaitable<ExchangeResult> FrontendExchange::dispatch(Source &source, Sink &sink)
{
    const std::shared_ptr<StopSource> stop = m_stopSource;
    const auto progress = std::make_shared<ExchangeProgress>();
    asio::steady_timer deadline(m_connection.stream.get_executor());
    deadline.expires_at(m_request.deadline);
    deadline.async_wait([stop, &sink](boost::system::error_code ec) {
        // The deadline applies to the start of the response; a response that has started may continue past it.
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
        const bool deadlineExpired = stop->reason() == StopReason::Deadline;
        const bool notRun = progress->execution == Execution::NotRun;
        result.status = !deadlineExpired ? ClientClosedRequest : notRun ? ServiceUnavailable : GatewayTimeout;
        result.reason
            = deadlineExpired ? "the deadline expired before the response started" : "the caller disconnected";
        result.execution = progress->execution;
    }
    if (!result.whole && sink.committed()) {
        // Part of the response may have been sent; only closing the connection tells the caller that it is truncated.
        result.status = 0;
    }
    co_return result;
}

}
