/// Randomness for decision logic: a seeded generator that is passed in, so that a run with the same seed replays.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace shallotrelay
{

/// The seeded generator that decision logic draws from.
using Random = std::mt19937_64;

/// Returns a number from 0 up to but without the bound, which must be above 0.
std::uint64_t randomBelow(Random &random, std::uint64_t bound);

/// Returns a number from 0 up to but without 1.
double randomFraction(Random &random);

/// Returns 32 hexadecimal digits, for request ids and boot ids.
std::string randomId(Random &random);

}
