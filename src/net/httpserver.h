/// Small HTTP/1.1 server and client for short messages: announcements, operator requests, metrics and health checks.
///
/// Requests and responses are buffered completely.
#pragma once

#include "net/neterror.h"
#include "net/runtime.h"
#include "shallotrelay/messages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// A complete request.
struct HttpRequest {
    std::string method; ///< The HTTP method.
    std::string path; ///< The path without the query.
    std::string query; ///< The query without the question mark, empty if there is none.
    std::string body; ///< The body.
};

/// A complete response.
struct HttpResponse {
    std::uint16_t status = 200; ///< The HTTP status.
    std::string contentType = "application/json"; ///< The value of the Content-Type field.
    std::string body; ///< The body.
    std::vector<HeaderField> fields{}; ///< Further header fields.
};

/// Serves requests whose body size is limited.
class HttpServer
{
public:
    /// Handles one request and returns the response.
    using Handler = std::function<asio::awaitable<HttpResponse>(HttpRequest request)>;

    /// Creates a server that rejects request bodies larger than maxBodyBytes with status 413.
    HttpServer(Runtime &runtime, std::size_t maxBodyBytes, Handler handler);
    ~HttpServer();

    /// Starts listening; returns an error if the address cannot be bound.
    absl::Status start(const Address &address);

    /// Returns the port that the server listens on.
    std::uint16_t port() const;

    /// Stops accepting connections.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

/// Default limit of httpCall() for the response body, in bytes; large enough for the state of many thousand routes.
inline constexpr std::size_t MaxResponseBytes = 64 * 1024 * 1024;

/// Sends one request on a new connection and returns the response. Connecting may take up to the timeout, and so may
/// the rest of the call, however slowly the server sends.
asio::awaitable<absl::StatusOr<HttpResponse>> httpCall(Address address, HttpRequest request, Duration timeout,
                                                       std::size_t maxResponseBytes = MaxResponseBytes);

/// Calls httpCall() and blocks until it returns; for commands without an event loop.
absl::StatusOr<HttpResponse> blockingHttpCall(const Address &address, const HttpRequest &request, Duration timeout);

}
