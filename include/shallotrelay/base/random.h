/// Seeded random numbers for decision logic. The generator is passed in, so that a run with the same seed is
/// reproducible.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace shallotrelay
{

/// The seeded generator used by decision logic.
using Random = std::mt19937_64;

/// Returns a uniformly distributed number in [0, bound); the bound must be above 0.
std::uint64_t randomBelow(Random &random, std::uint64_t bound);

/// Returns a uniformly distributed number in [0, 1).
double randomFraction(Random &random);

/// Returns 128 random bits as 32 hexadecimal digits, for request ids and boot ids.
std::string randomId(Random &random);

}
