#include "shallotrelay/membership/controlselector.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// A control VM is skipped after its link was unhealthy for this long; reconnecting takes far less.
constexpr Duration SkipAfter = std::chrono::milliseconds(1500);
/// A skipped control VM is selected again after this long.
constexpr Duration RetryAfter = std::chrono::milliseconds(6000);

}

ControlSelector::ControlSelector(std::vector<std::string> seeds)
    : m_seeds(std::move(seeds))
{
}

void ControlSelector::setKnownAddresses(std::vector<std::string> addresses)
{
    m_known = std::move(addresses);
}

void ControlSelector::recordLinkState(const std::string &address, bool healthy, TimePoint now)
{
    if (healthy) {
        m_unhealthySince.erase(address);
    } else {
        m_unhealthySince.emplace(address, now);
    }
}

std::vector<std::string> ControlSelector::selected(TimePoint now) const
{
    const std::vector<std::string> &all = m_known.empty() ? m_seeds : m_known;
    const auto isSkipped = [&](const std::string &address) {
        const auto it = m_unhealthySince.find(address);
        if (it == m_unhealthySince.end()) {
            return false;
        }
        // Periodically it is selected again, for the time after which an unhealthy link is skipped.
        const Duration unhealthy = now - it->second;
        return unhealthy >= SkipAfter && (unhealthy - SkipAfter) % (RetryAfter + SkipAfter) < RetryAfter;
    };
    std::vector<std::string> out;
    for (const std::string &it : all) {
        if (out.size() < MaxControlLinks && !isSkipped(it)) {
            out.push_back(it);
        }
    }
    if (!out.empty()) {
        return out;
    }
    // No known control VM responds; the seeds may lead to others.
    out = all;
    for (const std::string &it : m_seeds) {
        if (std::find(out.begin(), out.end(), it) == out.end()) {
            out.push_back(it);
        }
    }
    return out;
}

}
