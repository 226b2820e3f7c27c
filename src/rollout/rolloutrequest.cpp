#include "shallotrelay/rollout/rolloutrequest.h"

#include <fmt/format.h>

namespace shallotrelay
{
namespace
{

absl::Status checkName(const char *member, const std::string &name)
{
    if (name.empty() || name.size() > MaxRolloutNameBytes) {
        return absl::InvalidArgumentError(fmt::format("{} must have 1 to {} bytes", member, MaxRolloutNameBytes));
    }
    return absl::OkStatus();
}

}

absl::Status validate(const RolloutRequest &request)
{
    if (absl::Status status = checkName("service", request.service); !status.ok()) {
        return status;
    }
    if (absl::Status status = checkName("version", request.version); !status.ok()) {
        return status;
    }
    if (request.within < MinRolloutTime || request.within > MaxRolloutTime) {
        return absl::InvalidArgumentError("the time for a roll-out must be from 1s to 24h");
    }
    return absl::OkStatus();
}

}
