#include "shallotrelay/storage/replicalog.h"

#include "storage/fileio.h"
#include "wire/frame.h"

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
/// Maximum payload of a stored frame, in bytes; snapshots are the largest frames.
constexpr std::size_t MaxStoredPayloadBytes = 64 * 1024 * 1024;

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
    if (batch.hardState) {
        appendRecord(&out, *batch.hardState);
    }
    for (const ConsensusEntry &it : batch.entries) {
        appendRecord(&out, it);
    }
    return out;
}

/// Applies a record to the recovered state; returns false if it cannot be decoded or does not follow the records before
/// it.
bool applyRecord(std::uint8_t type, std::string_view payload, RecoveredReplica *recovery)
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
        recovery->disk.entries.clear();
        return true;
    }
    auto entry = type == ConsensusEntry::FrameType ? decodeMessage<ConsensusEntry>(payload)
                                                   : absl::StatusOr<ConsensusEntry>(absl::UnknownError("type"));
    auto &entries = recovery->disk.entries;
    const std::uint64_t first = recovery->disk.snapshot.index + 1;
    if (!entry.ok() || entry->index < first || entry->index > first + entries.size()) {
        return false;
    }
    entries.resize(entry->index - first);
    entries.push_back(*std::move(entry));
    return true;
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
    const auto content = internal::readAll(m_fd, m_path);
    if (!content.ok()) {
        return content.status();
    }
    const std::string_view all = *content;
    std::size_t offset = 0;
    while (all.size() - offset >= ChecksumBytes + FrameHeaderBytes) {
        std::uint64_t checksum = 0;
        std::memcpy(&checksum, all.data() + offset, sizeof checksum);
        const auto header
            = parseFrameHeader(all.substr(offset + ChecksumBytes, FrameHeaderBytes), MaxStoredPayloadBytes);
        if (!header.ok()) {
            break;
        }
        const std::size_t bytes = FrameHeaderBytes + header->payloadBytes;
        const std::string_view frame = all.substr(offset + ChecksumBytes, bytes);
        if (frame.size() < bytes || XXH3_64bits(frame.data(), frame.size()) != checksum
            || !applyRecord(header->type, frame.substr(FrameHeaderBytes), recovery)) {
            break;
        }
        offset += ChecksumBytes + bytes;
    }
    m_id = recovery->id;
    m_validBytes = offset;
    if (offset < all.size() && (::ftruncate(m_fd, static_cast<off_t>(offset)) != 0 || ::fsync(m_fd) != 0)) {
        return internal::fileError("cannot truncate the incomplete record at the end of", m_path);
    }
    if (::lseek(m_fd, static_cast<off_t>(offset), SEEK_SET) < 0) {
        return internal::fileError("cannot seek in", m_path);
    }
    return absl::OkStatus();
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
