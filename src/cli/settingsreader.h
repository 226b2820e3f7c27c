/// Reads the settings of a command from its flags and from SHALLOTRELAY_ environment variables; a flag wins.
#pragma once

#include "cli/settingvalue.h"
#include "shallotrelay/settings.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// What the command line asked for.
struct CommandLine {
    RawSettings raw; ///< Setting texts by name, from flags and variables.
    std::vector<std::string> operands; ///< What is not a flag.
    bool checkOnly = false; ///< Whether --check was given.
    bool done = false; ///< Whether --help or --version was answered, so that there is nothing left to do.
};

/// Returns the name of the variable of a setting: SHALLOTRELAY_MAX_HEAD_BYTES for max-head-bytes.
std::string variableName(const std::string &setting);

/// Reads the arguments behind the command's name. The hook returns the value of an environment variable or nullptr.
absl::StatusOr<CommandLine> readCommandLine(const std::string &command, const std::string &doc,
                                            const std::vector<SettingSpec> &specs, const std::vector<std::string> &args,
                                            const std::function<const char *(const std::string &)> &environment);

/// Checks what the settings of a node mean together.
absl::Status validate(const NodeSettings &settings);

/// Checks what the settings of a control VM mean together.
absl::Status validate(const ControlSettings &settings);

/// Checks what the settings of a stand-in target mean together.
absl::Status validate(const TargetSettings &settings);

}
