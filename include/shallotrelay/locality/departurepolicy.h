/// Decides whether a request leaves the data centre of its node, and how many do.
///
/// Load patterns:
/// - Wave: demand rises and falls by data centre in turns, so that one is full while the others have room. The part of
///   the requests that does not fit leaves, and the rest uses the targets at home up to where waiting begins.
/// - Lost capacity: most targets at home are gone, cold or slow. Requests that would miss their objective at home leave
///   if they meet it elsewhere.
/// - Herd: many nodes see the same free targets elsewhere. Each sends only the excess of its own data centre, and none
///   to a data centre that is about full itself, whose own callers come first.
///
///     DeparturePolicy policy({.secondsPerByte = 1e-6});
///     policy.recordUtilisation({.home = 0.9, .away = 0.4}, now);
///     if (policy.pays(home, away, objective, randomFraction(random))) { ... }
#pragma once

#include "shallotrelay/base/clock.h"

#include <optional>

namespace shallotrelay
{

/// Value of traffic between data centres.
struct DepartureOptions {
    /// Time of a caller that a byte between data centres is worth, in seconds.
    double secondsPerByte = 1.0 / 1.5e6;
};

/// Use of the targets of a service, as the share of their slots that running and queued requests occupy.
struct LocalityUtilisation {
    double home = 0; ///< In the data centre of the node.
    double away = 0; ///< In all other data centres.
};

/// The best target found at home or elsewhere for a request.
struct DepartureOption {
    Duration finish{}; ///< Expected time until the target has finished the request, without the way to it.
    Duration roundTrip{}; ///< Time for the way to the target and back.
    double bytes = 0; ///< Bytes that are sent between data centres.
};

/// Follows the use of the targets of one service and decides for each request; not thread-safe.
class DeparturePolicy
{
public:
    explicit DeparturePolicy(DepartureOptions options);

    /// Records the present use of the targets.
    void recordUtilisation(const LocalityUtilisation &utilisation, TimePoint now);

    /// Returns whether a request goes to the target elsewhere: it meets its objective there but not at home, the time
    /// saved is large and worth the bytes, or it is part of the excess of a full data centre. The objective is the time
    /// left, zero if there is none; `draw` is a random number from 0 to 1.
    bool pays(const DepartureOption &home, const DepartureOption &away, Duration objective, double draw) const;

    /// Returns the share of requests that leave because their data centre is full, from 0 to 1.
    double excessShare() const;

private:
    DepartureOptions m_options;
    LocalityUtilisation m_utilisation;
    double m_excessShare = 0;
    std::optional<TimePoint> m_updatedAt;
};

}
