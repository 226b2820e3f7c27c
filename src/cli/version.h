/// The version of the project.
#pragma once

namespace shallotrelay
{

/// Version that --version prints.
inline constexpr const char *Version = "0.1.0";

}
