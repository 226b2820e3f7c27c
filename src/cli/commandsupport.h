/// Functions that all commands use: reading settings, reporting errors, waiting for a signal, file I/O.
#pragma once

#include "cli/commands.h"
#include "cli/settingsreader.h"
#include "net/runtime.h"

#include <absl/status/status.h>

#include <functional>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Prints one line on standard error and returns the given exit status.
int failWith(int exitStatus, std::string_view text);

/// Returns the value of an environment variable, or nullptr if it is not set.
const char *environmentValue(const std::string &name);

/// Reads and validates the settings of a command, then runs the body unless --help, --version or --check is given.
/// Returns the exit status. Operands are an error unless the command takes them.
template<class Settings>
int runWithSettings(const std::string &command, const std::string &doc, const std::vector<SettingSpec> &specs,
                    const Arguments &args, absl::StatusOr<Settings> (*parse)(const RawSettings &),
                    const std::function<absl::Status(const Settings &)> &check,
                    const std::function<int(const Settings &, const Arguments &operands)> &body,
                    bool takesOperands = false)
{
    const auto line = readCommandLine(command, doc, specs, args, environmentValue);
    if (!line.ok()) {
        return failWith(ExitUsage, std::string(line.status().message()));
    }
    if (line->handled) {
        return ExitOk;
    }
    if (!takesOperands && !line->operands.empty()) {
        return failWith(ExitUsage, "\"" + line->operands.front() + "\": the command takes no operands");
    }
    const auto settings = parse(line->raw);
    if (!settings.ok()) {
        return failWith(ExitUsage, std::string(settings.status().message()));
    }
    if (const absl::Status status = check(*settings); !status.ok()) {
        return failWith(ExitUsage, std::string(status.message()));
    }
    if (line->checkOnly) {
        return ExitOk;
    }
    return body(*settings, line->operands);
}

/// Waits for SIGTERM or SIGINT and calls the hook on each SIGHUP until then. Call blockStopSignals() before any thread
/// is started.
void waitForStopSignal(const std::function<void()> &onReload = [] {});

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in those that it starts, so that only waitForStopSignal()
/// receives them, and ignores SIGPIPE.
void blockStopSignals();

/// Returns the contents of a file, or NotFound if it cannot be opened.
absl::StatusOr<std::string> readFile(const std::string &path);

/// Replaces a file by the text, or writes to standard output if the path is empty. A secret file is created with mode
/// 0600, others with 0644. Returns Unavailable if the file cannot be written.
absl::Status writeOutput(const std::string &path, const std::string &text, bool secret);

/// Limits the number of allocator arenas, so that memory use does not grow with the number of threads.
void limitAllocatorArenas();

}
