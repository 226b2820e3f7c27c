/// An append-only file of records that survive a crash once append() has returned.
///
/// Each record is stored with its length and a checksum. Opening the file reads all records. A record that was cut off
/// at the end of the file is dropped; anything else that does not match its checksum is an error, since a record that
/// was confirmed would be lost otherwise. After a failed write or sync the log refuses all further records.
///
///     std::vector<std::string> records;
///     absl::StatusOr<std::unique_ptr<RecordLog>> log = RecordLog::open(path, &records);
///     absl::Status status = (*log)->append("first");
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallotrelay
{

/// Largest record, in bytes.
inline constexpr std::size_t MaxRecordBytes = 16 * 1024 * 1024;

/// A synced append-only file of records. Not thread-safe.
class RecordLog
{
public:
    /// Opens or creates the file, locks it, and appends the records that it holds to the list.
    static absl::StatusOr<std::unique_ptr<RecordLog>> open(const std::string &path, std::vector<std::string> *records);

    ~RecordLog();

    RecordLog(const RecordLog &) = delete;
    RecordLog &operator=(const RecordLog &) = delete;

    /// Writes a record and syncs it; OK means that it survives a crash.
    absl::Status append(std::string_view record);

    /// Writes some records and syncs them together; OK means that all of them survive a crash.
    absl::Status appendAll(const std::vector<std::string> &records);

private:
    RecordLog(int fd, std::string path);

    absl::Status recover(std::vector<std::string> *records);
    absl::Status cutAt(std::size_t size);
    absl::Status fail(std::string_view what);

    int m_fd;
    std::string m_path;
    bool m_broken = false;
};

}
