/// HTTP/1.1 front end of a node, which serves the requests of callers.
///
/// The front end reads and validates requests, passes each one to a dispatcher, and relays the response. Bodies are
/// streamed and never buffered completely. A truncated response closes the caller's connection, so that the caller
/// cannot mistake it for a complete one.
#pragma once

#include "net/exchange.h"
#include "net/httpfields.h"
#include "net/neterror.h"
#include "net/runtime.h"
#include "shallotrelay/retry/retry.h"

#include <functional>
#include <memory>

namespace shallotrelay
{

/// Head of a caller's request as received.
struct CallerHead {
    std::string method; ///< The HTTP method.
    std::string target; ///< The request target: path and query.
    std::string host; ///< The Host field.
    std::string requestId; ///< The request id sent by the caller, empty if none.
    std::vector<HeaderField> fields; ///< End-to-end header fields.
};

struct CallerRequest;

/// Limits and hooks of the front end.
struct FrontendOptions {
    /// Fills in the destination of a request and how it may be handled; NotFound becomes status 404, Unavailable 503,
    /// Unauthenticated 401.
    using Resolve = std::function<absl::Status(const CallerHead &head, CallerRequest *request)>;

    /// Waits until the next piece of a response may be written and returns its size in bytes, at most what is left.
    using Pace = std::function<asio::awaitable<std::size_t>(const CallerRequest &request, std::size_t bytesWritten,
                                                            std::size_t bytesLeft)>;

    Pace pace; ///< Paces responses; each is written at once if it is not set.
    Resolve resolve; ///< Resolves the service of a request; findServicePath() is used if it is not set.
    bool acceptsRequestIds = false; ///< Whether a request id sent by the caller is adopted.
    bool fractionalRetryAfter = false; ///< Whether Retry-After may have a fraction, for callers that accept one.
    /// Size in bytes up to which a response is buffered until it is complete, so that a failed one can be fetched
    /// again.
    std::size_t responseBufferBytes = 0;

    Duration headTimeout = std::chrono::seconds(5); ///< Time within which a request head must be complete.
    Duration idleTimeout = std::chrono::seconds(75); ///< Time after which an idle connection is closed.
    Duration stallTimeout = std::chrono::seconds(20); ///< Longest time without progress while a body is transferred.
    Duration defaultDeadline = std::chrono::seconds(30); ///< Time allowed for a request that states no deadline.
    Duration maxDeadline = std::chrono::hours(1); ///< Upper limit of the time allowed for a request.
    std::uint32_t maxHeadBytes = 16 * 1024; ///< Largest request head, in bytes.
    std::uint32_t maxCallers = 4096; ///< Maximum number of open connections.
};

/// Receives the response for a caller and can discard it in favour of another attempt.
class CallerSink : public ResponseSink
{
public:
    /// Decides for each response head whether the response is discarded in favour of another attempt.
    using ShouldDiscard = std::function<bool(const ResponseHead &head)>;

    /// Sets the hook for the current attempt.
    virtual void setShouldDiscard(ShouldDiscard shouldDiscard) = 0;

    /// Returns whether part of the response was sent or is due to be sent, so that it can no longer be replaced.
    virtual bool committed() const = 0;
};

/// A request that has been read and validated.
struct CallerRequest {
    RequestHead head; ///< The request; target and time left are filled in for each attempt.
    TimePoint deadline; ///< Time by which the response must start.
    TimePoint objective = TimePoint::max(); ///< Time by which the response should be complete.
    bool largeResponse = false; ///< Whether the route states that its responses are large.
    Duration retryAfter{}; ///< Time after which a refused request may be repeated; zero if unknown.
    std::uint32_t maxTargets = MaxAttempts; ///< Maximum number of targets that the request may be sent to.
};

/// HTTP/1.1 server for callers.
class HttpFrontend
{
public:
    /// Sends a request to targets until one of them responds; returns the result of the last attempt.
    using Dispatch = std::function<asio::awaitable<ExchangeResult>(CallerRequest &request, BodySource &source,
                                                                   CallerSink &sink, ExchangeProgress &progress)>;

    HttpFrontend(Runtime &runtime, const Clock &clock, FrontendOptions options, Dispatch dispatch);
    ~HttpFrontend();

    /// Starts listening; returns an error if the address cannot be bound.
    absl::Status start(const Address &address);

    /// Returns the port that the server listens on.
    std::uint16_t port() const;

    /// Closes each connection after the responses in progress; new connections are still accepted.
    void disableKeepAlive();

    /// Rejects new requests with status 503; requests in progress are completed.
    void rejectNewRequests();

    /// Stops accepting connections and closes each open one after the responses in progress.
    void drain();

    /// Returns the number of requests in progress.
    std::size_t inProgress() const;

    /// Returns the number of open connections.
    std::size_t connections() const;

private:
    struct Impl;
    class Session;

    std::shared_ptr<Impl> m_impl;
};

}
