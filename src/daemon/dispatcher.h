/// Brings a caller's request to a target: chooses, tries, retries where that is allowed, and gives up at once
/// otherwise.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/localtargets.h"
#include "daemon/metrics.h"
#include "daemon/servicetable.h"
#include "net/door.h"
#include "net/peerprotocol.h"
#include "shallotrelay/containment/crashledger.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace shallotrelay
{

/// Dispatches the requests of one node. Safe for use by several threads.
class Dispatcher
{
public:
    struct Options {
        const Clock *clock = nullptr; ///< Tells the time.
        PeerOptions peers; ///< Times of exchanges with other nodes.
        std::string node; ///< Name of the node, for log lines.
        std::size_t holdBodyBytes = 0; ///< Request bodies up to this size are held, so that they can be sent again.
        bool alwaysQueues = false; ///< Whether each guard may let a request wait if it can still be in time.
        bool hedges = false; ///< Whether a request that has no answer yet may be sent to a second target as well.
        /// Whether a request with this head may be under suspicion of crashing targets; never if it is not set.
        std::function<bool(const RequestHead &head)> mayBeSuspect{};
        std::function<SuspicionLevel(const RequestPrint &print)> standing{}; ///< Whether a request in doubt may run.
        std::size_t holdAnswerBytes = 0; ///< Answers of such requests are held up to this size.
    };

    Dispatcher(Options options, ServiceTable &services, LocalTargets &local, EventLog &log, Metrics &metrics);
    ~Dispatcher();

    /// Runs one request; the door calls it.
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
    prometheus::Counter &m_givenUp;
    prometheus::Counter &m_contained;
    prometheus::Histogram &m_headLatency;
    std::mutex m_linksMutex;
    std::map<std::string, std::shared_ptr<PeerLink>> m_links;
};

}
