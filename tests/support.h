/// What the tests share: a clock that is moved by hand, and samples of bundles and announcements.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/bundle/signature.h"

#include <nlohmann/json.hpp>

#include <string>

namespace shallotrelay
{

using namespace std::chrono_literals;

/// A clock that stands still until a test moves it.
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

/// Returns a point in time, counted from an arbitrary start.
inline TimePoint at(Duration span)
{
    return TimePoint(std::chrono::hours(1)) + span;
}

/// Returns a bundle of Tipar with one service, at its sizes.
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

/// Returns the trust of the sample bundle's firm in some operators.
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
