/// Script language for scenario tests: faults, load changes and expectations for a run in a Simulation.
///
/// Use it to state a scenario as text, one statement per line, and to print a generated scenario so that it can be
/// replayed:
///
///     deployment tipar            # or consorcio
///     seed 1
///     load 80%
///     run 10s
///     at 5s slow redactie-1 x10   # restore redactie-1 ends slow and failfast
///     at 5s failfast redactie-2
///     at 6s cold redactie-3       # killed and restarted in cold start
///     at 7s leave redactie-4      # return redactie-4 ends it
///     at 7s cut node-1 node-2     # drops messages in this direction; heal node-1 node-2 ends it
///     at 3s out brasov-a          # taken out of service; in brasov-a ends it
///     at 4s load x2               # load x1 ends it
///     expect limit_exceeded == 0
///
/// Blank lines and text after '#' are ignored. Measures have the names of SimulationResults::byName().
#pragma once

#include "scenarios/simulation.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace shallotrelay
{

/// Start or end of a fault, or a change of the load.
struct ScriptEvent {
    Duration when{}; ///< Time since the start of the run.
    std::string verb; ///< The verb of the statement, such as "slow".
    std::string first; ///< The first operand.
    std::string second; ///< The second operand; empty if the verb takes only one.
};

/// Condition on a measure at the end of the run.
struct ScriptExpectation {
    std::string measure; ///< Name of the measure, see SimulationResults::byName().
    std::string relation; ///< One of ==, <= and >=.
    double operand = 0; ///< Right-hand side of the comparison.
};

/// A parsed script.
struct Script {
    SimulationOptions options; ///< Topology, load and seed of the simulation.
    std::vector<ScriptEvent> events; ///< Events in the order of the text.
    std::vector<ScriptExpectation> expectations; ///< Expectations in the order of the text.

    /// Returns the source text of this script; parseScript() reads it back.
    std::string text() const;
};

/// Parses a script; an error contains the line number and the line.
absl::StatusOr<Script> parseScript(std::string_view text);

/// Runs a script under a policy and returns the results.
SimulationResults runScript(const Script &script, SimulationPolicy policy);

/// Returns one message for each expectation that the results do not meet.
std::vector<std::string> unmetExpectations(const Script &script, const SimulationResults &results);

}
