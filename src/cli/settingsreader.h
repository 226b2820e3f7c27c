/// Reads the settings of a command from its flags and from SHALLOTRELAY_ environment variables, and validates them. A
/// flag takes precedence over the variable of the same setting; it is given as `--name value` or `--name=value`. An
/// empty value selects the default of the setting.
#pragma once

#include "cli/settingvalue.h"
#include "shallotrelay/settings.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// The parsed command line of one command.
struct CommandLine {
    RawSettings raw; ///< Texts of the settings by name, from flags and environment variables.
    std::vector<std::string> operands; ///< Arguments that are neither flags nor their values.
    bool checkOnly = false; ///< Whether --check was given.
    bool handled = false; ///< Whether --help or --version was handled and the command must not run.
};

/// Returns the name of the environment variable of a setting, such as SHALLOTRELAY_MAX_HEAD_BYTES for max-head-bytes.
std::string variableName(const std::string &setting);

/// Parses the arguments after the name of the command. The hook returns the value of an environment variable, or
/// nullptr if it is not set. Returns InvalidArgument for unknown flags and flags without a value.
absl::StatusOr<CommandLine> readCommandLine(const std::string &command, const std::string &doc,
                                            const std::vector<SettingSpec> &specs, const std::vector<std::string> &args,
                                            const std::function<const char *(const std::string &)> &environment);

/// Validates the settings of a node against each other; an error names the settings and a value.
absl::Status validate(const NodeSettings &settings);

/// Validates the settings of a control VM against each other; an error names the settings and a value.
absl::Status validate(const ControlSettings &settings);

/// Validates the settings of a control VM of a cluster; an error names the setting and the value.
absl::Status validate(const PlatformControlSettings &settings);

/// Validates the settings of a stand-in target against each other; an error names the settings and a value.
absl::Status validate(const TargetSettings &settings);

}
