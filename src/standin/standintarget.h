/// A stand-in for a target: serves small answers, large downloads and saves, announces itself, and counts what it ran.
#pragma once

#include "net/runtime.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/settings.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace shallotrelay
{

/// What a stand-in has seen.
struct StandInCounts {
    std::uint64_t requests = 0; ///< Requests that it ran.
    std::uint64_t cancelled = 0; ///< Requests whose caller went before the answer was ready.
    std::uint32_t inFlight = 0; ///< Requests that it works on.
    std::uint32_t peakInFlight = 0; ///< Most requests at once.
    std::uint64_t aboveBound = 0; ///< Requests that came when it had as many as it bears.
    std::uint32_t connections = 0; ///< Open connections.
    std::uint32_t peakConnections = 0; ///< Most connections at once.
    std::map<std::string, std::uint64_t> runsByKey; ///< Runs of non-safe requests by idempotency key.
};

/// Serves as a target on loopback. Paths: /bytes/N answers N bytes; /fail answers 500; /abort ends the process; any
/// other path answers a short JSON object. The query "work_ms=N" sets the time that the request takes.
class StandInTarget
{
public:
    StandInTarget(Runtime &runtime, const Clock &clock, TargetSettings settings);
    ~StandInTarget();

    /// Starts to listen and to announce itself.
    absl::Status start();

    /// Announces that it is leaving; requests in progress finish.
    void leave();

    /// Starts anew without warning: cold again, with a new boot id.
    void restartCold();

    /// Returns what it has seen.
    StandInCounts counts() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

/// Returns the byte at an offset of the body that /bytes/N answers.
char standInByte(std::uint64_t offset);

}
