/// Decides which suspected request may run at one target at present.
///
/// If two suspects ran at the same time, a crash would not show which of them caused it, so a target runs one suspect
/// at a time. Others are sent to another target or have to retry after the trial. No I/O; not thread-safe.
#pragma once

#include "shallotrelay/containment/crashledger.h"

#include <cstdint>
#include <optional>

namespace shallotrelay
{

/// Delay before a caller may retry a contained request: containment lasts for minutes, and a caller with less time left
/// uses a shorter delay.
inline constexpr Duration ContainedRetryAfter = std::chrono::seconds(10);

/// Whether and how a request may run at the target.
enum class TrialDecision {
    Run, ///< Runs without restriction.
    RunAlone, ///< Runs as soon as no other request does.
    Elsewhere, ///< Another suspect is on trial here; may run at another target.
    AlreadyOnTrial, ///< The same request is on trial here; may be retried after the trial.
    Refused, ///< Contained; does not run at any target.
};

/// Returns the text of a decision for logs and callers.
const char *toString(TrialDecision decision);

/// Holds the one request that is on trial at a target.
class TrialSlot
{
public:
    /// Decides about a request by its suspicion level. After Run or RunAlone for a suspect, the slot is taken until
    /// release() is called.
    TrialDecision acquire(std::uint64_t fingerprint, SuspicionLevel level);

    /// Frees the slot when the trial of a request has ended; does nothing if the slot holds another request.
    void release(std::uint64_t fingerprint);

    /// Returns the fingerprint of the request on trial, or none.
    std::optional<std::uint64_t> onTrial() const;

private:
    std::optional<std::uint64_t> m_onTrial;
};

}
