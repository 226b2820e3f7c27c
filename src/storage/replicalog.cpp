#include "shallotrelay/storage/replicalog.h"

#include "storage/fileio.h"
#include "wire/frame.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>

namespace shallotrelay
{
namespace
{

constexpr mode_t OwnerOnly = 0600;
/// Size of the checksum that is stored before each frame and covers the complete frame, in bytes.
constexpr std::size_t ChecksumBytes = sizeof(std::uint64_t);
/// Size of the checksum and the frame header before the payload of a record, in bytes.
constexpr std::size_t PrefixBytes = ChecksumBytes + FrameHeaderBytes;
/// Maximum payload of a stored frame, in bytes; snapshots are the largest frames.
constexpr std::size_t MaxStoredPayloadBytes = 64 * 1024 * 1024;

/// Returns whether the checksum at the start of a record's prefix is that of its frame.
bool matchesChecksum(const std::string &prefix, const std::string &payload)
{
    std::uint64_t checksum = 0;
    std::memcpy(&checksum, prefix.data(), sizeof checksum);
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    XXH3_64bits_update(state.get(), prefix.data() + ChecksumBytes, FrameHeaderBytes);
    XXH3_64bits_update(state.get(), payload.data(), payload.size());
    return XXH3_64bits_digest(state.get()) == checksum;
}

template<class Message>
void appendRecord(std::string *out, const Message &message)
{
    const std::string frame = encodeFrame(message);
    const std::uint64_t checksum = XXH3_64bits(frame.data(), frame.size());
    out->append(reinterpret_cast<const char *>(&checksum), sizeof checksum);
    out->append(frame);
}

std::string encodeBatch(const ReplicaBatch &batch)
{
    std::string out;
    if (batch.snapshot) {
        appendRecord(&out, *batch.snapshot);
    }
    const bool commitsEntries
        = batch.hardState && !batch.entries.empty() && batch.hardState->commit >= batch.entries.front().index;
    if (batch.hardState) {
        HardState hardState = *batch.hardState;
        // Only a complete batch may raise the commit index to its entries: a torn one may still hold other entries at
        // their indexes.
        if (commitsEntries) {
            hardState.commit = batch.entries.front().index - 1;
        }
        appendRecord(&out, hardState);
    }
    for (const ConsensusEntry &it : batch.entries) {
        appendRecord(&out, it);
    }
    if (commitsEntries) {
        appendRecord(&out, *batch.hardState);
    }
    return out;
}

}

absl::StatusOr<std::unique_ptr<ReplicaLog>> ReplicaLog::open(const std::string &folder, RecoveredReplica *recovery)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    std::unique_ptr<ReplicaLog> log(new ReplicaLog(folder));
    if (const absl::Status status = log->recover(recovery); !status.ok()) {
        return status;
    }
    return log;
}

ReplicaLog::ReplicaLog(std::string folder)
    : m_folder(std::move(folder))
    , m_path(m_folder + "/replica.log")
{
}

ReplicaLog::~ReplicaLog()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

absl::Status ReplicaLog::recover(RecoveredReplica *recovery)
{
    m_fd = ::open(m_path.c_str(), O_RDWR | O_CLOEXEC);
    if (m_fd < 0) {
        return errno == ENOENT ? absl::OkStatus() : internal::fileError("cannot open", m_path);
    }
    std::error_code ec;
    const std::size_t fileBytes = std::filesystem::file_size(m_path, ec);
    if (ec) {
        return absl::DataLossError(fmt::format("cannot read the size of {}: {}", m_path, ec.message()));
    }
    std::size_t offset = 0;
    while (fileBytes - offset >= PrefixBytes) {
        const auto prefix = internal::readAt(m_fd, offset, PrefixBytes, m_path);
        if (!prefix.ok()) {
            return prefix.status();
        }
        const std::string_view frameHeader = std::string_view(*prefix).substr(ChecksumBytes);
        const auto header = parseFrameHeader(frameHeader, MaxStoredPayloadBytes);
        if (!header.ok() || header->payloadBytes > fileBytes - offset - PrefixBytes) {
            break;
        }
        const RecordLocation location{offset + PrefixBytes, header->payloadBytes};
        const auto payload = internal::readAt(m_fd, location.offset, location.payloadBytes, m_path);
        if (!payload.ok()) {
            return payload.status();
        }
        if (!matchesChecksum(*prefix, *payload) || !scanRecord(header->type, *payload, location, recovery)) {
            break;
        }
        offset = location.offset + location.payloadBytes;
    }
    m_id = recovery->id;
    m_validBytes = offset;
    if (offset < fileBytes && (::ftruncate(m_fd, static_cast<off_t>(offset)) != 0 || ::fsync(m_fd) != 0)) {
        return internal::fileError("cannot truncate the incomplete record at the end of", m_path);
    }
    if (::lseek(m_fd, static_cast<off_t>(offset), SEEK_SET) < 0) {
        return internal::fileError("cannot seek in", m_path);
    }
    return absl::OkStatus();
}

/// Applies a record to the recovered state; returns false if it cannot be decoded or does not follow the records before
/// it. The data of entries is not kept.
bool ReplicaLog::scanRecord(std::uint8_t type, std::string_view payload, const RecordLocation &location,
                            RecoveredReplica *recovery)
{
    if (type == ReplicaIdentity::FrameType) {
        const auto identity = decodeMessage<ReplicaIdentity>(payload);
        recovery->id = identity.ok() ? identity->id : "";
        return identity.ok();
    }
    if (type == HardState::FrameType) {
        const auto state = decodeMessage<HardState>(payload);
        if (state.ok()) {
            recovery->disk.hardState = *state;
        }
        return state.ok();
    }
    if (type == ReplicaSnapshot::FrameType) {
        auto snapshot = decodeMessage<ReplicaSnapshot>(payload);
        if (!snapshot.ok()) {
            return false;
        }
        recovery->disk.snapshot = *std::move(snapshot);
        m_recoveredEntries.clear();
        return true;
    }
    const auto entry = type == ConsensusEntry::FrameType ? decodeMessage<ConsensusEntry>(payload)
                                                         : absl::StatusOr<ConsensusEntry>(absl::UnknownError("type"));
    const std::uint64_t first = recovery->disk.snapshot.index + 1;
    if (!entry.ok() || entry->index < first || entry->index > first + m_recoveredEntries.size()) {
        return false;
    }
    m_recoveredEntries.resize(entry->index - first);
    m_recoveredEntries.push_back(location);
    return true;
}

absl::Status ReplicaLog::readEntries(const EntryHandler &handler) const
{
    for (const RecordLocation &it : m_recoveredEntries) {
        const auto payload = internal::readAt(m_fd, it.offset, it.payloadBytes, m_path);
        if (!payload.ok()) {
            return payload.status();
        }
        auto entry = decodeMessage<ConsensusEntry>(*payload);
        if (!entry.ok()) {
            return absl::DataLossError(fmt::format("cannot read an entry of {} again", m_path));
        }
        if (absl::Status status = handler(*std::move(entry)); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

std::size_t ReplicaLog::size() const
{
    return m_validBytes;
}

absl::Status ReplicaLog::initialise(const std::string &id, const ReplicaSnapshot &first)
{
    m_id = id;
    ReplicaBatch batch;
    batch.snapshot = first;
    return store(batch);
}

absl::Status ReplicaLog::store(const ReplicaBatch &batch)
{
    if (!batch.snapshot) {
        return append(encodeBatch(batch));
    }
    std::string bytes;
    appendRecord(&bytes, ReplicaIdentity{m_id});
    return replaceFile(bytes + encodeBatch(batch));
}

absl::Status ReplicaLog::append(const std::string &bytes)
{
    if (!internal::writeAll(m_fd, bytes) || ::fdatasync(m_fd) != 0) {
        const absl::Status status = internal::fileError("cannot append to", m_path);
        // Rolls back the partial write, so that the next attempt starts at the same offset and overwrites any
        // remainder.
        if (::ftruncate(m_fd, static_cast<off_t>(m_validBytes)) != 0
            || ::lseek(m_fd, static_cast<off_t>(m_validBytes), SEEK_SET) < 0) {
            return absl::UnavailableError(std::string(status.message())
                                          + "; the partial write could not be rolled back");
        }
        return status;
    }
    m_validBytes += bytes.size();
    return absl::OkStatus();
}

absl::Status ReplicaLog::replaceFile(const std::string &bytes)
{
    const std::string newPath = m_path + ".new";
    const int fd = ::open(newPath.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, OwnerOnly);
    if (fd < 0) {
        return internal::fileError("cannot create", newPath);
    }
    if (!internal::writeAll(fd, bytes) || ::fsync(fd) != 0 || ::rename(newPath.c_str(), m_path.c_str()) != 0
        || !internal::syncParentFolder(m_path)) {
        const absl::Status status = internal::fileError("cannot replace", m_path);
        ::close(fd);
        return status;
    }
    if (m_fd >= 0) {
        ::close(m_fd);
    }
    m_fd = fd;
    m_validBytes = bytes.size();
    return absl::OkStatus();
}

}
