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

using internal::errorText;
using internal::readAll;
using internal::syncFolder;
using internal::writeAll;

constexpr std::string_view FileMagic = "shallotrelay log 1\n";

/// Precedes each record.
struct RecordHeader {
    std::uint32_t bytes = 0;
    std::uint32_t headerCheck = 0; // checksum of the length, so that a wrong length is not taken for a cut-off record
    std::uint64_t payloadCheck = 0;
};

std::uint32_t checkOfLength(std::uint32_t bytes)
{
    return XXH32(&bytes, sizeof bytes, 0x5a11u);
}

RecordHeader headerOf(std::string_view record)
{
    RecordHeader header;
    header.bytes = static_cast<std::uint32_t>(record.size());
    header.headerCheck = checkOfLength(header.bytes);
    header.payloadCheck = XXH3_64bits(record.data(), record.size());
    return header;
}

}

absl::StatusOr<std::unique_ptr<RecordLog>> RecordLog::open(const std::string &path, std::vector<std::string> *records)
{
    constexpr mode_t OwnerOnly = 0600;
    const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, OwnerOnly);
    if (fd < 0) {
        return absl::UnavailableError(fmt::format("cannot open {}: {}", path, errorText()));
    }
    std::unique_ptr<RecordLog> log(new RecordLog(fd, path));
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
        return absl::FailedPreconditionError(path + " is in use by another process");
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
    const auto content = readAll(m_fd);
    if (!content.ok()) {
        return content.status();
    }
    const std::string_view all = *content;
    const bool started = all.substr(0, FileMagic.size()) == FileMagic;
    if (!started && FileMagic.substr(0, all.size()) != all) {
        return absl::DataLossError(m_path + " is not a log of this program");
    }
    if (!started) {
        if (const absl::Status status = cutAt(0); !status.ok()) {
            return status;
        }
        const bool written = writeAll(m_fd, FileMagic) && ::fsync(m_fd) == 0 && syncFolder(m_path);
        return written ? absl::OkStatus() : fail("cannot start");
    }
    std::size_t at = FileMagic.size();
    while (at < all.size()) {
        RecordHeader header;
        const bool neverWritten = all.find_first_not_of('\0', at) == std::string_view::npos;
        if (all.size() - at < sizeof header || neverWritten) {
            return cutAt(at);
        }
        std::memcpy(&header, all.data() + at, sizeof header);
        const bool sane = header.headerCheck == checkOfLength(header.bytes) && header.bytes <= MaxRecordBytes;
        const std::size_t end = at + sizeof header + header.bytes;
        if (sane && end > all.size()) {
            return cutAt(at);
        }
        const std::string_view record = sane ? all.substr(at + sizeof header, header.bytes) : std::string_view();
        if (!sane || XXH3_64bits(record.data(), record.size()) != header.payloadCheck) {
            return absl::DataLossError(fmt::format("{}: the record at byte {} is damaged", m_path, at));
        }
        records->emplace_back(record);
        at = end;
    }
    return absl::OkStatus();
}

absl::Status RecordLog::cutAt(std::size_t size)
{
    const bool cut = ::ftruncate(m_fd, static_cast<off_t>(size)) == 0 && ::fsync(m_fd) == 0;
    return cut ? absl::OkStatus() : fail("cannot cut off the unfinished record");
}

absl::Status RecordLog::append(std::string_view record)
{
    return appendAll({std::string(record)});
}

absl::Status RecordLog::appendAll(const std::vector<std::string> &records)
{
    if (m_broken) {
        return absl::DataLossError(m_path + " failed before; restart to recover");
    }
    std::string bytes;
    for (const std::string &it : records) {
        if (it.size() > MaxRecordBytes) {
            return absl::InvalidArgumentError("the record is too large");
        }
        const RecordHeader header = headerOf(it);
        bytes.append(reinterpret_cast<const char *>(&header), sizeof header);
        bytes.append(it);
    }
    if (!writeAll(m_fd, bytes)) {
        return fail("cannot write");
    }
    if (::fdatasync(m_fd) != 0) {
        return fail("cannot sync");
    }
    return absl::OkStatus();
}

absl::Status RecordLog::fail(std::string_view what)
{
    m_broken = true;
    return absl::DataLossError(fmt::format("{} {}: {}", what, m_path, errorText()));
}

}
