/// HTTP server that takes the place of a real target in tests and demos: it serves small responses, large downloads and
/// uploads, announces itself to its node, and counts the requests that it ran.
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

/// Counters of a stand-in target.
struct StandInCounts {
    std::uint64_t requests = 0; ///< Requests that were run.
    std::uint64_t cancelled = 0; ///< Requests whose caller disconnected before the response was ready.
    std::uint32_t inFlight = 0; ///< Requests in flight.
    std::uint32_t peakInFlight = 0; ///< Maximum number of requests in flight.
    std::uint64_t aboveLimit = 0; ///< Requests that arrived when the in-flight limit was already reached.
    std::uint32_t connections = 0; ///< Open connections.
    std::uint32_t peakConnections = 0; ///< Maximum number of open connections.
    std::map<std::string, std::uint64_t> runsByKey; ///< Executions of non-safe requests by idempotency key.
};

/// Serves HTTP requests as a target. Paths: /bytes/N returns N bytes; /fail returns status 500; /abort aborts the
/// process; /counts returns the counters; paths that start with /stubborn run to the end even if the caller
/// disconnects; every other path returns a short JSON object. The query "work_ms=N" sets the work time of the request
/// in milliseconds.
class StandInTarget
{
public:
    StandInTarget(Runtime &runtime, const Clock &clock, TargetSettings settings);
    ~StandInTarget();

    /// Starts to listen and to announce the target; returns an error if the address cannot be bound.
    absl::Status start();

    /// Announces that the target is leaving; requests in flight complete.
    void leave();

    /// Simulates a restart without notice: the target is cold again and has a new boot id.
    void restartCold();

    /// Returns a copy of the counters.
    StandInCounts counts() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

/// Returns the byte at an offset of the response body of /bytes/N.
char standInByte(std::uint64_t offset);

}
