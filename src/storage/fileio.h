/// File access that the logs share. Internal to the storage part.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace shallotrelay::internal
{

/// Returns the text of the present system error.
std::string errorText();

/// Returns an error that names what failed, the file, and the present system error.
absl::Status fileError(std::string_view what, const std::string &path);

/// Writes all bytes; false after an error.
bool writeAll(int fd, std::string_view data);

/// Reads from the present position to the end.
absl::StatusOr<std::string> readAll(int fd);

/// Makes the name of a new or renamed file survive a loss of power.
bool syncFolder(const std::string &path);

}
