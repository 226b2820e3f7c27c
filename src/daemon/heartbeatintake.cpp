#include "daemon/heartbeatintake.h"

#include <chrono>
#include <utility>

namespace shallotrelay
{
namespace
{

/// Minimum time between log lines of one event, so that a program that writes many entries a second does not fill the
/// log.
constexpr Duration LogInterval = std::chrono::seconds(1);
/// Maximum number of characters of a text from a heartbeat in a log line.
constexpr std::size_t MaxLoggedText = 80;

}

HeartbeatIntake::HeartbeatIntake(TargetIdentity target, EventLog &log, Metrics &metrics)
    : m_check(std::move(target))
    , m_log(log)
    , m_metrics(metrics)
{
}

AnnouncementResult HeartbeatIntake::take(const TargetHeartbeat &heartbeat, TargetTracker *tracker, TimePoint now)
{
    const HeartbeatVerdict verdict = m_check.check(heartbeat);
    if (verdict != HeartbeatVerdict::Accepted) {
        report("heartbeat-refused", toString(verdict), heartbeat, now);
        return AnnouncementResult::Refused;
    }
    if (!tracker->applyHeartbeat(heartbeat)) {
        report("heartbeat-stale", "outdated", heartbeat, now);
        return AnnouncementResult::Stale;
    }
    return AnnouncementResult::Accepted;
}

void HeartbeatIntake::report(const char *event, const char *reason, const TargetHeartbeat &heartbeat, TimePoint now)
{
    m_metrics
        .counter("shallotrelay_heartbeats_not_applied_total", "Heartbeats that did not change the tracked target",
                 {{"reason", reason}})
        .Increment();
    TimePoint &nextLine = m_nextLines[event];
    if (now < nextLine) {
        return;
    }
    nextLine = now + LogInterval;
    m_log.write(LogLevel::Info, event,
                LogFields()
                    .add("reason", reason)
                    .add("target", heartbeat.id.substr(0, MaxLoggedText))
                    .add("service", heartbeat.service.substr(0, MaxLoggedText))
                    .add("address", heartbeat.address.substr(0, MaxLoggedText))
                    .add("started_at_ms", heartbeat.startedAtMs)
                    .add("sequence", heartbeat.sequence)
                    .add("leaving", std::uint64_t(heartbeat.leaving ? 1 : 0)));
}

}
