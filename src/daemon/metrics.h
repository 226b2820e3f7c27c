/// Metrics of a daemon in the Prometheus text format.
///
/// Use one Metrics object per daemon to create counters, gauges and histograms and to export them.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace shallotrelay
{

/// Owns the metrics registry of one daemon. Thread-safe.
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    /// Returns the counter with a name and labels, creating it on first use.
    prometheus::Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});

    /// Returns the gauge with a name and labels, creating it on first use.
    prometheus::Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});

    /// Returns the histogram of durations in seconds with a name and labels, creating it on first use.
    prometheus::Histogram &seconds(const std::string &name, const std::string &help, const Labels &labels = {});

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
};

}
