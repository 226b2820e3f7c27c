#include "net/targetconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

#include <limits>

namespace shallotrelay
{
namespace
{

constexpr std::uint32_t MaxResponseHeadBytes = 64 * 1024;
/// Maximum of buffered bytes that are not parsed yet: a complete head and one read. Chunk size lines with extensions
/// and trailer fields must fit as well, so that a response in which one of them never ends is rejected.
constexpr std::size_t MaxBufferedBytes = MaxResponseHeadBytes + BodyChunkBytes;
/// Maximum of interim responses (1xx) before the final one; servers send one or two.
constexpr int MaxInterimResponses = 8;
constexpr std::size_t SmallBodyBytes = 4 * 1024;
constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned SwitchingProtocols = 101;

}

TargetConnection::TargetConnection(tcp::socket socket, std::shared_ptr<std::atomic<std::size_t>> openCount)
    : m_stream(std::move(socket))
    , m_buffer(MaxBufferedBytes)
    , m_openCount(std::move(openCount))
{
    m_openCount->fetch_add(1);
}

TargetConnection::~TargetConnection()
{
    m_openCount->fetch_sub(1);
}

asio::any_io_executor TargetConnection::executor()
{
    return m_stream.get_executor();
}

asio::awaitable<absl::Status> TargetConnection::write(std::string bytes, Duration timeout)
{
    m_stream.expires_after(timeout);
    const auto [ec, n] = co_await asio::async_write(m_stream, asio::buffer(bytes), AsTuple);
    m_stream.expires_never();
    m_writeFailed = m_writeFailed || ec;
    co_return toStatus(ec, "write to the target");
}

asio::awaitable<absl::StatusOr<ResponseHead>> TargetConnection::readHead(bool isHeadRequest)
{
    int interim = 0;
    do {
        if (interim++ > MaxInterimResponses) {
            co_return absl::DataLossError("the target sent too many interim (1xx) responses before the final one");
        }
        m_parser.emplace();
        m_parser->header_limit(MaxResponseHeadBytes);
        m_parser->body_limit(boost::none);
        m_parser->skip(isHeadRequest);
        const auto [ec, n] = co_await http::async_read_header(m_stream, m_buffer, *m_parser, AsTuple);
        if (ec) {
            co_return toStatus(ec, "read the answer of the target");
        }
        if (m_parser->get().result_int() == SwitchingProtocols) {
            co_return absl::UnavailableError("the target sent 101 Switching Protocols without an Upgrade request");
        }
        if (m_parser->get().result_int() < FirstStatus) {
            break;
        }
    } while (m_parser->get().result_int() < FirstFinalStatus);
    const auto &message = m_parser->get();
    if (!isFinalStatus(message.result_int())) {
        co_return absl::DataLossError(fmt::format("the target sent the invalid status {}", message.result_int()));
    }
    ResponseHead head;
    head.status = static_cast<std::uint16_t>(message.result_int());
    head.reason = std::string(message.reason());
    head.requestId = std::string(message[std::string(RequestIdHeader)]);
    head.headers = endToEndFields(message);
    const bool hasNoBody = head.status == 204 || head.status == 304;
    const auto length = m_parser->content_length();
    if (hasNoBody) {
        head.bodyKind = BodyKind::None;
    } else if (length) {
        head.bodyKind = BodyKind::Sized;
        head.contentLength = *length;
    } else {
        head.bodyKind = BodyKind::Streamed;
    }
    co_return head;
}

asio::awaitable<absl::StatusOr<ResponseHead>> TargetConnection::readHeadWithin(Duration timeout)
{
    m_stream.expires_after(timeout);
    auto head = co_await readHead(false);
    m_stream.expires_never();
    co_return head;
}

asio::awaitable<absl::StatusOr<std::string>> TargetConnection::readBody(Duration timeout)
{
    // The parser reads at most the free capacity of the buffer, which is small at first, so the buffer is enlarged for
    // large bodies.
    if (m_buffer.capacity() < BodyChunkBytes
        && m_parser->content_length_remaining().value_or(BodyChunkBytes) > SmallBodyBytes) {
        m_buffer.reserve(BodyChunkBytes);
    }
    std::string data;
    while (data.empty() && !m_parser->is_done()) {
        data.resize(BodyChunkBytes);
        auto &body = m_parser->get().body();
        body.data = data.data();
        body.size = data.size();
        m_stream.expires_after(timeout);
        auto [ec, n] = co_await http::async_read_some(m_stream, m_buffer, *m_parser, AsTuple);
        m_stream.expires_never();
        data.resize(data.size() - body.size);
        if (ec && ec != http::error::need_buffer) {
            co_return toStatus(ec, "read the response body from the target");
        }
    }
    if (m_parser->is_done() && m_parser->need_eof() && co_await writeHasFailed()) {
        co_return absl::DataLossError("the connection failed before the end of a response without a length");
    }
    co_return data;
}

asio::awaitable<absl::Status> TargetConnection::discardBody(std::size_t maxBytes, Duration timeout)
{
    std::size_t discarded = 0;
    while (!responseComplete()) {
        const auto part = co_await readBody(timeout);
        if (!part.ok()) {
            co_return part.status();
        }
        discarded += part->size();
        if (discarded > maxBytes) {
            co_return absl::DataLossError(fmt::format("the body of a skipped response exceeds {} bytes", maxBytes));
        }
    }
    co_return absl::OkStatus();
}

/// Returns whether a write has failed, also one that fails for the same reason as the read that has just ended.
asio::awaitable<bool> TargetConnection::writeHasFailed()
{
    // The system reports a reset once, to the write or the read; the read then ends as after a regular close. Both
    // operations complete in one pass of the event loop.
    co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    co_return m_writeFailed;
}

bool TargetConnection::responseComplete() const
{
    return m_parser && m_parser->is_done();
}

bool TargetConnection::hasBufferedData() const
{
    return m_buffer.size() > 0;
}

void TargetConnection::releaseMemory()
{
    m_parser.reset();
    m_buffer.shrink_to_fit();
}

bool TargetConnection::reusable() const
{
    return responseComplete() && m_parser->keep_alive() && m_buffer.size() == 0 && rejections.mayBeKept();
}

bool TargetConnection::stale()
{
    return isStale(m_stream.socket());
}

asio::awaitable<void> TargetConnection::cancelAndWait(Duration timeout)
{
    boost::system::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    m_stream.expires_after(timeout);
    std::string discarded(BodyChunkBytes, '\0');
    while (!ec) {
        std::tie(ec, std::ignore) = co_await m_stream.async_read_some(asio::buffer(discarded), AsTuple);
    }
}

}
