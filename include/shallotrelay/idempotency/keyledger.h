/// Ledger of the idempotency keys at one node: ensures that a request with a key runs at most once.
///
/// A request with a key runs only at the node that holds the claim to the key. The control VMs grant each claim once
/// and permanently, to a node, its incarnation and a target. The ledger records the outcome of each key whose claim
/// this node may hold. If the node holds the claim to a key but has no record of it, it has restarted or evicted the
/// record, and the outcome is reported as unknown.
///
/// The ledger performs no I/O and is not thread-safe. Call begin() for each request with a key, completeClaim() when
/// control has responded to a claim or failed to, and ran() when the run of the request has ended.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace shallotrelay
{

/// Response that is cached for repeated requests with the same key.
struct CachedResponse {
    ResponseHead head; ///< Status and headers.
    std::string body; ///< The complete body.
};

/// Owner of a claim.
struct ClaimOwner {
    std::string address; ///< Address at which the node accepts requests of other nodes.
    std::string target; ///< The target that runs the request.
    std::uint64_t incarnation = 0; ///< Increases each time the node starts.

    bool operator==(const ClaimOwner &other) const = default;
};

/// Next step for a request with a key.
enum class KeyStep {
    Claim, ///< Request the claim from control, then call completeClaim().
    Run, ///< Run the request, then call ran().
    Wait, ///< Another request with the key is in progress; call begin() again after a short time.
    Replay, ///< Respond with the cached response.
    Redirect, ///< Send the request to the node that holds the claim.
    Unknown, ///< A request with the key may have run; it must not run again.
    Mismatch, ///< The key was used with a different request.
    Unavailable, ///< The claim request failed; this request did not run, but an earlier one with the key may have.
};

/// Decision of the ledger on a request.
struct KeyDecision {
    KeyStep step = KeyStep::Unknown; ///< The next step.
    std::shared_ptr<const CachedResponse> answer; ///< The cached response, if the step is Replay.
    ClaimOwner owner; ///< The owner of the claim, if the step is Redirect.
};

/// Outcome of the run of a request.
enum class RunOutcome {
    Completed, ///< The target sent a complete response.
    NotRun, ///< The request provably did not run.
    Lost, ///< The request may have run, and there is no complete response.
};

/// Records the state of each key and caches responses.
class KeyLedger
{
public:
    /// Creates a ledger that keeps records for the retention period and cached responses up to a total body size in
    /// bytes; the latest response is cached whatever its size.
    KeyLedger(Duration retention, std::size_t maxResponseBytes);

    /// Returns the next step for a request. The fingerprint identifies the request, so that a key used with a different
    /// request is detected; toOwner is set if the request was redirected here because this node holds the claim.
    KeyDecision begin(const std::string &key, const std::string &fingerprint, bool toOwner, TimePoint now);

    /// Processes the response to a claim request by self, nullptr if there was none, and returns the next step.
    KeyDecision completeClaim(const std::string &key, const ClaimAnswer *response, const ClaimOwner &self);

    /// Records the outcome of a run; the response is required for Completed and ignored otherwise.
    void ran(const std::string &key, RunOutcome outcome, std::shared_ptr<const CachedResponse> response);

    /// Returns the number of records.
    std::size_t size() const;

private:
    enum class State { Claiming, Reclaimable, Running, Done, Lost };

    struct Record {
        State state = State::Claiming;
        bool reclaiming = false; // whether control may have granted an earlier claim request of this node
        std::string fingerprint;
        std::shared_ptr<const CachedResponse> answer;
        TimePoint createdAt;
    };

    void evictExpired(TimePoint now);
    void evictResponses();

    Duration m_retention;
    std::size_t m_maxResponseBytes;
    std::size_t m_responseBytes = 0;
    std::map<std::string, Record> m_records;
    std::deque<std::string> m_keysByAge;
    std::deque<std::string> m_responsesByAge;
};

}
