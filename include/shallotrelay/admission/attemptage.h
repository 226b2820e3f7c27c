/// How long ago a caller first asked, told by the time that it still has.
///
/// The load pattern: in a retry storm most requests are repeats by callers whose first try was refused or was lost. A
/// repeat looks new but for the time left to its caller, which is shorter by the time that has passed. Where callers of
/// a route all start with the same time, what is missing from it is the age; where they do not, nothing can be told.
#pragma once

#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// Follows the time left to the callers of one route.
class AttemptAge
{
public:
    /// Takes in a request and returns its age, zero if it cannot be told.
    Duration ageOf(Duration timeLeft);

private:
    Duration m_full{};
    double m_share = 0; // of the requests that had the full time, fading average
};

}
