/// Entry points of the commands of the program, for main(). Each takes the arguments after the name of the command and
/// returns the exit status: 0 on success, 1 if the operation failed, 2 if the settings are invalid, 3 if the outcome of
/// what is watched is not known.
#pragma once

#include <string>
#include <vector>

namespace shallotrelay
{

using Arguments = std::vector<std::string>;

/// Exit status on success.
inline constexpr int ExitOk = 0;

/// Exit status if the operation failed.
inline constexpr int ExitFailed = 1;

/// Exit status if the settings or operands are invalid.
inline constexpr int ExitUsage = 2;

/// Exit status if the outcome of what is watched is not known.
inline constexpr int ExitUnknown = 3;

/// Runs a node until SIGTERM or SIGINT.
int runNodeCommand(const Arguments &args);

/// Runs a control process until SIGTERM or SIGINT.
int runControlCommand(const Arguments &args);

/// Runs one operation on bundles: keygen, check, sign, submit, status or history.
int runBundleCommand(const Arguments &args);

/// Runs one operation on the roll-outs of a cluster: start, watch or abort.
int runRolloutCommand(const Arguments &args);

/// Runs a stand-in target until SIGTERM or SIGINT.
int runTargetCommand(const Arguments &args);

/// Generates an open-loop load and prints the number of responses and their latencies.
int runLoadCommand(const Arguments &args);

/// Runs both sample deployments on loopback and prints a table of the steps and their results.
int runDemoCommand(const Arguments &args);

}
