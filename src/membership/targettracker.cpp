#include "shallotrelay/membership/targettracker.h"

#include <algorithm>

namespace shallotrelay
{

namespace
{

/// Minimum time between the first heartbeat of a rival and the one that confirms it, so that several delayed heartbeats
/// that arrive together do not. Targets send one about every 1.5 s.
constexpr Duration RivalConfirmationTime = std::chrono::seconds(1);
/// Number of earlier starts and of withdrawn ids that are remembered; targets restart every few seconds at most, and
/// heartbeats are late by seconds.
constexpr std::size_t MaxRemembered = 8;

/// Returns whether two heartbeats may be of one start; a start time of 0 is not known.
bool maybeSameStart(const TargetHeartbeat &one, const TargetHeartbeat &other)
{
    return one.id == other.id
           && (one.startedAtMs == other.startedAtMs || one.startedAtMs == 0 || other.startedAtMs == 0);
}

/// Returns whether a heartbeat was sent before the one that was applied last, or is that one again.
bool isLate(const TargetHeartbeat &heartbeat, const TargetHeartbeat &last)
{
    return heartbeat.sequence <= last.sequence && last.sequence != 0;
}

}

bool TargetTracker::isLaterStart(const TargetHeartbeat &heartbeat) const
{
    const std::uint64_t known = m_current->reported.startedAtMs;
    return known != 0 && heartbeat.startedAtMs > known;
}

HeartbeatOutcome TargetTracker::applyHeartbeat(const TargetHeartbeat &heartbeat, TimePoint now)
{
    if (m_current && maybeSameStart(heartbeat, m_current->reported)) {
        return applyToCurrent(heartbeat);
    }
    TargetHeartbeat *ended = findEnded(heartbeat);
    if (ended != nullptr && isLate(heartbeat, *ended)) {
        ended->leaving = ended->leaving || heartbeat.leaving;
        return HeartbeatOutcome::Outdated;
    }
    const bool isNewStart = !m_current || (ended == nullptr && isLaterStart(heartbeat));
    if (!isNewStart) {
        return applyToRival(heartbeat, now);
    }
    setCurrent(heartbeat, Evidence::Heartbeat);
    m_heartbeats += m_instances == 1 ? 1 : 0;
    return HeartbeatOutcome::Applied;
}

HeartbeatOutcome TargetTracker::applyToCurrent(const TargetHeartbeat &heartbeat)
{
    TargetHeartbeat &known = m_current->reported;
    if (isLate(heartbeat, known)) {
        // A target that is leaving stays so, hence the order of the heartbeats does not matter.
        const bool news = heartbeat.leaving && !known.leaving;
        known.leaving = known.leaving || heartbeat.leaving;
        return news ? HeartbeatOutcome::Applied : HeartbeatOutcome::Outdated;
    }
    const bool isLifted = m_heartbeatsToLift == 1;
    const bool wasLeaving = known.leaving && !isLifted;
    const std::uint64_t startedAtMs = heartbeat.startedAtMs != 0 ? heartbeat.startedAtMs : known.startedAtMs;
    known = heartbeat;
    known.startedAtMs = startedAtMs;
    known.leaving = heartbeat.leaving || wasLeaving;
    m_heartbeatsToLift = heartbeat.leaving || m_heartbeatsToLift == 0 ? 0 : m_heartbeatsToLift - 1;
    m_rival.reset();
    m_heartbeats += m_current->start == 1 ? 1 : 0;
    if (heartbeat.leaving) {
        m_leavingStatedAt.reset();
    }
    return HeartbeatOutcome::Applied;
}

HeartbeatOutcome TargetTracker::applyToRival(const TargetHeartbeat &heartbeat, TimePoint now)
{
    const bool known = m_rival && maybeSameStart(heartbeat, m_rival->reported);
    const bool late = known && isLate(heartbeat, m_rival->reported);
    const bool leaving = heartbeat.leaving || (known && m_rival->reported.leaving);
    if (!known) {
        m_rival = Rival{heartbeat, now};
    } else if (!late) {
        m_rival->reported = heartbeat;
    }
    m_rival->reported.leaving = leaving;
    if (known && !late && now - m_rival->firstHeartbeatAt >= RivalConfirmationTime) {
        setCurrent(m_rival->reported, Evidence::Heartbeat);
        return HeartbeatOutcome::Applied;
    }
    TargetHeartbeat &current = m_current->reported;
    if (leaving && current.id == heartbeat.id && !current.leaving) {
        current.leaving = true;
        m_heartbeatsToLift = 1;
    }
    return HeartbeatOutcome::Pending;
}

/// Returns the earlier start of a heartbeat, or nullptr if it is not remembered.
TargetHeartbeat *TargetTracker::findEnded(const TargetHeartbeat &heartbeat)
{
    const auto it = std::find_if(m_ended.rbegin(), m_ended.rend(),
                                 [&](const TargetHeartbeat &ended) { return maybeSameStart(heartbeat, ended); });
    return it == m_ended.rend() ? nullptr : &*it;
}

void TargetTracker::setCurrent(TargetHeartbeat reported, Evidence evidence)
{
    if (m_current) {
        m_ended.push_back(std::move(m_current->reported));
        if (m_ended.size() > MaxRemembered) {
            m_ended.pop_front();
        }
    }
    const bool withdrawn = takeWithdrawal(reported.id);
    // A heartbeat may have been sent before the withdrawal, so one alone does not lift it.
    const int missing = evidence == Evidence::Heartbeat ? 1 : 2;
    m_heartbeatsToLift = withdrawn && !reported.leaving ? missing : 0;
    reported.leaving = reported.leaving || withdrawn;
    m_rival.reset();
    m_leavingStatedAt.reset();
    m_current = TrackedTarget{std::move(reported), ++m_instances};
}

/// Returns whether the id was withdrawn, and forgets that.
bool TargetTracker::takeWithdrawal(const std::string &id)
{
    return std::erase(m_withdrawn, id) > 0;
}

bool TargetTracker::markLeaving(const std::string &id)
{
    if (m_rival && m_rival->reported.id == id) {
        m_rival->reported.leaving = true;
    }
    if (!m_current || m_current->reported.id != id) {
        takeWithdrawal(id);
        m_withdrawn.push_back(id);
        if (m_withdrawn.size() > MaxRemembered) {
            m_withdrawn.pop_front();
        }
        return false;
    }
    m_current->reported.leaving = true;
    m_heartbeatsToLift = 0;
    m_leavingStatedAt.reset();
    return true;
}

bool TargetTracker::recordLeavingStatement(const std::string &id, TimePoint now)
{
    if (!m_current || m_current->reported.id != id) {
        return false;
    }
    if (!m_current->reported.leaving && m_current->reported.startedAtMs == 0) {
        m_leavingStatedAt = now;
    }
    m_current->reported.leaving = true;
    return true;
}

bool TargetTracker::showsRestart(const TargetProbe &probe, TimePoint sentAt) const
{
    return m_leavingStatedAt && sentAt > *m_leavingStatedAt && probe.healthy && !probe.statement.leaving;
}

bool TargetTracker::applyProbe(const TargetProbe &probe, const std::string &service, const std::string &address,
                               TimePoint sentAt)
{
    const bool known = m_current && m_current->reported.id == probe.id && !showsRestart(probe, sentAt);
    if (!known) {
        TargetHeartbeat reported;
        reported.id = probe.id;
        reported.slots = probe.slots > 0 ? probe.slots : (m_current ? m_current->reported.slots : 1);
        const bool isRival = m_rival && m_rival->reported.id == probe.id;
        const auto ended = std::find_if(m_ended.rbegin(), m_ended.rend(),
                                        [&](const TargetHeartbeat &it) { return it.id == probe.id; });
        if (isRival) {
            reported = m_rival->reported;
        } else if (m_current && m_current->reported.id != probe.id && ended != m_ended.rend()) {
            reported = *ended;
            // The id may be that of a later start, of which only a heartbeat tells the version.
            reported.version.clear();
        }
        reported.service = service;
        reported.address = address;
        setCurrent(std::move(reported), Evidence::Probe);
    } else if (m_rival && m_rival->reported.id != probe.id && m_rival->firstHeartbeatAt < sentAt) {
        m_rival.reset();
    }
    m_reportedHealthy = m_reportedHealthy || (m_instances == 1 && probe.healthy);
    if (probe.remainingColdTime) {
        m_current->reported.remainingColdTime = *probe.remainingColdTime;
    }
    return !known;
}

bool TargetTracker::isConfirmed() const
{
    constexpr std::uint32_t RequiredHeartbeats = 2;
    return m_instances > 1 || m_reportedHealthy || m_heartbeats >= RequiredHeartbeats;
}

const std::optional<TrackedTarget> &TargetTracker::current() const
{
    return m_current;
}

}
