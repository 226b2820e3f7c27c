/// Enforces the quotas of workspaces at a node: a request begins only with a credit, or the caller gets status 429.
///
/// Use one per node: pass it the requests of callers before they are dispatched, and let the node run it as a service.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "daemon/nodeservice.h"
#include "daemon/servicetable.h"
#include "net/beaconsocket.h"
#include "net/httpfrontend.h"
#include "shallotrelay/quota/quotaledger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <set>
#include <string>

namespace shallotrelay
{

/// Takes credits for requests and exchanges datagrams with the keeper of quotas.
class QuotaGate : public NodeService
{
public:
    /// Dispatches a request that may begin.
    using Next = std::function<asio::awaitable<ExchangeResult>()>;

    QuotaGate(asio::io_context &loop, const Clock &clock, QuotaLedger::Options options, const ServiceTable &services,
              BeaconSocket &datagrams, EventLog &log, Metrics &metrics);

    /// Dispatches a request of a workspace, or refuses it with status 429 if the quota is used up, and with 503 if that
    /// is not known. Waits for a credit for a small part of the time of the request at most.
    asio::awaitable<ExchangeResult> dispatch(const CallerRequest &request, ExchangeProgress &progress, Next next);

    void applyIntent(const IntentUpdate &update, const Bundle &bundle) override;
    void tick(const std::string &leader, TimePoint now) override;
    bool receive(const Frame &datagram, TimePoint now) override;

private:
    class Spending;

    asio::awaitable<ExchangeResult> dispatchLimited(const CallerRequest &request, ExchangeProgress &progress,
                                                    Next next);
    asio::awaitable<QuotaDecision> waitForCredit(const CallerRequest &request);
    ExchangeResult refuse(const std::string &workspace, const QuotaDecision &decision);
    void sendReports(TimePoint now);
    void logContact(TimePoint now);

    asio::io_context &m_loop;
    const Clock &m_clock;
    QuotaLedger m_ledger;
    const ServiceTable &m_services;
    BeaconSocket &m_datagrams;
    EventLog &m_log;
    Metrics &m_metrics;
    std::string m_leader;
    std::list<asio::steady_timer *> m_waiters; // in the order of arrival
    std::set<std::string> m_labels; // workspaces with metrics of their own
    bool m_inTouch = false;
    std::uint64_t m_countedCredits = 0;
};

}
