/// Claims to idempotency keys, granted once and kept in a synced file.
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

/// Grants claims. Safe for use by several threads.
class ClaimStore
{
public:
    /// Time for which a claim is kept.
    static constexpr std::chrono::hours Retention{24};

    /// Opens the store in a folder that exists; claims past their retention are dropped.
    static absl::StatusOr<std::unique_ptr<ClaimStore>> open(const std::string &folder);

    /// Grants the claim to the one that asks first, or tells who holds it; returns only once the answer is durable.
    ClaimAnswer claim(const ClaimRequest &request);

    /// Decides on some claims with one sync for all of them; returns the answers in the same order.
    std::vector<ClaimAnswer> claimAll(const std::vector<ClaimRequest> &requests);

    /// Returns how many claims are held.
    std::size_t size() const;

private:
    ClaimStore() = default;

    mutable std::mutex m_mutex;
    std::unique_ptr<RecordLog> m_log;
    std::map<std::string, ClaimRecord> m_claims;
};

}
