/// A small HTTP/1.1 server for requests that are held whole: announcements, operators, metrics and health.
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

/// A request that was read whole.
struct HttpRequest {
    std::string method; ///< The method.
    std::string path; ///< The path without the query.
    std::string query; ///< What follows the question mark.
    std::string body; ///< The body.
};

/// The answer to it.
struct HttpReply {
    std::uint16_t status = 200; ///< The status.
    std::string contentType = "application/json"; ///< The content type.
    std::string body; ///< The body.
    std::vector<HeaderField> fields{}; ///< Further header fields.
};

/// Serves small requests.
class HttpServer
{
public:
    /// Answers one request.
    using Handler = std::function<asio::awaitable<HttpReply>(HttpRequest request)>;

    /// Takes the largest body of a request, in bytes.
    HttpServer(Runtime &runtime, std::size_t maxBodyBytes, Handler handler);
    ~HttpServer();

    /// Starts to listen.
    absl::Status start(const Address &address);

    /// Returns the port that it listens on.
    std::uint16_t port() const;

    /// Accepts no more connections.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

/// Largest answer that httpCall() takes unless it is told otherwise, in bytes: a state of many thousand routes.
inline constexpr std::size_t MaxReplyBytes = 64 * 1024 * 1024;

/// Sends one request on a connection of its own and returns the answer. The time covers all of it, however slowly the
/// other side sends.
asio::awaitable<absl::StatusOr<HttpReply>> httpCall(Address address, HttpRequest request, Duration timeout,
                                                    std::size_t maxReplyBytes = MaxReplyBytes);

/// Sends one request and waits for the answer; for commands that have no event loop.
absl::StatusOr<HttpReply> blockingHttpCall(const Address &address, const HttpRequest &request, Duration timeout);

}
