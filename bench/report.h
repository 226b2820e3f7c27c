/// Output of benchmark results in the form "name: value unit", for all benchmarks.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <string>

namespace shallotrelay
{

/// Prints one result and flushes standard output.
inline void report(const std::string &name, double value, const std::string &unit)
{
    fmt::print("{}: {:.4g} {}\n", name, value, unit);
    std::fflush(stdout);
}

}
