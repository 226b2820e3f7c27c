/// When a request that has no answer yet is sent to a second target as well.
///
/// The load pattern: single VMs turn several times slower for a fraction of a second, so a few requests in a hundred
/// take far longer than the rest while most targets are idle. A second try of just these requests is worth its work if
/// it can still finish within the objective; sending more of them would only add load.
#pragma once

#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// Follows how long the requests of one route take, and tells after which time an answer is late.
class HedgeTimer
{
public:
    /// Takes in the time until the answer, or the time for which the first target had none when a second one answered.
    void answered(Duration latency);

    /// Returns the time after which a second try starts; the objective is zero if there is none.
    Duration delay(Duration objective) const;

    /// Returns whether a request is to be sent to a second target at once because the VM of the first one has turned
    /// slow: it would miss its objective there, and can still meet it elsewhere. The pace is the time that work takes
    /// there relative to the usual time; the objective is zero if there is none.
    bool slowedDown(Duration elapsed, Duration objective, double pace) const;

    /// Returns the average time until the answer, zero before the first one.
    Duration usual() const;

private:
    double m_usual = 0; // seconds
    double m_slow = 0; // seconds, estimate of the time that few requests exceed
};

}
