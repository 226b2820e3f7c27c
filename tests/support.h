/// Helpers for unit tests: a manually advanced clock, points in time, and a sample bundle with its trust policy.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/bundle/signature.h"

#include <nlohmann/json.hpp>

#include <string>

namespace shallotrelay
{

using namespace std::chrono_literals;

/// Clock whose time changes only by calls of advance().
class FakeClock : public Clock
{
public:
    TimePoint now() const override
    {
        return m_now;
    }

    void advance(Duration span)
    {
        m_now += span;
    }

private:
    TimePoint m_now = TimePoint(std::chrono::hours(1));
};

/// Returns the point in time at an offset from the start time of FakeClock.
inline TimePoint at(Duration span)
{
    return TimePoint(std::chrono::hours(1)) + span;
}

/// Returns a bundle of the firm "tipar" with the service "redactie" and its usual limits.
inline nlohmann::json sampleBundle(std::uint64_t version)
{
    return {{"format", 1},
            {"firm", "tipar"},
            {"version", version},
            {"data_centres", {{"brasov-a", "in"}, {"brasov-b", "in"}, {"sibiu-c", "in"}}},
            {"services",
             {{"redactie",
               {{"data_centres", {"brasov-a", "brasov-b", "sibiu-c"}},
                {"slots", 12},
                {"connections", 240},
                {"cold", {{"slots", 2}, {"ramp_ms", 200}}},
                {"queue", {{"length", 24}, {"wait_ms", 1000}}}}}}}};
}

/// Returns a trust policy for the firm of sampleBundle() with the public keys of some operators and a signature
/// threshold.
inline TrustPolicy sampleTrust(const std::vector<KeyPair> &operators, std::uint32_t threshold)
{
    FirmTrust firm;
    for (const KeyPair &it : operators) {
        firm.keys.insert(it.publicKey);
    }
    firm.threshold = threshold;
    firm.dataCentres = {"brasov-a", "brasov-b", "sibiu-c"};
    return {{"tipar", firm}};
}

}
