/// Begins, aborts and reads the roll-outs of a cluster on behalf of operators, backed by the replicated store of the
/// control VMs.
///
/// Use it in the process of a control VM: handle() serves the project's own HTTP interface; adapters of other protocols
/// call begin(), abort() and read().
#pragma once

#include "daemon/intentstore.h"
#include "net/httpserver.h"
#include "shallotrelay/rollout/rolloutrequest.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace shallotrelay
{

/// Parses a JSON object with exactly the members service, version and within; returns InvalidArgument for other texts
/// and for values that validate() rejects.
absl::StatusOr<RolloutRequest> parseRolloutRequest(const std::string &body);

/// Outcome of an order or a read.
enum class RolloutOutcome {
    Done, ///< The order has taken effect, now or before, or the read was confirmed.
    Conflict, ///< Another roll-out of the service is in progress, or the roll-out has ended otherwise.
    NotFound, ///< The service is not known or never had a roll-out, or roll-outs are not enabled.
    Invalid, ///< The order is malformed or out of range.
    NotLeader, ///< Another control VM is the leader.
    Unknown, ///< No decision before the timeout; an order may or may not take effect.
};

/// The result of an order or a read.
struct RolloutResult {
    RolloutOutcome outcome = RolloutOutcome::Unknown; ///< What has happened.
    std::string leader; ///< Operators' address of the leader, if it is another control VM.
    std::string reason; ///< Why there is no roll-out, for operators.
    std::optional<RolloutRecord> rollout; ///< The roll-out, if the outcome is Done.
};

/// Returns the response to a request that is not Done: a redirect to the same path at the leader, or a status with the
/// reason in a JSON body.
HttpResponse errorResponse(const RolloutResult &result, const std::string &path);

/// Serves the operators of roll-outs; use it on the event loop of the store.
class RolloutApi
{
public:
    struct Options {
        bool enabled = false; ///< Whether orders to begin a roll-out are accepted.
        /// Returns whether a document of the operators' state has the service.
        std::function<bool(const std::string &document, const std::string &service)> hasService;
        /// Returns the time of day.
        std::function<std::chrono::system_clock::time_point()> systemTime;
    };

    RolloutApi(IntentStore &store, Options options);

    /// Begins a roll-out; an order that repeats that of the last roll-out of the service has no further effect.
    asio::awaitable<RolloutResult> begin(RolloutRequest request);

    /// Ends the roll-out of a service as rolled back.
    asio::awaitable<RolloutResult> abort(std::string service);

    /// Returns the last roll-out of a service; it includes all orders that were acknowledged before the read.
    asio::awaitable<RolloutResult> read(std::string service);

    /// Returns whether a request belongs to handle().
    static bool isRolloutPath(const std::string &path);

    /// Handles POST /v1/rollouts, and GET and DELETE of /v1/rollouts/SERVICE.
    asio::awaitable<HttpResponse> handle(HttpRequest request);

private:
    absl::StatusOr<IntentOrder> createStart(const RolloutRequest &request, const IntentLedger &ledger) const;
    RolloutResult toResult(const SubmitResult &submitted, const std::string &service) const;

    IntentStore &m_store;
    Options m_options;
};

}
