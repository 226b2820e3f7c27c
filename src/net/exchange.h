/// One exchange: a request on its way to a target, and the answer on its way back.
///
/// The door of a node and the server for other nodes read a request from a BodySource and write its answer to an
/// AnswerSink. In between stands a Backend: the guard of a target beside this node, or a link to another node.
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

/// Largest part of a body that is held at once, in bytes.
inline constexpr std::size_t BodyChunkBytes = 64 * 1024;

/// Whether written data goes out at once or together with what is written next.
enum class Flush {
    Now, ///< Nothing may follow for a while.
    WithNext, ///< More follows at once.
};

/// Gives the body of a request, part by part.
class BodySource
{
public:
    virtual ~BodySource() = default;

    /// Returns the next part, or an empty text at the end; an error means that the body is cut off.
    virtual asio::awaitable<absl::StatusOr<std::string>> read() = 0;

    /// Returns whether nothing of the body is left to come; read() may not have returned the end yet.
    virtual bool atEnd() const = 0;
};

/// Takes the answer to a request, part by part. An error from any call ends the exchange.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// Takes the head; Aborted means that the answer is not wanted because the request is tried again.
    virtual asio::awaitable<absl::Status> head(const ResponseHead &head, Flush flush) = 0;

    /// Takes a part of the body.
    virtual asio::awaitable<absl::Status> chunk(std::string data, Flush flush) = 0;

    /// Marks the answer as whole.
    virtual asio::awaitable<absl::Status> end(const LoadReport &load) = 0;

    /// Tells that the guard admitted the request.
    virtual asio::awaitable<absl::Status> admitted(const LoadReport &load) = 0;
};

/// How far an exchange has come; kept up to date so that it is true also when the exchange is cancelled.
struct ExchangeProgress {
    Execution execution = Execution::NotRun; ///< What is known about whether the request ran.
    bool responseStarted = false; ///< Whether a part of the answer went to the sink.
};

/// How an exchange ended.
struct ExchangeResult {
    bool whole = false; ///< Whether the whole answer went to the sink.
    Execution execution = Execution::NotRun; ///< Whether the request ran.
    std::uint16_t status = 0; ///< Status of the answer, or the one that fits the refusal.
    bool reachedTarget = false; ///< Whether the request was sent to the target, even if the target rejected it.
    bool everywhere = false; ///< Whether other targets would refuse it for the same reason.
    std::string reason; ///< Why there is no whole answer.
    Duration retryAfter{}; ///< When a new try is worthwhile; zero if unknown.
    bool unreachable = false; ///< Whether the target or its node could not be reached or failed.
    std::string
        ownerAddress; ///< Where the node listens that holds the claim to the key, if that is why it was refused.
    std::string ownerTarget; ///< The target for which that node holds the claim.
    bool claimHeld = false; ///< Whether the node that refused holds the claim to the key and knows that it did not run.
    bool reported = false; ///< Whether load holds a report of the guard.
    LoadReport load; ///< The last report of the guard.
    Duration headLatency{}; ///< Time until the head of the answer came.
    std::uint64_t responseBytes = 0; ///< Bytes of the answer's body.
};

/// Carries out exchanges.
class Backend
{
public:
    virtual ~Backend() = default;

    /// Runs one exchange; the deadline bounds the time until the head of the answer.
    virtual asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, AnswerSink &sink,
                                                ExchangeProgress &progress, TimePoint deadline)
        = 0;
};

}
