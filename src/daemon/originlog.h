/// Logs and counts what tells where the caller service that targets see comes from, and whether a request is passed on
/// as it was read.
///
/// Use it at the node where a request begins, and at the node of its target; the request id joins the lines of both.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstddef>

namespace shallotrelay
{

/// Writes a `request-read` line for each request of a caller and a `request-sent` line for each request to a target,
/// both at the level debug, and an `unknown-caller-service` line at most once per second. Use it from one event loop
/// only.
class OriginLog
{
public:
    OriginLog(EventLog &log, Metrics &metrics);

    /// Records a request of a caller as it is passed on, and the number of header fields that the caller sent although
    /// only the system may set them.
    void recordRead(const RequestHead &request, std::size_t removedFields);

    /// Records a request that is sent to a local target, and whether the node knows the service that it states as its
    /// origin.
    void recordSent(const RequestHead &request, bool isServiceKnown, TimePoint now);

private:
    EventLog &m_log;
    prometheus::Counter &m_removedFields;
    prometheus::Counter &m_unknownServices;
    TimePoint m_nextLine;
};

}
