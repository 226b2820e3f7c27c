/// The door of a node: takes requests of callers over HTTP/1.1 and answers them.
///
/// The door reads and checks requests, hands each one to a dispatcher, and relays the answer. Bodies are never held
/// whole. An answer that ends early closes the caller's connection, so that it is never taken for whole.
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

/// The head of a caller's request as the door read it.
struct CallerHead {
    std::string method; ///< The HTTP method.
    std::string target; ///< The request target: path and query.
    std::string host; ///< The Host field.
    std::string requestId; ///< The id that the caller gave, empty if none.
    std::vector<HeaderField> fields; ///< End-to-end fields.
};

struct CallerRequest;

/// Bounds of the door.
struct DoorOptions {
    /// Fills in where a request goes and what may be done with it; NotFound and Unavailable become 404 and 503.
    using Resolve = std::function<absl::Status(const CallerHead &head, CallerRequest *request)>;

    Resolve resolve; ///< Finds the service of a request; by path and host as findServicePath() does if it is not set.
    bool keepsRequestIds = false; ///< Whether the id that the caller gave identifies the request.
    bool fractionalRetryAfter = false; ///< Whether Retry-After may have a fraction, for callers that take one.
    std::size_t holdBytes
        = 0; ///< An answer up to this size is held until it is whole, so that it can be fetched again.

    Duration headTimeout = std::chrono::seconds(5); ///< Time for a whole request head.
    Duration idleTimeout = std::chrono::seconds(75); ///< Time that a connection may stay idle.
    Duration stallTimeout = std::chrono::seconds(20); ///< Time without progress of a body.
    Duration defaultDeadline = std::chrono::seconds(30); ///< Deadline of a request that states none.
    Duration maxDeadline = std::chrono::hours(1); ///< Longest deadline.
    std::uint32_t maxHeadBytes = 16 * 1024; ///< Largest request head.
    std::uint32_t maxCallers = 4096; ///< Most connections at once.
};

/// Takes the answer on its way to a caller and decides whether an answer is worth a new try.
class CallerSink : public ResponseSink
{
public:
    /// Told for each head whether the answer is to be dropped in favour of a new try.
    using WantsRetry = std::function<bool(const ResponseHead &head)>;

    /// Sets the hook for the present try.
    virtual void setWantsRetry(WantsRetry wantsRetry) = 0;

    /// Returns whether a part of the answer went to the caller, so that it cannot be taken back.
    virtual bool committed() const = 0;
};

/// A request that the door read and checked.
struct CallerRequest {
    RequestHead head; ///< The request; target and time left are filled in for each try.
    TimePoint deadline; ///< Time until which the head of an answer is wanted.
    TimePoint objective = TimePoint::max(); ///< Time by which the whole answer is wanted.
    std::uint32_t maxTargets = MaxAttempts; ///< Targets that it may be sent to.
};

/// The server for callers.
class Door
{
public:
    /// Finds targets and tries them until there is an answer; returns the last result.
    using Dispatch = std::function<asio::awaitable<ExchangeResult>(CallerRequest &request, BodySource &source,
                                                                   CallerSink &sink, ExchangeProgress &progress)>;

    Door(Runtime &runtime, const Clock &clock, DoorOptions options, Dispatch dispatch);
    ~Door();

    /// Starts to listen.
    absl::Status start(const Address &address);

    /// Returns the port that it listens on.
    std::uint16_t port() const;

    /// Closes each connection after the answer in progress; new connections are still accepted.
    void wind();

    /// Refuses further requests at once; those in progress are answered.
    void refuseNew();

    /// Accepts no more connections; each open one is closed after the answer in progress.
    void drain();

    /// Returns how many requests are in progress.
    std::size_t inProgress() const;

    /// Returns how many connections are open.
    std::size_t connections() const;

private:
    struct Impl;
    class Session;

    std::shared_ptr<Impl> m_impl;
};

}
