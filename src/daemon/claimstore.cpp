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

bool isOld(const ClaimRecord &record, std::uint64_t nowMs)
{
    const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(ClaimStore::Retention).count();
    return record.madeAtMs + static_cast<std::uint64_t>(keep) < nowMs;
}

ClaimAnswer answerOf(const ClaimRequest &request, const ClaimRecord &record, bool granted)
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
        if (!isOld(*record, now)) {
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
    std::vector<ClaimAnswer> answers;
    for (const ClaimRequest &it : requests) {
        const auto held = m_claims.find(it.key);
        const auto first = granted.find(it.key);
        if (held != m_claims.end() && !isOld(held->second, now)) {
            answers.push_back(answerOf(it, held->second, false));
        } else if (first != granted.end()) {
            answers.push_back(answerOf(it, first->second, false));
        } else {
            const ClaimRecord record{now, it.key, it.ownerAddress, it.ownerTarget, it.incarnation};
            granted[it.key] = record;
            records.push_back(encodeFrame(record).substr(FrameHeaderBytes));
            answers.push_back(answerOf(it, record, true));
        }
    }
    if (!records.empty() && !m_log->appendAll(records).ok()) {
        // Which of the claims are on the disk is not known, so that none of them may be told.
        for (ClaimAnswer &it : answers) {
            it = ClaimAnswer{it.id, false, true, "", "", 0};
        }
        return answers;
    }
    for (const auto &it : granted) {
        m_claims[it.first] = it.second;
    }
    return answers;
}

std::size_t ClaimStore::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_claims.size();
}

}
