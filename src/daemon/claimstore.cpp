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
    const std::lock_guard lock(m_mutex);
    const std::uint64_t now = wallClockMs();
    const auto it = m_claims.find(request.key);
    if (it != m_claims.end() && !isOld(it->second, now)) {
        return answerOf(request, it->second, false);
    }
    const ClaimRecord record{now, request.key, request.ownerAddress, request.ownerTarget, request.incarnation};
    const std::string frame = encodeFrame(record);
    if (!m_log->append(std::string_view(frame).substr(FrameHeaderBytes)).ok()) {
        ClaimAnswer failed;
        failed.id = request.id;
        failed.failed = true;
        return failed;
    }
    m_claims[request.key] = record;
    return answerOf(request, record, true);
}

std::size_t ClaimStore::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_claims.size();
}

}
