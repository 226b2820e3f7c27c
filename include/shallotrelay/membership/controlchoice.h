/// Which control VMs a node keeps links to.
///
/// All nodes take the same ones, in the order that the control VMs give, so that each of these hears of all targets. A
/// control VM that does not answer, or has lost touch with the others, is passed over until it has had time to return.
#pragma once

#include "shallotrelay/base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Most control VMs that a node keeps links to.
inline constexpr std::size_t MaxControlLinks = 5;

/// Chooses among the known control VMs.
class ControlChoice
{
public:
    /// Takes the addresses that are known at the start.
    explicit ControlChoice(std::vector<std::string> seeds);

    /// Takes in the list of a control VM that is in touch with the others.
    void setKnown(std::vector<std::string> addresses);

    /// Notes whether a link works and its control VM is in touch with the others.
    void noteLink(const std::string &address, bool good, TimePoint now);

    /// Returns the control VMs to keep links to, the first one first.
    std::vector<std::string> wanted(TimePoint now) const;

private:
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_known;
    std::map<std::string, TimePoint> m_badSince;
};

}
