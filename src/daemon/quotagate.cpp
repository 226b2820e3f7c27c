#include "daemon/quotagate.h"

#include "net/neterror.h"
#include "wire/frame.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Bounds of the time for which a request waits for a credit. A report may be delayed by the minimum time between two.
constexpr Duration MinCreditWait = std::chrono::milliseconds(80);
constexpr Duration MaxCreditWait = std::chrono::milliseconds(150);
/// Part of the time left until the objective that a request may wait.
constexpr int CreditWaitDivisor = 4;
/// Maximum number of workspaces with metrics of their own.
constexpr std::size_t MaxLabels = 100;
constexpr std::uint16_t TooManyRequests = 429;
constexpr std::uint16_t ServiceUnavailable = 503;

Duration creditWait(const CallerRequest &request, TimePoint now)
{
    const TimePoint due = std::min(request.objective, request.deadline);
    return std::clamp((due - now) / CreditWaitDivisor, MinCreditWait, MaxCreditWait);
}

}

/// Puts the credit of a request back when the request ends, if no target ran it.
class QuotaGate::Spending
{
public:
    Spending(QuotaGate &gate, std::string workspace, QuotaCredit credit, const ExchangeProgress &progress)
        : m_gate(gate)
        , m_workspace(std::move(workspace))
        , m_credit(credit)
        , m_progress(progress)
    {
    }

    Spending(const Spending &) = delete;
    Spending &operator=(const Spending &) = delete;

    ~Spending()
    {
        if (m_result.value_or(m_progress.execution) == Execution::NotRun) {
            m_gate.m_ledger.putBack(m_workspace, m_credit, m_gate.m_clock.now());
        }
    }

    /// Notes whether the request ran; otherwise the progress tells.
    void complete(Execution execution)
    {
        m_result = execution;
    }

private:
    QuotaGate &m_gate;
    std::string m_workspace;
    QuotaCredit m_credit;
    const ExchangeProgress &m_progress;
    std::optional<Execution> m_result;
};

QuotaGate::QuotaGate(asio::io_context &loop, const Clock &clock, QuotaLedger::Options options,
                     const ServiceTable &services, BeaconSocket &datagrams, EventLog &log, Metrics &metrics)
    : m_loop(loop)
    , m_clock(clock)
    , m_ledger(std::move(options))
    , m_services(services)
    , m_datagrams(datagrams)
    , m_log(log)
    , m_metrics(metrics)
{
}

asio::awaitable<ExchangeResult> QuotaGate::dispatch(const CallerRequest &request, ExchangeProgress &progress, Next next)
{
    return m_ledger.limits(request.head.workspace) ? dispatchLimited(request, progress, std::move(next)) : next();
}

asio::awaitable<ExchangeResult> QuotaGate::dispatchLimited(const CallerRequest &request, ExchangeProgress &progress,
                                                           Next next)
{
    const std::string workspace = request.head.workspace;
    QuotaDecision decision = m_ledger.take(workspace, m_clock.now());
    if (decision.verdict == QuotaVerdict::Ask) {
        decision = co_await waitForCredit(request);
    }
    if (decision.verdict != QuotaVerdict::Admitted) {
        co_return refuse(workspace, decision);
    }
    Spending spending(*this, workspace, decision.credit, progress);
    const ExchangeResult result = co_await next();
    spending.complete(result.execution);
    co_return result;
}

asio::awaitable<QuotaDecision> QuotaGate::waitForCredit(const CallerRequest &request)
{
    /// Counts a waiting request, also when it is cancelled.
    struct Wait {
        Wait(QuotaGate &g, const std::string &name)
            : gate(g)
            , workspace(name)
            , timer(g.m_loop)
            , position(g.m_waiters.insert(g.m_waiters.end(), &timer))
        {
            gate.m_ledger.beginWait(workspace);
        }

        Wait(const Wait &) = delete;
        Wait &operator=(const Wait &) = delete;

        ~Wait()
        {
            gate.m_waiters.erase(position);
            gate.m_ledger.endWait(workspace);
        }

        QuotaGate &gate;
        std::string workspace;
        asio::steady_timer timer;
        std::list<asio::steady_timer *>::iterator position;
    };

    const TimePoint until = m_clock.now() + creditWait(request, m_clock.now());
    Wait wait(*this, request.head.workspace);
    m_metrics.counter("shallotrelay_quota_waits_total", "Requests that waited for a credit of their quota").Increment();
    sendReports(m_clock.now());
    for (;;) {
        wait.timer.expires_at(until);
        co_await wait.timer.async_wait(AsTuple);
        co_await throwIfCancelled();
        const QuotaDecision out = m_ledger.takeAfterWait(wait.workspace, m_clock.now());
        if (out.verdict != QuotaVerdict::Ask || m_clock.now() >= until) {
            co_return out;
        }
    }
}

ExchangeResult QuotaGate::refuse(const std::string &workspace, const QuotaDecision &decision)
{
    const bool exceeded = decision.verdict == QuotaVerdict::Exceeded;
    if (m_labels.size() < MaxLabels) {
        m_labels.insert(workspace);
    }
    m_metrics
        .counter("shallotrelay_quota_refused_total", "Requests refused under the quota of their workspace",
                 {{"workspace", m_labels.contains(workspace) ? workspace : "other"},
                  {"reason", exceeded ? "exceeded" : "out_of_touch"}})
        .Increment();
    ExchangeResult out;
    out.status = exceeded ? TooManyRequests : ServiceUnavailable;
    out.reason
        = exceeded ? "the quota of the workspace is used up" : "the quota of the workspace is not known at present";
    out.retryAfter = decision.retryAfter;
    return out;
}

void QuotaGate::applyIntent(const IntentUpdate &, const Bundle &bundle)
{
    m_ledger.setPolicies(bundle.workspaces ? quotasOf(*bundle.workspaces) : QuotaPolicies());
}

void QuotaGate::tick(const std::string &leader, TimePoint now)
{
    if (leader != m_leader) {
        m_leader = leader;
        m_ledger.noteKeeperChange();
    }
    if (!m_ledger.isActive()) {
        return;
    }
    m_ledger.setKnownNodes(m_services.peers()->size(), now);
    sendReports(now);
    logContact(now);
}

void QuotaGate::sendReports(TimePoint now)
{
    const auto address = parseAddress(m_leader);
    if (!address.ok()) {
        return;
    }
    for (const QuotaReport &it : m_ledger.report(now)) {
        m_datagrams.send(encodeFrame(it), *address);
        m_metrics.counter("shallotrelay_quota_reports_total", "Reports to the keeper of quotas").Increment();
    }
}

void QuotaGate::logContact(TimePoint now)
{
    if (const bool inTouch = m_ledger.isInTouch(now); inTouch != m_inTouch) {
        m_inTouch = inTouch;
        m_log.write(inTouch ? LogLevel::Info : LogLevel::Warn, inTouch ? "quota-in-touch" : "quota-out-of-touch",
                    LogFields().add("leader", m_leader));
    }
}

bool QuotaGate::receive(const Frame &datagram, TimePoint now)
{
    if (datagram.type != QuotaGrant::FrameType) {
        return false;
    }
    const auto grant = decodeAs<QuotaGrant>(datagram);
    if (!grant.ok() || !m_ledger.apply(*grant, now)) {
        return true;
    }
    m_metrics.counter("shallotrelay_quota_credits_total", "Credits of quotas received")
        .Increment(static_cast<double>(m_ledger.creditsReceived() - m_countedCredits));
    m_countedCredits = m_ledger.creditsReceived();
    for (asio::steady_timer *it : m_waiters) {
        it->cancel();
    }
    return true;
}

}
