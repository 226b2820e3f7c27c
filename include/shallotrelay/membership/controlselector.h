/// Selects the control VMs that a node keeps links to.
///
/// All nodes select the same control VMs, in the order of the list that the control VMs publish, so that each selected
/// control VM learns of all targets. A control VM that does not respond or is partitioned from the others is skipped
/// for a while, to give it time to recover.
#pragma once

#include "shallotrelay/base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Maximum number of control VMs that a node keeps links to.
inline constexpr std::size_t MaxControlLinks = 5;

/// Selects among the known control VMs by the state of the links to them.
class ControlSelector
{
public:
    /// Takes the configured addresses, which are used until a control VM has sent its list.
    explicit ControlSelector(std::vector<std::string> seeds);

    /// Replaces the list of addresses by that of a control VM that is connected to the others.
    void setKnownAddresses(std::vector<std::string> addresses);

    /// Records whether a link works and its control VM is connected to the others.
    void recordLinkState(const std::string &address, bool healthy, TimePoint now);

    /// Returns the addresses to keep links to, in order of preference: at most MaxControlLinks, or all known addresses
    /// and seeds if every known control VM is skipped.
    std::vector<std::string> selected(TimePoint now) const;

private:
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_known;
    std::map<std::string, TimePoint> m_unhealthySince;
};

}
