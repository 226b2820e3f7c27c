#include "shallotrelay/base/random.h"

#include <fmt/format.h>

namespace shallotrelay
{

std::uint64_t randomBelow(Random &random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

double randomFraction(Random &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

std::string randomId(Random &random)
{
    const std::uint64_t high = random();
    const std::uint64_t low = random();
    return fmt::format("{:016x}{:016x}", high, low);
}

}
