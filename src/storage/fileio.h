/// File operations shared by RecordLog and ReplicaLog; internal to the storage library.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace shallotrelay::internal
{

/// Returns the description of errno.
std::string errnoText();

/// Returns an Unavailable error with the failed operation, the path of the file and the description of errno.
absl::Status fileError(std::string_view what, const std::string &path);

/// Writes all bytes; returns false and leaves errno set if a write fails.
bool writeAll(int fd, std::string_view data);

/// Reads from the current position to the end of the file; returns a DataLoss error with the path if a read fails.
absl::StatusOr<std::string> readAll(int fd, const std::string &path);

/// Reads up to `bytes` bytes from an offset; the result is shorter only at the end of the file. Returns a DataLoss
/// error with the path if a read fails.
absl::StatusOr<std::string> readAt(int fd, std::size_t offset, std::size_t bytes, const std::string &path);

/// Syncs the folder of a file, so that a creation or rename survives a power failure; returns false and leaves errno
/// set on an error.
bool syncParentFolder(const std::string &path);

}
