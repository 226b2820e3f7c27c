#include "net/httpserver.h"

#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>

namespace shallotrelay
{
namespace
{

namespace http = boost::beast::http;

constexpr Duration RequestTimeout = std::chrono::seconds(30);
/// Limit in bytes for buffered input that is not parsed yet, such as chunk extensions and trailer fields.
constexpr std::size_t MaxBufferedBytes = 128 * 1024;
constexpr unsigned Http11 = 11;

HttpRequest toRequest(const http::request<http::string_body> &message)
{
    HttpRequest out;
    out.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t queryMark = target.find('?');
    out.path = target.substr(0, queryMark);
    out.query = queryMark == std::string::npos ? "" : target.substr(queryMark + 1);
    out.body = message.body();
    return out;
}

http::response<http::string_body> toMessage(const HttpResponse &response, bool keepAlive)
{
    http::response<http::string_body> out(static_cast<http::status>(response.status), Http11);
    out.set(http::field::content_type, response.contentType);
    for (const HeaderField &it : response.fields) {
        out.set(it.name, it.value);
    }
    out.keep_alive(keepAlive);
    out.body() = response.body;
    out.prepare_payload();
    return out;
}

}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(Runtime &runtime, std::size_t maxBody, Handler h)
        : maxBodyBytes(maxBody)
        , handler(std::move(h))
        , listener(runtime, [this](asio::io_context &loop, tcp::socket socket) {
            asio::co_spawn(loop, serve(shared_from_this(), std::move(socket)), asio::detached);
        })
    {
    }

    std::size_t maxBodyBytes;
    Handler handler;
    Listener listener;

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        boost::beast::tcp_stream stream(std::move(socket));
        boost::beast::flat_buffer buffer(MaxBufferedBytes);
        bool keepAlive = true;
        while (keepAlive) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(self->maxBodyBytes);
            stream.expires_after(RequestTimeout);
            const auto [ec, n] = co_await http::async_read(stream, buffer, parser, AsTuple);
            if (ec == http::error::body_limit) {
                const auto message = toMessage({413, "text/plain", "the body is too large\n"}, false);
                co_await http::async_write(stream, message, AsTuple);
            }
            if (ec) {
                break;
            }
            keepAlive = parser.get().keep_alive();
            HttpRequest request = toRequest(parser.get());
            const HttpResponse response = co_await self->handler(std::move(request));
            const auto message = toMessage(response, keepAlive);
            const auto [writeError, m] = co_await http::async_write(stream, message, AsTuple);
            keepAlive = keepAlive && !writeError;
        }
        boost::system::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }
};

HttpServer::HttpServer(Runtime &runtime, std::size_t maxBodyBytes, Handler handler)
    : m_impl(std::make_shared<Impl>(runtime, maxBodyBytes, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::start(const Address &address)
{
    return m_impl->listener.start(address);
}

std::uint16_t HttpServer::port() const
{
    return m_impl->listener.address().port;
}

void HttpServer::stop()
{
    m_impl->listener.stop();
}

asio::awaitable<absl::StatusOr<HttpResponse>> httpCall(Address address, HttpRequest request, Duration timeout,
                                                       std::size_t maxResponseBytes)
{
    auto socket = co_await connectTo(co_await asio::this_coro::executor, address, timeout);
    if (!socket.ok()) {
        co_return socket.status();
    }
    boost::beast::tcp_stream stream(*std::move(socket));
    http::request<http::string_body> message;
    message.version(Http11);
    message.method_string(request.method);
    message.target(request.query.empty() ? request.path : request.path + "?" + request.query);
    message.set(http::field::host, address.text());
    message.keep_alive(false);
    message.body() = request.body;
    message.prepare_payload();
    stream.expires_after(timeout);
    const auto [writeError, n] = co_await http::async_write(stream, message, AsTuple);
    if (writeError) {
        co_return toStatus(writeError, "write to " + address.text());
    }
    boost::beast::flat_buffer buffer(MaxBufferedBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    const auto [readError, m] = co_await http::async_read(stream, buffer, parser, AsTuple);
    if (readError) {
        co_return toStatus(readError, "read from " + address.text());
    }
    HttpResponse response;
    response.status = static_cast<std::uint16_t>(parser.get().result_int());
    response.contentType = std::string(parser.get()[http::field::content_type]);
    response.body = parser.get().body();
    for (const auto &it : parser.get()) {
        response.fields.push_back({std::string(it.name_string()), std::string(it.value())});
    }
    co_return response;
}

absl::StatusOr<HttpResponse> blockingHttpCall(const Address &address, const HttpRequest &request, Duration timeout)
{
    asio::io_context loop(1);
    std::optional<absl::StatusOr<HttpResponse>> result;
    auto call = [&]() -> asio::awaitable<void> { result = co_await httpCall(address, request, timeout); };
    asio::co_spawn(loop, call(), asio::detached);
    loop.run();
    return *std::move(result);
}

}
