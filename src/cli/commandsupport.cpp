#include "cli/commandsupport.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <unistd.h>

namespace shallotrelay
{
namespace
{

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

}

int failWith(int exitStatus, std::string_view text)
{
    std::cerr << "shallotrelay: " << text << '\n';
    return exitStatus;
}

const char *environmentValue(const std::string &name)
{
    return std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe)
}

void waitForStopSignal(const std::function<void()> &onReload)
{
    const sigset_t set = stopSignals();
    int signal = 0;
    while (sigwait(&set, &signal) != 0 || signal == SIGHUP) {
        onReload();
    }
}

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return absl::NotFoundError("cannot open file for reading: " + path);
    }
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

absl::Status writeOutput(const std::string &path, const std::string &text, bool secret)
{
    if (path.empty()) {
        std::cout << text << std::flush;
        return absl::OkStatus();
    }
    const mode_t mode = secret ? 0600 : 0644;
    const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
    if (fd < 0) {
        return absl::UnavailableError("cannot open file for writing: " + path);
    }
    const ssize_t n = ::write(fd, text.data(), text.size());
    const bool closed = ::close(fd) == 0;
    const bool complete = n == static_cast<ssize_t>(text.size()) && closed;
    return complete ? absl::OkStatus()
                    : absl::UnavailableError(fmt::format("cannot write the complete file: {}: wrote {} of {} bytes",
                                                         path, n < 0 ? 0 : n, text.size()));
}

void limitAllocatorArenas()
{
    constexpr int MaxArenas = 2;
    mallopt(M_ARENA_MAX, MaxArenas);
}

}
