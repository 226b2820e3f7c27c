/// A durable append-only log file: a record survives a crash once append() has returned OK.
///
/// Each record is stored with its length and a checksum. Opening the file reads all records. A truncated record at the
/// end of the file is discarded; any other checksum mismatch is an error, because ignoring it could lose a record that
/// was confirmed. After a failed write or sync the log rejects all further records.
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

/// Maximum size of a record, in bytes.
inline constexpr std::size_t MaxRecordBytes = 16 * 1024 * 1024;

/// A durable append-only log file of records. Not thread-safe.
class RecordLog
{
public:
    /// Opens or creates the file, locks it, and appends its records to the list. Returns a FailedPrecondition error if
    /// another process holds the lock, DataLoss if the content is damaged or cannot be read, and Unavailable if the
    /// file cannot be opened.
    static absl::StatusOr<std::unique_ptr<RecordLog>> open(const std::string &path, std::vector<std::string> *records);

    ~RecordLog();

    RecordLog(const RecordLog &) = delete;
    RecordLog &operator=(const RecordLog &) = delete;

    /// Writes a record and syncs it; once this returns OK, the record survives a crash.
    absl::Status append(std::string_view record);

    /// Writes the records and syncs them together; once this returns OK, all of them survive a crash.
    absl::Status appendAll(const std::vector<std::string> &records);

private:
    RecordLog(int fd, std::string path);

    absl::Status recover(std::vector<std::string> *records);
    absl::Status truncateTo(std::size_t size);
    absl::Status fail(std::string_view what);

    int m_fd;
    std::string m_path;
    bool m_failed = false;
};

}
