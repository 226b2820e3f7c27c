/// Prints figures of a bench in the form "name: value unit".
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <string>

namespace shallotrelay
{

/// Prints one figure at once.
inline void report(const std::string &name, double value, const std::string &unit)
{
    fmt::print("{}: {:.4g} {}\n", name, value, unit);
    std::fflush(stdout);
}

}
