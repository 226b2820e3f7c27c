/// An order of an operator to begin a roll-out, before it is replicated.
///
/// Load pattern: operators' programs repeat an order until it is acknowledged and send malformed ones now and then.
/// Only orders within these limits reach the replicated log.
///
///     RolloutRequest request{service, version, within};
///     if (const absl::Status status = validate(request); !status.ok()) { return status; }
#pragma once

#include "shallotrelay/base/clock.h"

#include <absl/status/status.h>

#include <cstddef>
#include <string>

namespace shallotrelay
{

/// Minimum and maximum time within which a roll-out must end.
inline constexpr Duration MinRolloutTime = std::chrono::seconds(1);
inline constexpr Duration MaxRolloutTime = std::chrono::hours(24);

/// Maximum size of the names in an order, in bytes; datagrams with samples carry them.
inline constexpr std::size_t MaxRolloutNameBytes = 128;

/// An order to begin a roll-out.
struct RolloutRequest {
    std::string service; ///< The service.
    std::string version; ///< The new version of its targets.
    Duration within = Duration::zero(); ///< Time within which the roll-out must end.
};

/// Returns InvalidArgument if a name is empty or too long, or the time is out of range.
absl::Status validate(const RolloutRequest &request);

}
