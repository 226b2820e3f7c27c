#include "shallotrelay/locality/roundtriptable.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

constexpr Duration Window = std::chrono::seconds(10);
constexpr Duration UnknownRoundTrip = std::chrono::milliseconds(3);

}

void RoundTripTable::record(const std::string &dataCentre, Duration roundTrip, TimePoint now)
{
    const auto [it, isFirst] = m_entries.try_emplace(dataCentre, Entry{roundTrip, roundTrip, now + Window});
    Entry &entry = it->second;
    if (!isFirst && now >= entry.windowEnd) {
        entry.previous = entry.current;
        entry.current = roundTrip;
        entry.windowEnd = now + Window;
    }
    entry.current = std::min(entry.current, roundTrip);
}

Duration RoundTripTable::roundTrip(const std::string &dataCentre) const
{
    const auto it = m_entries.find(dataCentre);
    return it == m_entries.end() ? UnknownRoundTrip : std::min(it->second.current, it->second.previous);
}

}
