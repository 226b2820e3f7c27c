#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

namespace shallotrelay
{

prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help, const Labels &labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help, const Labels &labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Histogram &Metrics::seconds(const std::string &name, const std::string &help, const Labels &labels)
{
    static const prometheus::Histogram::BucketBoundaries buckets
        = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};
    return prometheus::BuildHistogram().Name(name).Help(help).Register(m_registry).Add(labels, buckets);
}

std::string Metrics::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_registry.Collect());
}

}
