#include "shallotrelay/membership/controlchoice.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// A link that has been bad for this long is passed over; reconnecting takes far less.
constexpr Duration PassOverAfter = std::chrono::milliseconds(1500);
/// A control VM that was passed over is tried again after this long.
constexpr Duration TryAgainAfter = std::chrono::milliseconds(6000);

}

ControlChoice::ControlChoice(std::vector<std::string> seeds)
    : m_seeds(std::move(seeds))
{
}

void ControlChoice::setKnown(std::vector<std::string> addresses)
{
    m_known = std::move(addresses);
}

void ControlChoice::noteLink(const std::string &address, bool good, TimePoint now)
{
    if (good) {
        m_badSince.erase(address);
    } else {
        m_badSince.emplace(address, now);
    }
}

std::vector<std::string> ControlChoice::wanted(TimePoint now) const
{
    const std::vector<std::string> &all = m_known.empty() ? m_seeds : m_known;
    const auto passedOver = [&](const std::string &address) {
        const auto it = m_badSince.find(address);
        if (it == m_badSince.end()) {
            return false;
        }
        // After a while it gets another chance, for as long as it takes to be passed over again.
        const Duration bad = now - it->second;
        return bad >= PassOverAfter && (bad - PassOverAfter) % (TryAgainAfter + PassOverAfter) < TryAgainAfter;
    };
    std::vector<std::string> out;
    for (const std::string &it : all) {
        if (out.size() < MaxControlLinks && !passedOver(it)) {
            out.push_back(it);
        }
    }
    if (!out.empty()) {
        return out;
    }
    // None of them answers; the seeds may name others.
    out = all;
    for (const std::string &it : m_seeds) {
        if (std::find(out.begin(), out.end(), it) == out.end()) {
            out.push_back(it);
        }
    }
    return out;
}

}
