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

HeartbeatEffect HeartbeatIntake::take(const TargetHeartbeat &heartbeat, TargetTracker *tracker, TimePoint now)
{
    const HeartbeatVerdict verdict = m_check.check(heartbeat);
    m_claims.record(heartbeat, verdict);
    if (verdict != HeartbeatVerdict::Accepted) {
        report("heartbeat-refused", toString(verdict), heartbeat, now);
        const bool isCurrent = tracker->current() && tracker->current()->reported.id == heartbeat.id;
        return {AnnouncementResult::Refused, isCurrent, std::nullopt};
    }
    const HeartbeatOutcome outcome = tracker->applyHeartbeat(heartbeat, now);
    if (outcome == HeartbeatOutcome::Outdated) {
        report("heartbeat-stale", "outdated", heartbeat, now);
        return {AnnouncementResult::Stale, false, std::nullopt};
    }
    if (outcome == HeartbeatOutcome::Applied) {
        return {AnnouncementResult::Accepted, true, heartbeat.remainingColdTime};
    }
    report("heartbeat-unconfirmed", "unconfirmed", heartbeat, now);
    HeartbeatEffect out;
    out.changesTarget = tracker->current()->reported.id == heartbeat.id;
    // Until a restart under the same id is confirmed, the target counts as cold if either start is.
    if (out.changesTarget && heartbeat.remainingColdTime > Duration::zero()) {
        out.remainingColdTime = heartbeat.remainingColdTime;
    }
    return out;
}

ServiceClaims &HeartbeatIntake::claims()
{
    return m_claims;
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
