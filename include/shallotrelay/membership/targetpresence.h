/// What a node believes of the one target beside it, from heartbeats that may be late and from probes of the target.
///
/// A heartbeat of an earlier start of the target may arrive after a later start has announced itself, and a target may
/// start again under the name that it had. Starts are ordered by the time at which they began, and heartbeats of one
/// start by their sequence. A probe tells what stands at the address at this moment, whatever heartbeats said.
///
///     TargetPresence presence;
///     if (presence.heartbeat(heartbeat, now)) { announce(*presence.current()); }
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace shallotrelay
{

/// What a target says of itself in a heartbeat.
struct TargetHeartbeat {
    std::string id; ///< Name of this start of the target.
    std::string service; ///< The service that it serves.
    std::string address; ///< Where it takes requests.
    std::uint32_t slots = 0; ///< Requests at once that it bears.
    bool leaving = false; ///< Whether it takes nothing new.
    Duration coldLeft{}; ///< How much longer it stays cold.
    std::uint64_t sequence = 0; ///< Rises with each heartbeat of one start.
    std::uint64_t bornMs = 0; ///< Milliseconds since 1970 at which it started, 0 if it does not tell.
};

/// What a probe of the target's address showed.
struct TargetProbe {
    std::string id; ///< Name of the start that answered.
    bool healthy = true; ///< Whether it says that it is well and not leaving.
    std::uint32_t slots = 0; ///< Requests at once that it bears, 0 if it does not tell.
    std::optional<Duration> coldLeft; ///< How much longer it stays cold, if it tells.
    std::uint32_t pacePercent = 0; ///< How long work takes on its VM at present, 0 if it does not tell.
};

/// The target as the node takes it to be.
struct PresentTarget {
    TargetHeartbeat said; ///< What it said last, completed by what probes showed.
    std::uint64_t start = 0; ///< Rises with each start that the node noticed.
};

/// Orders what is heard of a target.
class TargetPresence
{
public:
    /// Takes in a heartbeat; returns false if it is older than what is known.
    bool heartbeat(const TargetHeartbeat &heartbeat);

    /// Notes that a target takes nothing new and will end; returns whether it is the present one.
    bool left(const std::string &id);

    /// Takes in a probe; returns whether it showed a start that was not known.
    bool probed(const TargetProbe &probe, const std::string &service, const std::string &address);

    /// Returns whether the present target may get work. The first target that is heard of after the node has started
    /// may have left before: what it said then is forgotten, and its heartbeats may arrive late. It is confirmed once
    /// it says that it is well, or has sent a second heartbeat, which one that has left does not do.
    bool confirmed() const;

    /// Returns the present target, or none if nothing was heard of one.
    const std::optional<PresentTarget> &current() const;

private:
    bool isOlder(const TargetHeartbeat &heartbeat) const;

    std::optional<PresentTarget> m_current;
    std::uint64_t m_starts = 0;
    std::uint32_t m_heartbeats = 0; // of the first start
    bool m_saidWell = false; // by the first start, to a probe
};

}
