/// What the commands share: reading settings, reporting errors, waiting for a signal.
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

/// Prints one line on standard error and returns the status that it is given.
int failWith(int exitStatus, std::string_view text);

/// Returns the value of an environment variable, or nullptr.
const char *environmentValue(const std::string &name);

/// Reads settings, checks them, and runs the body unless --help, --version or --check asked for less.
/// Operands are refused unless the command takes them.
template<class Settings>
int withSettings(const std::string &command, const std::string &doc, const std::vector<SettingSpec> &specs,
                 const Arguments &args, absl::StatusOr<Settings> (*parse)(const RawSettings &),
                 const std::function<absl::Status(const Settings &)> &check,
                 const std::function<int(const Settings &, const Arguments &operands)> &body,
                 bool takesOperands = false)
{
    const auto line = readCommandLine(command, doc, specs, args, environmentValue);
    if (!line.ok()) {
        return failWith(ExitUsage, std::string(line.status().message()));
    }
    if (line->done) {
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

/// Waits for SIGTERM or SIGINT and calls the hook for each SIGHUP meanwhile. Call blockStopSignals() before any thread
/// starts.
void waitForStopSignal(const std::function<void()> &onReload = [] {});

/// Keeps SIGTERM, SIGINT and SIGHUP for waitForStopSignal(), in this thread and those it starts.
void blockStopSignals();

/// Reads a whole file.
absl::StatusOr<std::string> readFile(const std::string &path);

/// Writes a whole file, or standard output if the path is empty.
absl::Status writeOutput(const std::string &path, const std::string &text, bool secret);

/// Bounds the memory that the allocator keeps for each thread.
void limitAllocatorArenas();

}
