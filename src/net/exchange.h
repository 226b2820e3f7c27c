/// Defines the interfaces of one exchange: a request that is relayed to a target and the response that is relayed back.
///
/// The front end and the server for peers provide the request body as a BodySource and take the response with a
/// ResponseSink. A Backend runs the exchange between them: the guarded target of this node, or a link to a peer.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace shallotrelay
{

namespace asio = boost::asio;

/// Maximum size of a part of a body, in bytes.
inline constexpr std::size_t BodyChunkBytes = 64 * 1024;

/// Whether written data is sent immediately or batched with the next write.
enum class Flush {
    Now, ///< The next write may be delayed, so the data is sent immediately.
    WithNext, ///< Another write follows without delay, so the data may be batched.
};

/// Provides the body of a request, part by part.
class BodySource
{
public:
    virtual ~BodySource() = default;

    /// Returns the next part, or an empty string at the end; an error means that the body is truncated.
    virtual asio::awaitable<absl::StatusOr<std::string>> read() = 0;

    /// Returns whether the complete body was received; read() may not have returned the end yet.
    virtual bool atEnd() const = 0;
};

/// Receives the response to a request, part by part. An error from any call ends the exchange.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;

    /// Receives the head; Aborted means that this response is discarded because the request is retried.
    virtual asio::awaitable<absl::Status> head(const ResponseHead &head, Flush flush) = 0;

    /// Receives a part of the body.
    virtual asio::awaitable<absl::Status> chunk(std::string data, Flush flush) = 0;

    /// Marks the response as complete.
    virtual asio::awaitable<absl::Status> end(const LoadReport &load) = 0;

    /// Reports that the guard admitted the request.
    virtual asio::awaitable<absl::Status> admitted(const LoadReport &load) = 0;
};

/// Progress of an exchange; updated at each step so that it is valid even if the exchange is cancelled.
struct ExchangeProgress {
    Execution execution = Execution::NotRun; ///< Whether the request ran, as far as known.
    bool responseStarted = false; ///< Whether the response head was passed to the sink.
};

/// The outcome of an exchange.
struct ExchangeResult {
    bool whole = false; ///< Whether the complete response was passed to the sink.
    Execution execution = Execution::NotRun; ///< Whether the request ran.
    std::uint16_t status = 0; ///< HTTP status of the response, or the status that corresponds to the refusal.
    bool reachedTarget = false; ///< Whether the request was sent to the target, even if the target rejected it.
    bool everywhere = false; ///< Whether other targets would refuse the request for the same reason.
    std::string reason; ///< Why there is no complete response.
    Duration retryAfter{}; ///< Time after which a retry is worthwhile; zero if unknown.
    bool unreachable = false; ///< Whether the target or its node could not be reached or failed.
    std::string ownerAddress; ///< Address of the node that holds the claim to the key, if that caused the refusal.
    std::string ownerTarget; ///< The target for which that node holds the claim.
    bool claimHeld = false; ///< Whether the refusing node holds the claim and knows that the request did not run.
    bool hasLoadReport = false; ///< Whether `load` holds a load report of the guard.
    LoadReport load; ///< The last load report of the guard.
    Duration headLatency{}; ///< Time until the response head arrived.
    Duration roundTrip{}; ///< Time to open the connection to the peer, zero if an open one was used.
    std::uint64_t responseBytes = 0; ///< Size of the response body that was received, in bytes.
};

/// Runs exchanges with a target, directly or through a peer.
class Backend
{
public:
    virtual ~Backend() = default;

    /// Runs one exchange; the deadline applies to the arrival of the response head.
    virtual asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                                ExchangeProgress &progress, TimePoint deadline)
        = 0;
};

}
