#include "net/doorsession.h"

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
constexpr std::size_t LingerBytes = 1024 * 1024;
constexpr Duration LingerBound = std::chrono::seconds(1);
constexpr std::string_view ContinueText = "HTTP/1.1 100 Continue\r\n\r\n";

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

std::uint16_t statusOf(const boost::system::error_code &ec)
{
    if (ec == boost::beast::error::timeout) {
        return 408;
    }
    return ec == http::error::header_limit ? 431 : 400;
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

/// Reads the request body from the connection.
class DoorSession::Source : public BodySource
{
public:
    explicit Source(DoorSession &session)
        : m_session(session)
        , m_expects(!session.m_parser->get()[http::field::expect].empty() && session.m_parser->get().version() >= 11)
    {
    }

    /// Sets what is called once the whole body was read.
    void setOnEnd(std::function<void()> onEnd)
    {
        m_onEnd = std::move(onEnd);
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_expects) {
            m_expects = false;
            co_await asio::async_write(m_session.m_stream, asio::buffer(ContinueText), AsTuple);
        }
        auto &parser = *m_session.m_parser;
        if (parser.content_length_remaining().value_or(BodyChunkBytes) > ReadAheadBytes) {
            m_session.m_buffer.reserve(BodyChunkBytes);
        }
        std::string data;
        while (data.empty() && !parser.is_done()) {
            data.resize(BodyChunkBytes);
            auto &body = parser.get().body();
            body.data = data.data();
            body.size = data.size();
            m_session.m_stream.expires_after(m_session.m_context.options.stallTimeout);
            auto [ec, n] = co_await http::async_read_some(m_session.m_stream, m_session.m_buffer, parser, AsTuple);
            data.resize(data.size() - body.size);
            if (ec && ec != http::error::need_buffer) {
                co_return toStatus(ec, "read the request body");
            }
        }
        m_session.m_stream.expires_never();
        if (parser.is_done() && m_onEnd) {
            const auto onEnd = std::exchange(m_onEnd, nullptr);
            onEnd();
        }
        co_return data;
    }

    bool atEnd() const override
    {
        return m_session.m_parser->is_done();
    }

private:
    DoorSession &m_session;
    bool m_expects;
    std::function<void()> m_onEnd;
};

/// Writes the answer to the connection.
class DoorSession::Sink : public CallerSink
{
public:
    Sink(DoorSession &session, std::string requestId)
        : m_session(session)
        , m_requestId(std::move(requestId))
        , m_version(session.m_parser->get().version())
        , m_answersHead(session.m_parser->get().method() == http::verb::head)
        , m_keepAlive(session.keepAlive())
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
        ResponseHead out = head;
        out.headers.push_back({std::string(RequestIdHeader), m_requestId});
        const bool streamed = head.bodyKind == BodyKind::Streamed && !m_answersHead;
        m_chunked = streamed && m_version >= 11;
        m_keepAlive = m_keepAlive && (m_chunked || !streamed);
        m_sized = head.bodyKind == BodyKind::Sized && !m_answersHead;
        m_bytesLeft = head.contentLength;
        m_output = responseHeadText(out, m_version, m_keepAlive, m_chunked);
        co_return co_await flushIf(flush == Flush::Now && m_session.m_context.options.holdBytes == 0);
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
        const bool holds = m_output.size() < m_session.m_context.options.holdBytes && !m_committed;
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

    bool committed() const override
    {
        return m_committed;
    }

    /// Returns whether the connection can carry another request.
    bool keepsAlive() const
    {
        return m_keepAlive;
    }

    /// Answers in place of a target.
    asio::awaitable<void> answerItself(const ExchangeResult &result, bool keepAlive)
    {
        m_keepAlive = m_keepAlive && keepAlive;
        m_wantsRetry = nullptr;
        std::string body;
        const ResponseHead own
            = ownAnswer(result, m_requestId, m_session.m_context.options.fractionalRetryAfter, &body);
        co_await head(own, Flush::WithNext);
        if (!m_answersHead) {
            co_await chunk(std::move(body), Flush::WithNext);
        }
        co_await end({});
    }

private:
    asio::awaitable<absl::Status> flushIf(bool now)
    {
        if (!now || m_output.empty()) {
            co_return absl::OkStatus();
        }
        const std::string batch = std::exchange(m_output, {});
        m_committed = true;
        m_session.m_stream.expires_after(m_session.m_context.options.stallTimeout);
        const auto [ec, n] = co_await asio::async_write(m_session.m_stream, asio::buffer(batch), AsTuple);
        m_session.m_stream.expires_never();
        co_return toStatus(ec, "write to the caller");
    }

    DoorSession &m_session;
    std::string m_requestId;
    unsigned m_version;
    bool m_answersHead;
    bool m_keepAlive;
    bool m_chunked = false;
    bool m_sized = false;
    bool m_committed = false;
    std::uint64_t m_bytesLeft = 0;
    std::string m_output;
    WantsRetry m_wantsRetry;
};

DoorSession::DoorSession(DoorContext &context, tcp::socket socket)
    : m_context(context)
    , m_stream(std::move(socket))
{
}

asio::awaitable<void> DoorSession::run()
{
    while (co_await waitForRequest()) {
        if (!co_await readHead()) {
            break;
        }
        m_served = true;
        ++m_context.inProgress;
        const bool goOn = co_await serveRequest();
        --m_context.inProgress;
        if (!goOn) {
            break;
        }
        m_parser.reset();
        m_buffer.shrink_to_fit();
    }
    co_await lingerAndClose();
}

/// Lets the caller read the last answer: a connection that is closed with unread input would be reset.
asio::awaitable<void> DoorSession::lingerAndClose()
{
    boost::system::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    m_stream.expires_after(LingerBound);
    std::string scrap(ReadAheadBytes, '\0');
    std::size_t total = 0;
    while (!ec && total < LingerBytes) {
        std::size_t n = 0;
        std::tie(ec, n) = co_await m_stream.async_read_some(asio::buffer(scrap), AsTuple);
        total += n;
    }
}

/// Waits for the first byte of a request.
asio::awaitable<bool> DoorSession::waitForRequest()
{
    if (m_context.draining && m_served) {
        co_return false;
    }
    if (m_buffer.size() > 0) {
        co_return true;
    }
    m_stream.expires_after(m_context.options.idleTimeout);
    const auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(ReadAheadBytes), AsTuple);
    m_stream.expires_never();
    m_buffer.commit(n);
    co_return !ec;
}

asio::awaitable<bool> DoorSession::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(m_context.options.maxHeadBytes);
    m_parser->body_limit(boost::none);
    m_stream.expires_after(m_context.options.headTimeout);
    const auto [ec, n] = co_await http::async_read_header(m_stream, m_buffer, *m_parser, AsTuple);
    m_stream.expires_never();
    if (!ec) {
        co_return true;
    }
    const bool closed = ec == http::error::end_of_stream || ec.category() == boost::system::system_category();
    if (!closed) {
        co_await refuseHead(statusOf(ec), ec.message());
    }
    co_return false;
}

asio::awaitable<bool> DoorSession::refuseHead(std::uint16_t status, std::string reason)
{
    ExchangeResult result;
    result.status = status;
    result.reason = std::move(reason);
    std::string body;
    const ResponseHead head = ownAnswer(result, newRequestId(), m_context.options.fractionalRetryAfter, &body);
    constexpr unsigned Http11 = 11;
    const std::string text = responseHeadText(head, Http11, false, false) + body;
    // A connection that timed out is closed already; what cannot be written is lost with it.
    m_stream.expires_after(m_context.options.headTimeout);
    co_await asio::async_write(m_stream, asio::buffer(text), AsTuple);
    co_return false;
}

absl::StatusOr<CallerRequest> DoorSession::toRequest()
{
    const auto &message = m_parser->get();
    if (const absl::Status status = checkRequestHead(message); !status.ok()) {
        return status;
    }
    const auto wanted = requestedDeadline(message);
    if (!wanted.ok()) {
        return wanted.status();
    }
    CallerHead caller;
    caller.method = std::string(message.method_string());
    caller.target = std::string(message.target());
    caller.host = std::string(message[http::field::host]);
    caller.requestId = std::string(message[std::string(RequestIdHeader)]);
    caller.fields = endToEndFields(message);
    CallerRequest request;
    const Duration span = std::min(wanted->value_or(m_context.options.defaultDeadline), m_context.options.maxDeadline);
    request.deadline = m_context.clock.now() + span;
    RequestHead &head = request.head;
    const bool keepsId = m_context.options.keepsRequestIds && !caller.requestId.empty();
    head.requestId = keepsId ? caller.requestId : newRequestId();
    head.method = caller.method;
    head.headers = caller.fields;
    head.idempotencyKey = std::string(message["Idempotency-Key"]);
    head.repeatable = isSafeMethod(head.method);
    const absl::Status resolved
        = m_context.options.resolve ? m_context.options.resolve(caller, &request) : resolveByName(caller, &request);
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
    return request;
}

bool DoorSession::keepAlive() const
{
    return m_parser->keep_alive() && !m_context.draining;
}

asio::awaitable<bool> DoorSession::serveRequest()
{
    auto request = toRequest();
    if (!request.ok()) {
        co_return co_await refuseHead(statusOf(request.status()), std::string(request.status().message()));
    }
    Source source(*this);
    Sink sink(*this, request->head.requestId);
    if (m_context.refusing) {
        ExchangeResult refused;
        refused.status = ServiceUnavailable;
        refused.reason = "the node is stopping";
        refused.retryAfter = StoppingRetryAfter;
        co_await sink.answerItself(refused, false);
        co_return false;
    }
    const ExchangeResult result = co_await dispatch(*request, source, sink);
    if (result.whole) {
        co_return sink.keepsAlive() && source.atEnd();
    }
    if (result.status == CallerGone || result.status == 0) {
        co_return false;
    }
    co_await sink.answerItself(result, source.atEnd());
    co_return sink.keepsAlive() && source.atEnd();
}

asio::awaitable<ExchangeResult> DoorSession::dispatch(CallerRequest &request, Source &source, Sink &sink)
{
    const auto stop = std::make_shared<StopSource>();
    const auto progress = std::make_shared<ExchangeProgress>();
    if (source.atEnd()) {
        watchCaller(stop);
    } else {
        source.setOnEnd([this, stop] { watchCaller(stop); });
    }
    asio::steady_timer deadline(m_stream.get_executor());
    deadline.expires_at(request.deadline);
    deadline.async_wait([stop, &sink](boost::system::error_code ec) {
        // The deadline bounds the time until the answer starts; an answer that has started may go on.
        if (!ec && !stop->done() && !sink.committed()) {
            stop->stop(StopReason::Deadline);
        }
    });
    const auto ended = co_await stop->run(m_context.dispatch(request, source, sink, *progress));
    deadline.cancel();
    boost::system::error_code ignored;
    m_stream.socket().cancel(ignored);
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

/// Ends the request once the caller has gone; a request that follows at once keeps the caller from being watched.
void DoorSession::watchCaller(const std::shared_ptr<StopSource> &stop)
{
    if (m_buffer.size() == 0) {
        stop->watchPeer(m_stream.socket());
    }
}

}
