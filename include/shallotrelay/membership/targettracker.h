/// Tracks the one target beside a node from its heartbeats, which may arrive late, and from probes of its address.
///
/// A heartbeat of an earlier instance of the target may arrive after a later instance has announced itself, a restarted
/// target may reuse its id, and the clock that gives the start times may be set back between two starts. So a start
/// time alone proves only that a start is new: a heartbeat of another start that does not have a later start time is
/// kept as a rival. The rival becomes the current target once a probe of the address reports its id, or once it sends a
/// further heartbeat while the current one sends none. A probe shows which instance is at the address at present and so
/// takes precedence over heartbeats.
///
/// Load pattern: targets crash and start again within a second while clocks are being corrected.
///
///     TargetTracker tracker;
///     if (tracker.applyHeartbeat(heartbeat, now) == HeartbeatOutcome::Applied) { announce(*tracker.current()); }
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/membership/targetstatement.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace shallotrelay
{

/// The state that a target reports in a heartbeat.
struct TargetHeartbeat {
    std::string id; ///< Id of this instance of the target; a restart may reuse it.
    std::string service; ///< Service of the target.
    std::string address; ///< Address at which it accepts requests.
    std::uint32_t slots = 0; ///< Capacity: maximum number of requests in flight.
    bool leaving = false; ///< Whether it is draining and accepts no new requests.
    Duration remainingColdTime{}; ///< Remaining time of its cold start.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of one instance.
    std::uint64_t startedAtMs = 0; ///< Start time in milliseconds since 1970, 0 if not reported.
    std::string version{}; ///< Version of its software; empty if it is not known, as after a probe.
};

/// The result of a probe of the target's address.
struct TargetProbe {
    std::string id; ///< Id of the instance that responded.
    bool healthy = true; ///< Whether it reports itself healthy and not draining.
    std::uint32_t slots = 0; ///< Capacity in requests in flight, 0 if not reported.
    std::optional<Duration> remainingColdTime; ///< Remaining time of its cold start, if reported.
    std::uint32_t pacePercent = 0; ///< Present slowdown of its VM in percent, 0 if not reported.
    TargetStatement statement; ///< What it states about itself.
};

/// The current target as the node knows it.
struct TrackedTarget {
    TargetHeartbeat reported; ///< State from its last heartbeat, updated by probes.
    std::uint64_t start = 0; ///< Number of the instance, which increases with each one that the node detects.
};

/// What a tracker did with a heartbeat.
enum class HeartbeatOutcome {
    Applied, ///< The current target is as the heartbeat states.
    Pending, ///< It is that of a rival, which a probe or a further heartbeat may confirm.
    Outdated, ///< Ignored: it is older than another one of the same start.
};

/// Derives the current target from heartbeats and probes in any order.
class TargetTracker
{
public:
    /// Applies a heartbeat. If its target is leaving, this always takes effect: at once if it may be the current one,
    /// and otherwise when it becomes the current one.
    HeartbeatOutcome applyHeartbeat(const TargetHeartbeat &heartbeat, TimePoint now);

    /// Marks the target with this id as leaving: it accepts no new requests and will stop. Returns whether it is the
    /// current one; otherwise it is marked when it becomes the current one.
    bool markLeaving(const std::string &id);

    /// Marks the target with this id as leaving because it stated that in a response. Returns whether it is the current
    /// one.
    bool recordLeavingStatement(const std::string &id, TimePoint now);

    /// Applies the result of a probe of a target of this service and address that was sent at the given time; returns
    /// whether it detected a new instance. If the start time of a target is not known and it has only stated that it is
    /// leaving, a healthy response without the statement to a later probe is that of a new instance under the same id.
    bool applyProbe(const TargetProbe &probe, const std::string &service, const std::string &address,
                    TimePoint sentAt = {});

    /// Returns whether the current target may receive requests. The first target that a node detects after its own
    /// restart may have announced before that it is leaving: the node has lost this state, and older heartbeats may
    /// still arrive. The target is confirmed once a probe reports it healthy or a second heartbeat arrives, since a
    /// leaving target sends no further heartbeats. Later instances need no confirmation.
    bool isConfirmed() const;

    /// Returns the current target, or none before the first heartbeat or probe.
    const std::optional<TrackedTarget> &current() const;

private:
    /// A start of a target that may have replaced the current one.
    struct Rival {
        TargetHeartbeat reported;
        TimePoint firstHeartbeatAt;
    };

    /// What showed that an instance is the current one.
    enum class Evidence {
        Heartbeat,
        Probe,
    };

    bool isLaterStart(const TargetHeartbeat &heartbeat) const;
    HeartbeatOutcome applyToCurrent(const TargetHeartbeat &heartbeat);
    HeartbeatOutcome applyToRival(const TargetHeartbeat &heartbeat, TimePoint now);
    TargetHeartbeat *findEnded(const TargetHeartbeat &heartbeat);
    void setCurrent(TargetHeartbeat reported, Evidence evidence);
    bool takeWithdrawal(const std::string &id);
    bool showsRestart(const TargetProbe &probe, TimePoint sentAt) const;

    std::optional<TrackedTarget> m_current;
    std::optional<Rival> m_rival;
    std::deque<TargetHeartbeat> m_ended; // starts that were replaced, as last reported; the newest is the last
    std::deque<std::string> m_withdrawn; // ids that are leaving, but were not those of a known target
    // Further heartbeats after which the target no longer counts as leaving, because only a rival with the same id or
    // an earlier withdrawal told that it is; 0 if it remains so.
    int m_heartbeatsToLift = 0;
    std::uint64_t m_instances = 0;
    // When the current instance stated that it is leaving; none if it has announced that, or if its start time is
    // known, by which heartbeats tell a new instance.
    std::optional<TimePoint> m_leavingStatedAt;
    std::uint32_t m_heartbeats = 0; // of the first instance
    bool m_reportedHealthy = false; // by the first instance, in a probe
};

}
