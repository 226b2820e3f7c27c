/// Persistent store of claims to idempotency keys: each key is granted to its first requester.
///
/// A control VM uses it so that only one node executes the requests with a key. Claims are written to a log file and
/// synced before they are reported.
#pragma once

#include "shallotrelay/messages.h"
#include "shallotrelay/storage/recordlog.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Grants claims. Thread-safe.
class ClaimStore
{
public:
    /// Time after which a claim expires.
    static constexpr std::chrono::hours Retention{24};

    /// Opens the store in an existing folder and drops expired claims; returns an error if the log cannot be read.
    static absl::StatusOr<std::unique_ptr<ClaimStore>> open(const std::string &folder);

    /// Grants the claim to the first requester, or returns its holder; returns only once the result is durable. The
    /// response is marked as failed if the claim could not be stored.
    ClaimAnswer claim(const ClaimRequest &request);

    /// Processes a batch of claims with one sync; returns the responses in the same order. All of them are marked as
    /// failed if the batch could not be stored.
    std::vector<ClaimAnswer> claimAll(const std::vector<ClaimRequest> &requests);

    /// Returns the number of stored claims, including those that expired after open().
    std::size_t size() const;

private:
    ClaimStore() = default;

    mutable std::mutex m_mutex;
    std::unique_ptr<RecordLog> m_log;
    std::map<std::string, ClaimRecord> m_claims;
};

}
