#include "daemon/dispatcher.h"

#include <set>

namespace shallotrelay
{
namespace
{

constexpr Duration NoTargetRetryAfter = std::chrono::seconds(1);

/// Notices whether the body was touched, since a body that was read cannot be sent again.
class TrackedSource : public BodySource
{
public:
    explicit TrackedSource(BodySource &source)
        : m_source(source)
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        m_touched = true;
        co_return co_await m_source.read();
    }

    bool waitsForAdmission() const override
    {
        return m_source.waitsForAdmission();
    }

    bool atEnd() const override
    {
        return m_source.atEnd();
    }

    bool touched() const
    {
        return m_touched;
    }

private:
    BodySource &m_source;
    bool m_touched = false;
};

/// Tells the router of a try, and that it ended also if the try is cancelled.
class TryNote
{
public:
    TryNote(ServiceShard &shard, std::string target, const Clock &clock)
        : m_shard(shard)
        , m_target(std::move(target))
        , m_clock(clock)
    {
    }

    TryNote(const TryNote &) = delete;
    TryNote &operator=(const TryNote &) = delete;

    ~TryNote()
    {
        const std::lock_guard lock(m_shard.mutex);
        m_shard.router.finished(m_target, m_outcome, m_clock.now());
    }

    /// Passes on what the try showed.
    void ended(const ExchangeResult &result)
    {
        constexpr std::uint16_t FirstServerError = 500;
        m_outcome.ran = result.execution == Execution::Ran;
        m_outcome.failed = result.unreachable || (m_outcome.ran && result.status >= FirstServerError);
        m_outcome.headLatency = result.headLatency;
        if (result.reported) {
            const std::lock_guard lock(m_shard.mutex);
            m_shard.router.reported(m_target, result.load, m_clock.now());
        }
    }

private:
    ServiceShard &m_shard;
    std::string m_target;
    const Clock &m_clock;
    RouterOutcome m_outcome;
};

ExchangeResult ownResult(std::uint16_t status, std::string reason, Duration retryAfter)
{
    ExchangeResult result;
    result.status = status;
    result.reason = std::move(reason);
    result.retryAfter = retryAfter;
    return result;
}

}

/// One request on its way through its tries.
class Dispatcher::Call
{
public:
    Call(Dispatcher &dispatcher, std::shared_ptr<ServiceShard> shard, CallerRequest &request, BodySource &source,
         CallerSink &sink, ExchangeProgress &progress)
        : m_dispatcher(dispatcher)
        , m_shard(std::move(shard))
        , m_request(request)
        , m_source(source)
        , m_sink(sink)
        , m_progress(progress)
        , m_belowRetry(!findField(request.head.headers, RetryHeader).empty())
    {
    }

    asio::awaitable<ExchangeResult> run()
    {
        ExchangeResult result = ownResult(503, "no target", NoTargetRetryAfter);
        for (m_tries = 1;; ++m_tries) {
            const auto choice = choose();
            if (!choice) {
                logDecision("none", result.reason, {});
                co_return result;
            }
            m_excluded.insert(choice->target);
            result = co_await runTry(*choice);
            if (result.whole) {
                co_return result;
            }
            if (!goesOn(result)) {
                logDecision("give-up", result.reason, {});
                m_dispatcher.m_givenUp.Increment();
                co_return result;
            }
        }
    }

private:
    std::optional<RouterChoice> choose()
    {
        const std::lock_guard lock(m_shard->mutex);
        if (m_tries == 1) {
            m_shard->budget.firstTry();
        }
        auto choice = m_shard->router.choose(m_excluded, now(), m_shard->random);
        if (!choice) {
            return std::nullopt;
        }
        const auto it = m_shard->records.find(choice->target);
        if (it == m_shard->records.end()) {
            return std::nullopt;
        }
        m_record = it->second;
        m_shard->router.started(choice->target, now());
        const bool last = m_tries >= MaxTries || choice->candidates == 1;
        m_request.head.mayQueue = last;
        return choice;
    }

    asio::awaitable<ExchangeResult> runTry(const RouterChoice &choice)
    {
        TryNote note(*m_shard, choice.target, *m_dispatcher.m_options.clock);
        logDecision("try", m_retryGranted ? "retry" : (m_tries == 1 ? "first" : "refused-elsewhere"), choice);
        m_request.head.target = choice.target;
        m_request.head.timeLeftMs = toWholeMilliseconds(m_request.deadline - now());
        if (m_retryGranted && !m_belowRetry) {
            m_request.head.headers.push_back({std::string(RetryHeader), "1"});
            m_belowRetry = true;
        }
        m_retryGranted = false;
        m_progress = {};
        m_sink.setWantsRetry([this](const ResponseHead &head) { return wantsRetry(head); });
        const auto backend = m_dispatcher.backendOf(*m_shard, m_record);
        ExchangeResult result = co_await backend->run(m_request.head, m_source, m_sink, m_progress, m_request.deadline);
        note.ended(result);
        if (result.whole) {
            m_dispatcher.m_headLatency.Observe(std::chrono::duration<double>(result.headLatency).count());
        }
        co_return result;
    }

    /// Tells whether a server error is worth a new try instead of being passed on.
    bool wantsRetry(const ResponseHead &head)
    {
        constexpr std::uint16_t FirstServerError = 500;
        constexpr std::uint16_t NotImplemented = 501;
        if (head.status < FirstServerError || head.status == NotImplemented || !hasOtherTarget()) {
            return false;
        }
        m_retryGranted = decide(Execution::Ran) == RetryDecision::Retry;
        return m_retryGranted;
    }

    bool hasOtherTarget()
    {
        const std::lock_guard lock(m_shard->mutex);
        return m_shard->router.usableTargets() > m_excluded.size();
    }

    /// Decides whether a failed try is followed by another one.
    bool goesOn(const ExchangeResult &result)
    {
        if (m_retryGranted) {
            m_dispatcher.m_retries.Increment();
            return true;
        }
        if (!hasOtherTarget()) {
            return false;
        }
        const RetryDecision decision = decide(result.execution);
        m_retryGranted = decision == RetryDecision::Retry;
        if (m_retryGranted) {
            m_dispatcher.m_retries.Increment();
        }
        return decision != RetryDecision::GiveUp;
    }

    RetryDecision decide(Execution execution)
    {
        TryFailure failure;
        failure.execution = execution;
        failure.bodyReplayable = !m_source.touched();
        failure.answerStarted = m_progress.answerStarted;
        failure.tries = m_tries;
        failure.belowRetry = m_belowRetry;
        failure.method = m_request.head.method;
        failure.timeLeft = m_request.deadline - now();
        const std::lock_guard lock(m_shard->mutex);
        return decideRetry(failure, m_shard->budget);
    }

    void logDecision(const char *decision, std::string_view reason, const RouterChoice &choice)
    {
        if (!m_dispatcher.m_log.enabled(LogLevel::Info)) {
            return;
        }
        LogFields line;
        line.add("node", m_dispatcher.m_options.node).add("request", m_request.head.requestId);
        line.add("service", m_shard->id.text()).add("decision", decision).add("reason", reason);
        line.add("try", std::uint64_t(m_tries));
        if (!choice.target.empty()) {
            line.add("target", choice.target).add("data_centre", m_record.dataCentre);
            line.add("candidates", std::uint64_t(choice.candidates)).add("limit", std::uint64_t(choice.limit));
            line.add("estimated_in_flight", choice.estimatedInFlight);
        }
        m_dispatcher.m_log.write(LogLevel::Info, "route", line);
    }

    TimePoint now() const
    {
        return m_dispatcher.m_options.clock->now();
    }

    Dispatcher &m_dispatcher;
    std::shared_ptr<ServiceShard> m_shard;
    CallerRequest &m_request;
    TrackedSource m_source;
    CallerSink &m_sink;
    ExchangeProgress &m_progress;
    std::set<std::string> m_excluded;
    TargetRecord m_record;
    std::uint32_t m_tries = 1;
    bool m_belowRetry;
    bool m_retryGranted = false;
};

Dispatcher::Dispatcher(Options options, ServiceTable &services, LocalTargets &local, EventLog &log, Metrics &metrics)
    : m_options(std::move(options))
    , m_services(services)
    , m_local(local)
    , m_log(log)
    , m_requests(metrics.counter("shallotrelay_requests_total", "Requests of callers"))
    , m_retries(metrics.counter("shallotrelay_retries_total", "Requests that were run once more"))
    , m_givenUp(metrics.counter("shallotrelay_given_up_total", "Requests without a whole answer of a target"))
    , m_headLatency(metrics.seconds("shallotrelay_head_seconds", "Time from a try to the head of its answer"))
{
}

Dispatcher::~Dispatcher() = default;

asio::awaitable<ExchangeResult> Dispatcher::dispatch(CallerRequest &request, BodySource &source, CallerSink &sink,
                                                     ExchangeProgress &progress)
{
    m_requests.Increment();
    const auto shard = m_services.find({request.head.firm, request.head.service});
    if (!shard && !m_services.bundleOf(request.head.firm)) {
        co_return ownResult(503, "no bundle of the firm is known yet", NoTargetRetryAfter);
    }
    if (!shard) {
        co_return ownResult(404, "no bundle names the service", {});
    }
    Call call(*this, shard, request, source, sink, progress);
    co_return co_await call.run();
}

std::shared_ptr<Backend> Dispatcher::backendOf(const ServiceShard &shard, const TargetRecord &record)
{
    if (auto local = m_local.find(shard.id, record.name)) {
        return local;
    }
    const std::lock_guard lock(m_linksMutex);
    auto &link = m_links[record.peerAddress];
    if (!link) {
        const auto address = parseAddress(record.peerAddress);
        link = std::make_shared<PeerLink>(address.value_or(Address{"127.0.0.1", 0}), *m_options.clock,
                                          m_options.stallTimeout);
    }
    return link;
}

}
