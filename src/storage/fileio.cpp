#include "storage/fileio.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>

namespace shallotrelay::internal
{

std::string errnoText()
{
    return std::strerror(errno); // NOLINT(concurrency-mt-unsafe)
}

bool writeAll(int fd, std::string_view data)
{
    while (!data.empty()) {
        const ssize_t n = ::write(fd, data.data(), data.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

absl::StatusOr<std::string> readAll(int fd, const std::string &path)
{
    std::string out;
    std::string buf(64 * 1024, '\0');
    for (;;) {
        const ssize_t n = ::read(fd, buf.data(), buf.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return absl::DataLossError(fmt::format("cannot read {}: {}", path, errnoText()));
        }
        if (n == 0) {
            return out;
        }
        out.append(buf.data(), static_cast<std::size_t>(n));
    }
}

absl::StatusOr<std::string> readAt(int fd, std::size_t offset, std::size_t bytes, const std::string &path)
{
    std::string out(bytes, '\0');
    std::size_t filled = 0;
    while (filled < bytes) {
        const ssize_t n = ::pread(fd, out.data() + filled, bytes - filled, static_cast<off_t>(offset + filled));
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return absl::DataLossError(fmt::format("cannot read {}: {}", path, errnoText()));
        }
        if (n == 0) {
            break;
        }
        filled += static_cast<std::size_t>(n);
    }
    out.resize(filled);
    return out;
}

bool syncParentFolder(const std::string &path)
{
    const std::string folder = std::filesystem::path(path).parent_path().string();
    const int fd = ::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return false;
    }
    const bool synced = ::fsync(fd) == 0;
    ::close(fd);
    return synced;
}

absl::Status fileError(std::string_view what, const std::string &path)
{
    return absl::UnavailableError(fmt::format("{} {}: {}", what, path, errnoText()));
}

}
