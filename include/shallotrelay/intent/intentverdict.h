/// The verdicts of the replicated state machine on the orders of operators.
#pragma once

namespace shallotrelay
{

/// Verdict on an order.
enum class IntentVerdict {
    Accepted, ///< The order changes the state.
    Repeated, ///< The order was accepted before, or the data centre is already in the requested state.
    Superseded, ///< The current version is not the one that the order is based on.
    Outdated, ///< The version of the order is not above the current version.
    Conflict, ///< Another roll-out of the service is in progress, or its new version is already in effect.
};

/// Returns the name of a verdict, for logs.
const char *toString(IntentVerdict verdict);

}
