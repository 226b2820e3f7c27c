/// The test language: a script of faults and expectations, one a line, that runs in a World.
///
///     deployment tipar            # or consorcio
///     load 80%
///     run 10s
///     at 5s slow redactie-1 x10   # restore NAME ends slow and failfast
///     at 5s failfast redactie-2
///     at 6s cold redactie-3       # killed, back after a moment, cold
///     at 7s leave redactie-4      # return NAME
///     at 7s cut node-1 node-2     # one way; heal A B
///     at 3s out brasov-a          # in PLACE
///     at 4s load x2               # load x1 ends it
///     expect limit_exceeded == 0
///
/// Blank lines and text behind '#' are passed over. Measures are those of WorldMeasures::byName().
#pragma once

#include "scenarios/world.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace shallotrelay
{

/// One fault or its end.
struct ScriptEvent {
    Duration when{}; ///< Time from the start.
    std::string verb; ///< What happens.
    std::string first; ///< The first operand.
    std::string second; ///< The second operand, if the verb takes one.
};

/// One expectation.
struct ScriptExpectation {
    std::string measure; ///< Name of the measure.
    std::string relation; ///< One of ==, <= and >=.
    double bound = 0; ///< What the measure is compared with.
};

/// A parsed script.
struct Script {
    WorldOptions options; ///< The world that it runs in.
    std::vector<ScriptEvent> events; ///< Faults in the order of the text.
    std::vector<ScriptExpectation> expectations; ///< What must hold.

    /// Returns the text that parses to this script.
    std::string text() const;
};

/// Reads a script; an error names the line.
absl::StatusOr<Script> parseScript(std::string_view text);

/// Runs a script under a policy.
WorldMeasures runScript(const Script &script, WorldPolicy policy);

/// Returns the expectations that the measures do not meet, as text.
std::vector<std::string> unmet(const Script &script, const WorldMeasures &measures);

}
