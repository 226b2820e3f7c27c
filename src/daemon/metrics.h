/// Metrics of a daemon, served as text for Prometheus.
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

/// Owns the registry of one daemon. Safe for use by several threads.
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    /// Returns the counter with a name and labels; it is made at the first call.
    prometheus::Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});

    /// Returns the gauge with a name and labels; it is made at the first call.
    prometheus::Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});

    /// Returns the histogram of seconds with a name and labels; it is made at the first call.
    prometheus::Histogram &seconds(const std::string &name, const std::string &help, const Labels &labels = {});

    /// Returns all metrics in the text format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
};

}
