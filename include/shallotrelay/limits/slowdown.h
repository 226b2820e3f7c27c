/// How much a target slows down as its slots fill up.
///
/// The load pattern: near its full number of slots a target takes longer for each request, so a request is better
/// placed at a target that is less full, and what a full target can still answer in time is less than its usual time
/// suggests.
///
/// The model compares the time of each answer with the usual time of its route at a lightly used target. It fits one
/// number, the factor at full use; between light and full use the factor grows with the square of the use.
#pragma once

#include "shallotrelay/base/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace shallotrelay
{

/// Learns the slowdown of one target from its answers.
class SlowdownModel
{
public:
    /// Takes in the time of an answer, and which share of the slots was taken when its request started. Answers that
    /// were given while the VM was slow for other reasons must be left out.
    void answered(const std::string &route, double use, Duration latency);

    /// Returns the usual time of a route at a lightly used target, zero if it is not known.
    Duration usual(const std::string &route) const;

    /// Returns by which factor work takes longer at a share of slots taken.
    double factor(double use) const;

    /// Returns the factor at full use.
    double full() const;

private:
    std::map<std::string, double> m_usual; // seconds, by route
    double m_covariance = 0; // of crowding and slowdown, fading average
    double m_variance = 0; // of crowding, fading average
};

}
