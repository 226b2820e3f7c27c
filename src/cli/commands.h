/// The commands of the program. Each takes the arguments behind its name and returns the exit status: 0 for success, 1
/// if the work failed, 2 if the settings are wrong.
#pragma once

#include <string>
#include <vector>

namespace shallotrelay
{

using Arguments = std::vector<std::string>;

/// Exit status after success.
inline constexpr int ExitOk = 0;

/// Exit status after failed work.
inline constexpr int ExitFailed = 1;

/// Exit status after wrong settings.
inline constexpr int ExitUsage = 2;

/// Runs a node until SIGTERM or SIGINT.
int runNodeCommand(const Arguments &args);

/// Runs a control VM's process until SIGTERM or SIGINT.
int runControlCommand(const Arguments &args);

/// Runs one of the operators' commands.
int runBundleCommand(const Arguments &args);

/// Runs a stand-in target until SIGTERM or SIGINT.
int runTargetCommand(const Arguments &args);

/// Sends a load and prints what it showed.
int runLoadCommand(const Arguments &args);

/// Runs both deployments on loopback and prints what happened.
int runDemoCommand(const Arguments &args);

}
