#include "daemon/bundlestore.h"

#include "base/text.h"
#include "wire/frame.h"

#include <fmt/format.h>

#include <filesystem>

namespace shallotrelay
{
namespace
{

SubmitResponse refused(const absl::Status &status)
{
    SubmitResponse result;
    result.verdict = SubmitVerdict::Refused;
    result.reason = std::string(status.message());
    return result;
}

}

absl::StatusOr<std::unique_ptr<LocalBundleStore>> LocalBundleStore::open(const std::string &folder, TrustPolicy trust)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec) {
        return absl::UnavailableError(fmt::format("cannot create the data folder {}: {}", folder, ec.message()));
    }
    std::unique_ptr<LocalBundleStore> store(new LocalBundleStore(std::move(trust)));
    std::vector<std::string> records;
    auto log = RecordLog::open((std::filesystem::path(folder) / "bundles.log").string(), &records);
    if (!log.ok()) {
        return log.status();
    }
    store->m_log = *std::move(log);
    if (const absl::Status status = store->replay(records); !status.ok()) {
        return status;
    }
    return store;
}

LocalBundleStore::LocalBundleStore(TrustPolicy trust)
    : m_trust(std::move(trust))
{
}

absl::Status LocalBundleStore::replay(const std::vector<std::string> &records)
{
    for (const std::string &it : records) {
        const auto accepted = decodeMessage<AcceptedBundle>(it);
        if (!accepted.ok()) {
            return accepted.status();
        }
        const auto bundle = parseSignedBundle(accepted->signedText);
        if (!bundle.ok()) {
            return bundle.status();
        }
        if (accepted->revision != m_ledger.nextRevision()) {
            return absl::DataLossError(
                fmt::format("record of revision {} is missing from bundles.log", m_ledger.nextRevision()));
        }
        apply(*bundle, accepted->revision, accepted->signedText);
    }
    return absl::OkStatus();
}

SubmitResponse LocalBundleStore::submit(const std::string &signedText)
{
    const auto bundle = parseSignedBundle(signedText);
    if (!bundle.ok()) {
        return refused(bundle.status());
    }
    if (const absl::Status status = checkBundleAuthorisation(*bundle, m_trust); !status.ok()) {
        return refused(status);
    }
    const std::lock_guard lock(m_mutex);
    SubmitResponse result = m_ledger.decide(*bundle);
    if (result.verdict != SubmitVerdict::Accepted) {
        return result;
    }
    const std::string frame = encodeFrame(AcceptedBundle{result.revision, signedText});
    const absl::Status status = m_log->append(std::string_view(frame).substr(FrameHeaderBytes));
    if (!status.ok()) {
        result.verdict = SubmitVerdict::Unknown;
        result.reason = std::string(status.message());
        return result;
    }
    apply(*bundle, result.revision, signedText);
    return result;
}

void LocalBundleStore::apply(const SignedBundle &bundle, std::uint64_t revision, const std::string &signedText)
{
    const LedgerEntry entry{revision, bundle.bundle.firm, bundle.bundle.version, bundle.digest};
    m_ledger.apply(entry);
    m_latest[entry.firm] = std::make_shared<StoredBundle>(StoredBundle{entry, {revision, signedText}});
}

std::vector<std::shared_ptr<const StoredBundle>> LocalBundleStore::latest() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<const StoredBundle>> out;
    for (const auto &it : m_latest) {
        out.push_back(it.second);
    }
    return out;
}

std::vector<LedgerEntry> LocalBundleStore::history(const std::string &firm) const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.history(firm);
}

std::uint64_t LocalBundleStore::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.nextRevision() - 1;
}

}
