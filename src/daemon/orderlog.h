/// Describes orders of operators, and steps of roll-outs, in log lines.
#pragma once

#include "daemon/eventlog.h"
#include "shallotrelay/intent/intentverdict.h"
#include "shallotrelay/messages.h"

namespace shallotrelay
{

/// Returns the fields of the log line about an order at an index of the log and the verdict on it.
LogFields describeOrder(const IntentOrder &order, IntentVerdict verdict, std::uint64_t index);

}
