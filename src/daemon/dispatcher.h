/// Request dispatcher of a node: routes each caller's request to a target, with retries, hedging and containment.
///
/// Use one Dispatcher per node and pass it every request that the front end accepts. A failed request is retried only
/// where its method, its body and the retry budget allow that; otherwise the caller gets the error at once.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/localtargets.h"
#include "daemon/metrics.h"
#include "daemon/servicetable.h"
#include "net/httpfrontend.h"
#include "net/peerprotocol.h"
#include "shallotrelay/containment/crashledger.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace shallotrelay
{

/// Dispatches the requests of one node. Thread-safe.
class Dispatcher
{
public:
    struct Options {
        const Clock *clock = nullptr; ///< Source of the current time.
        PeerOptions peers; ///< Timeouts of exchanges with other nodes.
        std::string node; ///< Name of the node in log lines.
        std::size_t maxHeldBodyBytes = 0; ///< Largest request body that is buffered for retries.
        bool alwaysQueues = false; ///< Whether every guard may queue a request that can still finish in time.
        bool hedges = false; ///< Whether a slow request may be hedged on a second target.
        /// Returns whether a request with this head may be suspected of crashing targets. If unset, no request is.
        std::function<bool(const RequestHead &head)> mayBeSuspect{};
        std::function<SuspicionLevel(const RequestPrint &fingerprint)>
            suspicionLevel{}; ///< Suspicion level of a request.
        std::size_t maxHeldResponseBytes = 0; ///< Largest response of a hedged request that is buffered.
        std::size_t maxHedgedResponseBytes = SIZE_MAX; ///< Average response size up to which a route is hedged.
        /// Returns the backend that is used instead of a link to another node; the link is used if this is not set.
        std::function<std::shared_ptr<Backend>(std::shared_ptr<Backend> link)> wrapLink{};
    };

    Dispatcher(Options options, ServiceTable &services, LocalTargets &local, EventLog &log, Metrics &metrics);
    ~Dispatcher();

    /// Runs one request of the front end and returns its result, also for a request that no target ran.
    asio::awaitable<ExchangeResult> dispatch(CallerRequest &request, BodySource &source, CallerSink &sink,
                                             ExchangeProgress &progress);

private:
    class Call;

    std::shared_ptr<Backend> backendOf(const ServiceShard &shard, const TargetRecord &record);

    Options m_options;
    ServiceTable &m_services;
    LocalTargets &m_local;
    EventLog &m_log;
    prometheus::Counter &m_requests;
    prometheus::Counter &m_retries;
    prometheus::Counter &m_hedges;
    prometheus::Counter &m_departures;
    prometheus::Counter &m_failed;
    prometheus::Counter &m_contained;
    prometheus::Histogram &m_headLatency;
    std::mutex m_linksMutex;
    std::map<std::string, std::shared_ptr<PeerLink>> m_links;
};

}
