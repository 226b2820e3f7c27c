#include "shallotrelay/rollout/versiongate.h"

namespace shallotrelay
{

const char *toString(VersionStanding standing)
{
    switch (standing) {
    case VersionStanding::Serves:
        return "serves";
    case VersionStanding::ByGrant:
        return "by-grant";
    case VersionStanding::Withdrawn:
        return "withdrawn";
    case VersionStanding::Held:
        return "held";
    }
    return "invalid";
}

VersionStanding versionStanding(const RolloutRecord *rollout, const std::string &version)
{
    if (rollout == nullptr) {
        return VersionStanding::Serves;
    }
    if (version.empty()) {
        return VersionStanding::Held;
    }
    const bool isNew = version == rollout->version;
    switch (rollout->state) {
    case RolloutState::Running:
        return isNew ? VersionStanding::ByGrant : VersionStanding::Serves;
    case RolloutState::Switching:
    case RolloutState::Succeeded:
        return isNew ? VersionStanding::Serves : VersionStanding::Withdrawn;
    case RolloutState::RolledBack:
        return isNew ? VersionStanding::Withdrawn : VersionStanding::Serves;
    }
    return VersionStanding::Held;
}

}
