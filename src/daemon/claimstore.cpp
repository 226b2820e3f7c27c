#include "daemon/claimstore.h"

#include "wire/frame.h"

#include <filesystem>

namespace shallotrelay
{
namespace
{

std::uint64_t wallClockMs()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

bool isExpired(const ClaimRecord &record, std::uint64_t nowMs)
{
    const auto retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(ClaimStore::Retention).count();
    return record.madeAtMs + static_cast<std::uint64_t>(retentionMs) < nowMs;
}

ClaimAnswer toResponse(const ClaimRequest &request, const ClaimRecord &record, bool granted)
{
    return {request.id, granted, false, record.ownerAddress, record.ownerTarget, record.incarnation};
}

}

absl::StatusOr<std::unique_ptr<ClaimStore>> ClaimStore::open(const std::string &folder)
{
    std::unique_ptr<ClaimStore> store(new ClaimStore());
    std::vector<std::string> records;
    auto log = RecordLog::open((std::filesystem::path(folder) / "claims.log").string(), &records);
    if (!log.ok()) {
        return log.status();
    }
    store->m_log = *std::move(log);
    const std::uint64_t now = wallClockMs();
    for (const std::string &it : records) {
        auto record = decodeMessage<ClaimRecord>(it);
        if (!record.ok()) {
            return record.status();
        }
        if (!isExpired(*record, now)) {
            const std::string key = record->key;
            store->m_claims[key] = *std::move(record);
        }
    }
    return store;
}

ClaimAnswer ClaimStore::claim(const ClaimRequest &request)
{
    return claimAll({request}).front();
}

std::vector<ClaimAnswer> ClaimStore::claimAll(const std::vector<ClaimRequest> &requests)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t now = wallClockMs();
    std::map<std::string, ClaimRecord> granted;
    std::vector<std::string> records;
    std::vector<ClaimAnswer> responses;
    for (const ClaimRequest &it : requests) {
        const auto stored = m_claims.find(it.key);
        const auto first = granted.find(it.key);
        if (stored != m_claims.end() && !isExpired(stored->second, now)) {
            responses.push_back(toResponse(it, stored->second, false));
        } else if (first != granted.end()) {
            responses.push_back(toResponse(it, first->second, false));
        } else {
            const ClaimRecord record{now, it.key, it.ownerAddress, it.ownerTarget, it.incarnation};
            granted[it.key] = record;
            records.push_back(encodeFrame(record).substr(FrameHeaderBytes));
            responses.push_back(toResponse(it, record, true));
        }
    }
    if (!records.empty() && !m_log->appendAll(records).ok()) {
        // Some of the claims may be on disk and others not, so none of them may be reported as granted or held.
        for (ClaimAnswer &it : responses) {
            it = ClaimAnswer{it.id, false, true, "", "", 0};
        }
        return responses;
    }
    for (const auto &it : granted) {
        m_claims[it.first] = it.second;
    }
    return responses;
}

std::size_t ClaimStore::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_claims.size();
}

}
