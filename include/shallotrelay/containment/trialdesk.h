/// Decides at one target which requests under suspicion may run there at the moment.
///
/// Two suspects that run at the same time would make a crash say nothing about either, so one target tries one at a
/// time. The others are told whether to go elsewhere or to come back when the trial is over. No I/O; not thread-safe.
#pragma once

#include "shallotrelay/containment/crashledger.h"

#include <cstdint>
#include <optional>

namespace shallotrelay
{

/// Time after which a contained request may be asked for again: nothing about it changes for minutes, and its caller
/// takes less from this if it has less time.
inline constexpr Duration ContainedRetryAfter = std::chrono::seconds(10);

/// What may be done with a request.
enum class TrialAnswer {
    Run, ///< It runs.
    RunAlone, ///< It runs as soon as nothing else does.
    Elsewhere, ///< Another suspect is on trial here; another target may try it.
    UnderTrial, ///< The same request is on trial here; it is to come back when that is over.
    Refused, ///< It does not run anywhere.
};

/// Returns the name of an answer for logs and callers.
const char *toString(TrialAnswer answer);

/// The one place for a request on trial at a target.
class TrialDesk
{
public:
    /// Asks for a request with its standing; after Run or RunAlone for a suspect, call leave() when it has ended.
    TrialAnswer enter(std::uint64_t print, Standing standing);

    /// Notes that the trial of a request has ended.
    void leave(std::uint64_t print);

    /// Returns the request on trial.
    std::optional<std::uint64_t> onTrial() const;

private:
    std::optional<std::uint64_t> m_onTrial;
};

}
