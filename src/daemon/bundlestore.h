/// Where accepted bundles are kept. The interface hides whether one VM or several hold them.
#pragma once

#include "shallotrelay/bundle/ledger.h"
#include "shallotrelay/messages.h"
#include "shallotrelay/storage/recordlog.h"

#include <absl/status/statusor.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace shallotrelay
{

/// The latest accepted bundle of a firm.
struct StoredBundle {
    LedgerEntry entry; ///< What the ledger holds of it.
    AcceptedBundle message; ///< What nodes get.
};

/// Accepts bundles and hands out the accepted ones. Implementations are safe for use by several threads.
class BundleStore
{
public:
    virtual ~BundleStore() = default;

    /// Decides on a signed bundle; returns only once the answer is true for good.
    virtual SubmitAnswer submit(const std::string &signedText) = 0;

    /// Returns the latest accepted bundle of each firm.
    virtual std::vector<std::shared_ptr<const StoredBundle>> latest() const = 0;

    /// Returns the accepted bundles in order, of one firm or of all if the name is empty.
    virtual std::vector<LedgerEntry> history(const std::string &firm) const = 0;

    /// Returns the highest revision.
    virtual std::uint64_t revision() const = 0;
};

/// Keeps the bundles in a synced file of this VM.
class LocalBundleStore : public BundleStore
{
public:
    /// Opens the store in a folder, which is created if it is absent.
    static absl::StatusOr<std::unique_ptr<LocalBundleStore>> open(const std::string &folder, TrustPolicy trust);

    SubmitAnswer submit(const std::string &signedText) override;
    std::vector<std::shared_ptr<const StoredBundle>> latest() const override;
    std::vector<LedgerEntry> history(const std::string &firm) const override;
    std::uint64_t revision() const override;

private:
    explicit LocalBundleStore(TrustPolicy trust);

    absl::Status replay(const std::vector<std::string> &records);
    void apply(const SignedBundle &bundle, std::uint64_t revision, const std::string &signedText);

    TrustPolicy m_trust;
    mutable std::mutex m_mutex;
    BundleLedger m_ledger;
    std::unique_ptr<RecordLog> m_log;
    std::map<std::string, std::shared_ptr<const StoredBundle>> m_latest;
};

}
