#include "daemon/originlog.h"

#include <chrono>

namespace shallotrelay
{
namespace
{

/// Minimum time between log lines about unknown services, so that a wrong node does not fill the logs of the others.
constexpr Duration LogInterval = std::chrono::seconds(1);
/// Maximum number of characters of a text from a request in a log line.
constexpr std::size_t MaxLoggedText = 200;

LogFields describe(const RequestHead &request)
{
    return LogFields()
        .add("request", request.requestId.substr(0, MaxLoggedText))
        .add("method", request.method.substr(0, MaxLoggedText))
        .add("path", request.path.substr(0, MaxLoggedText))
        .add("route", request.route)
        .add("caller_service", request.callerService.substr(0, MaxLoggedText));
}

}

OriginLog::OriginLog(EventLog &log, Metrics &metrics)
    : m_log(log)
    , m_removedFields(metrics.counter("shallotrelay_reserved_fields_removed_total",
                                      "Header fields of callers that only the system may set"))
    , m_unknownServices(metrics.counter("shallotrelay_unknown_caller_services_total",
                                        "Requests to the local target whose caller service is not known"))
{
}

void OriginLog::recordRead(const RequestHead &request, std::size_t removedFields)
{
    m_removedFields.Increment(static_cast<double>(removedFields));
    if (m_log.enabled(LogLevel::Debug)) {
        m_log.write(LogLevel::Debug, "request-read",
                    describe(request).add("removed_fields", std::uint64_t(removedFields)));
    }
}

void OriginLog::recordSent(const RequestHead &request, bool isServiceKnown, TimePoint now)
{
    if (m_log.enabled(LogLevel::Debug)) {
        m_log.write(LogLevel::Debug, "request-sent", describe(request).add("target", request.target));
    }
    if (isServiceKnown) {
        return;
    }
    m_unknownServices.Increment();
    if (now >= m_nextLine) {
        m_nextLine = now + LogInterval;
        m_log.write(LogLevel::Warn, "unknown-caller-service", describe(request).add("target", request.target));
    }
}

}
