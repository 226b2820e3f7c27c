/// Which requests a target may get during and after a roll-out of its service, by the version of its software.
///
/// Load pattern: targets of two versions run side by side, the state of the roll-out reaches their nodes one after the
/// other, and nodes restart meanwhile and find their target before it tells its version again. Each guard decides alone
/// and at once, and a target that may be of the withheld version gets nothing.
///
///     if (versionStanding(rollout, version) == VersionStanding::Withdrawn) { refuse(); }
#pragma once

#include "shallotrelay/messages.h"

#include <string>

namespace shallotrelay
{

/// What a target may do for its service.
enum class VersionStanding {
    Serves, ///< It gets requests without regard to roll-outs.
    ByGrant, ///< It is of the new version and starts only what the leader allows.
    Withdrawn, ///< It gets no new requests and finishes those in flight.
    Held, ///< Its version is not known, so that it gets no requests until it is.
};

/// Returns the name of a standing, for logs.
const char *toString(VersionStanding standing);

/// Returns the standing of a target of a version, which is empty if it is not known, by the last roll-out of its
/// service; nullptr if the service had none.
VersionStanding versionStanding(const RolloutRecord *rollout, const std::string &version);

}
