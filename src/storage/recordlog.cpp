#include "shallotrelay/storage/recordlog.h"

#include "storage/fileio.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace shallotrelay
{
namespace
{

using internal::errnoText;
using internal::readAll;
using internal::syncParentFolder;
using internal::writeAll;

constexpr std::string_view FileMagic = "shallotrelay log 1\n";

/// Stored before each record.
struct RecordHeader {
    std::uint32_t bytes = 0;
    std::uint32_t lengthChecksum = 0; // keeps a damaged length from being mistaken for a truncated record
    std::uint64_t payloadChecksum = 0;
};

std::uint32_t checksumOfLength(std::uint32_t bytes)
{
    return XXH32(&bytes, sizeof bytes, 0x5a11u);
}

RecordHeader makeHeader(std::string_view record)
{
    RecordHeader header;
    header.bytes = static_cast<std::uint32_t>(record.size());
    header.lengthChecksum = checksumOfLength(header.bytes);
    header.payloadChecksum = XXH3_64bits(record.data(), record.size());
    return header;
}

}

absl::StatusOr<std::unique_ptr<RecordLog>> RecordLog::open(const std::string &path, std::vector<std::string> *records)
{
    constexpr mode_t OwnerOnly = 0600;
    const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, OwnerOnly);
    if (fd < 0) {
        return absl::UnavailableError(fmt::format("cannot open {}: {}", path, errnoText()));
    }
    std::unique_ptr<RecordLog> log(new RecordLog(fd, path));
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
        return absl::FailedPreconditionError(path + " is locked by another process");
    }
    const absl::Status status = log->recover(records);
    if (!status.ok()) {
        return status;
    }
    return log;
}

RecordLog::RecordLog(int fd, std::string path)
    : m_fd(fd)
    , m_path(std::move(path))
{
}

RecordLog::~RecordLog()
{
    ::close(m_fd);
}

absl::Status RecordLog::recover(std::vector<std::string> *records)
{
    const auto content = readAll(m_fd, m_path);
    if (!content.ok()) {
        return content.status();
    }
    const std::string_view all = *content;
    const bool hasMagic = all.substr(0, FileMagic.size()) == FileMagic;
    if (!hasMagic && FileMagic.substr(0, all.size()) != all) {
        return absl::DataLossError(m_path + " is not a shallotrelay record log");
    }
    if (!hasMagic) {
        if (const absl::Status status = truncateTo(0); !status.ok()) {
            return status;
        }
        const bool written = writeAll(m_fd, FileMagic) && ::fsync(m_fd) == 0 && syncParentFolder(m_path);
        return written ? absl::OkStatus() : fail("cannot write the file header of");
    }
    std::size_t offset = FileMagic.size();
    while (offset < all.size()) {
        RecordHeader header;
        const bool onlyZeros = all.find_first_not_of('\0', offset) == std::string_view::npos;
        if (all.size() - offset < sizeof header || onlyZeros) {
            return truncateTo(offset);
        }
        std::memcpy(&header, all.data() + offset, sizeof header);
        const bool validHeader
            = header.lengthChecksum == checksumOfLength(header.bytes) && header.bytes <= MaxRecordBytes;
        const std::size_t end = offset + sizeof header + header.bytes;
        if (validHeader && end > all.size()) {
            return truncateTo(offset);
        }
        const std::string_view record
            = validHeader ? all.substr(offset + sizeof header, header.bytes) : std::string_view();
        if (!validHeader || XXH3_64bits(record.data(), record.size()) != header.payloadChecksum) {
            return absl::DataLossError(
                fmt::format("{}: the record at byte offset {} does not match its checksum", m_path, offset));
        }
        records->emplace_back(record);
        offset = end;
    }
    return absl::OkStatus();
}

absl::Status RecordLog::truncateTo(std::size_t size)
{
    const bool truncated = ::ftruncate(m_fd, static_cast<off_t>(size)) == 0 && ::fsync(m_fd) == 0;
    return truncated ? absl::OkStatus() : fail("cannot truncate the incomplete record at the end of");
}

absl::Status RecordLog::append(std::string_view record)
{
    return appendAll({std::string(record)});
}

absl::Status RecordLog::appendAll(const std::vector<std::string> &records)
{
    if (m_failed) {
        return absl::DataLossError(
            m_path + " accepts no records after an earlier write or sync error; restart the process to recover");
    }
    std::string bytes;
    for (const std::string &it : records) {
        if (it.size() > MaxRecordBytes) {
            return absl::InvalidArgumentError(fmt::format("record of {} bytes exceeds the limit of {} bytes in {}",
                                                          it.size(), MaxRecordBytes, m_path));
        }
        const RecordHeader header = makeHeader(it);
        bytes.append(reinterpret_cast<const char *>(&header), sizeof header);
        bytes.append(it);
    }
    if (!writeAll(m_fd, bytes)) {
        return fail("cannot write to");
    }
    if (::fdatasync(m_fd) != 0) {
        return fail("cannot sync");
    }
    return absl::OkStatus();
}

absl::Status RecordLog::fail(std::string_view what)
{
    m_failed = true;
    return absl::DataLossError(fmt::format("{} {}: {}", what, m_path, errnoText()));
}

}
