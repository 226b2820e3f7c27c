/// Models how much longer requests take as the slots of a target fill up.
///
/// A target close to its slot limit takes longer for each request. A request is therefore better placed at a target
/// with more free slots, and a full target can meet fewer deadlines than its response times at light load suggest.
///
/// The model compares each response time with the baseline response time of the route at light load. It fits one
/// parameter, the slowdown factor at full utilisation; between light load and full utilisation the slowdown grows with
/// the square of the utilisation.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace shallotrelay
{

/// Learns the slowdown of one target from its response times.
class SlowdownModel
{
public:
    /// Records a response time and the share of the slots in use when the request started. Responses given while the VM
    /// was slow for other reasons must be left out.
    void recordResponse(const std::string &route, double utilisation, Duration latency);

    /// Returns the baseline response time of a route at light load, zero if unknown.
    Duration baseline(const std::string &route) const;

    /// Returns the slowdown factor at a utilisation, given as the share of slots in use.
    double factorAt(double utilisation) const;

    /// Returns the slowdown factor at full utilisation.
    double factorAtFull() const;

private:
    std::map<std::string, double> m_baselines; // seconds, by route
    double m_covariance = 0; // of contention and slowdown, moving average
    double m_variance = 0; // of contention, moving average
};

}
