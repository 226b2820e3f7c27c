/// Storage of accepted bundles.
///
/// Use the interface BundleStore where it does not matter whether one VM or several store the bundles, and
/// LocalBundleStore on a single control VM.
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
    LedgerEntry entry; ///< The ledger entry of the bundle.
    AcceptedBundle message; ///< The message that is sent to nodes.
};

/// Decides on bundles and returns the accepted ones; implementations are thread-safe.
class BundleStore
{
public:
    virtual ~BundleStore() = default;

    /// Verifies and decides on a signed bundle; returns Accepted only after the bundle is durable, and Unknown if the
    /// write failed.
    virtual SubmitResponse submit(const std::string &signedText) = 0;

    /// Returns the latest accepted bundle of each firm.
    virtual std::vector<std::shared_ptr<const StoredBundle>> latest() const = 0;

    /// Returns the accepted bundles in order of revision, of one firm or of all firms if the name is empty.
    virtual std::vector<LedgerEntry> history(const std::string &firm) const = 0;

    /// Returns the highest accepted revision, 0 if there is none.
    virtual std::uint64_t revision() const = 0;
};

/// Stores bundles in a local file that is synced after each accepted bundle.
class LocalBundleStore : public BundleStore
{
public:
    /// Opens the store in a folder, which is created if it does not exist; fails if the folder or the file cannot be
    /// opened, or if the file holds an unreadable record or skips a revision.
    static absl::StatusOr<std::unique_ptr<LocalBundleStore>> open(const std::string &folder, TrustPolicy trust);

    SubmitResponse submit(const std::string &signedText) override;
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
