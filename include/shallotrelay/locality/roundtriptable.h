/// Round-trip times to other data centres, learnt from the connections that a node opens.
///
/// Load pattern: links between data centres differ and change, while most connections are kept and tell nothing. The
/// shortest recent round trip is that of the way itself; longer ones also contain the load of the processes.
///
///     RoundTripTable table;
///     table.record("sibiu-c", 3ms, now);
///     Duration expected = table.roundTrip("sibiu-c", now);
#pragma once

#include "shallotrelay/base/clock.h"

#include <map>
#include <string>

namespace shallotrelay
{

/// Keeps the shortest round trip to each data centre of the last one to two windows of 10 s.
class RoundTripTable
{
public:
    /// Records a round trip to a VM of the data centre.
    void record(const std::string &dataCentre, Duration roundTrip, TimePoint now);

    /// Returns the expected round trip to the data centre; 3 ms if none was recorded yet.
    Duration roundTrip(const std::string &dataCentre) const;

private:
    struct Entry {
        Duration current{};
        Duration previous{};
        TimePoint windowEnd;
    };

    std::map<std::string, Entry> m_entries;
};

}
