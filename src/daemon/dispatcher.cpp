#include "daemon/dispatcher.h"

#include "daemon/attemptrace.h"
#include "shallotrelay/containment/requestfingerprinter.h"
#include "shallotrelay/containment/trialslot.h"
#include "shallotrelay/routing/callplan.h"

#include <boost/asio/this_coro.hpp>

namespace shallotrelay
{
namespace
{

constexpr Duration NoTargetRetryAfter = std::chrono::seconds(1);
constexpr std::uint16_t BadGateway = 502;
/// Weight of one response in the moving average of its route's response size, which spans about 20 responses.
constexpr double ResponseBytesWeight = 0.05;
/// Interval between checks for a slowdown of the VM that runs a request; a small part of the shortest slow phase.
constexpr Duration SlowdownCheckInterval = std::chrono::milliseconds(12);
constexpr std::uint16_t ServiceUnavailable = 503;

/// Request body that buffers up to a limit, so that it can be replayed for a retry. Past the limit it can be read only
/// once.
class ReplayableSource : public BodySource
{
public:
    ReplayableSource(BodySource &source, std::size_t maxHeldBytes)
        : m_source(source)
        , m_maxHeldBytes(maxHeldBytes)
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_next < m_held.size()) {
            co_return m_held[m_next++];
        }
        auto part = co_await m_source.read();
        if (part.ok() && !m_consumed && m_heldBytes + part->size() <= m_maxHeldBytes) {
            m_heldBytes += part->size();
            m_held.push_back(*part);
            m_next = m_held.size();
        } else {
            m_consumed = m_consumed || !part.ok() || !part->empty();
        }
        co_return part;
    }

    bool atEnd() const override
    {
        return m_next >= m_held.size() && m_source.atEnd();
    }

    /// Returns whether a part of the body has been read without being buffered.
    bool consumed() const
    {
        return m_consumed;
    }

    /// Restarts reading at the beginning of the buffered body.
    void rewind()
    {
        m_next = 0;
    }

private:
    BodySource &m_source;
    std::size_t m_maxHeldBytes;
    std::vector<std::string> m_held;
    std::size_t m_heldBytes = 0;
    std::size_t m_next = 0;
    bool m_consumed = false;
};

/// Reports the outcome of an attempt to the router on destruction, also when the attempt is cancelled.
class AttemptRecorder
{
public:
    AttemptRecorder(std::shared_ptr<ServiceShard> shard, std::string target, const Clock &clock)
        : m_shard(std::move(shard))
        , m_target(std::move(target))
        , m_clock(clock)
    {
    }

    AttemptRecorder(const AttemptRecorder &) = delete;
    AttemptRecorder &operator=(const AttemptRecorder &) = delete;

    ~AttemptRecorder()
    {
        const std::lock_guard lock(m_shard->mutex);
        m_shard->router.recordAttemptOutcome(m_target, m_outcome, m_clock.now());
    }

    /// Records the outcome of the attempt and passes on the target's load report.
    void recordResult(const ExchangeResult &result)
    {
        constexpr std::uint16_t FirstServerError = 500;
        m_outcome.ran = result.execution == Execution::Ran;
        m_outcome.failed = result.unreachable || (m_outcome.ran && result.status >= FirstServerError);
        m_outcome.headLatency = result.headLatency;
        if (result.hasLoadReport) {
            const std::lock_guard lock(m_shard->mutex);
            m_shard->router.recordLoadReport(m_target, result.load, m_clock.now());
            if (result.roundTrip > Duration::zero()) {
                m_shard->router.recordRoundTrip(m_target, result.roundTrip, m_clock.now());
            }
        }
    }

private:
    std::shared_ptr<ServiceShard> m_shard;
    std::string m_target;
    const Clock &m_clock;
    RouterOutcome m_outcome;
};

ExchangeResult refusalResult(std::uint16_t status, std::string reason, Duration retryAfter)
{
    ExchangeResult result;
    result.status = status;
    result.reason = std::move(reason);
    result.retryAfter = retryAfter;
    return result;
}

}

/// State of one request across all its attempts.
class Dispatcher::Call
{
public:
    Call(Dispatcher &dispatcher, std::shared_ptr<ServiceShard> shard, CallerRequest &request, BodySource &source,
         CallerSink &sink, ExchangeProgress &progress)
        : m_dispatcher(dispatcher)
        , m_shard(std::move(shard))
        , m_request(request)
        , m_source(source, isKeyed(request.head) ? MaxKeyedBodyBytes : dispatcher.m_options.maxHeldBodyBytes)
        , m_sink(sink)
        , m_progress(progress)
        , m_plan(rulesOf(dispatcher, *m_shard, request))
    {
    }

    asio::awaitable<ExchangeResult> run()
    {
        ExchangeResult result = refusalResult(503, "no target available", NoTargetRetryAfter);
        const TimePoint startedAt = now();
        if (co_await checkSuspicion() == SuspicionLevel::Contained) {
            result = refusalResult(503, toString(TrialDecision::Refused), ContainedRetryAfter);
            logDecision("contained", result.reason, {});
            m_dispatcher.m_contained.Increment();
            co_return result;
        }
        for (;;) {
            const auto planned = plan();
            if (!planned) {
                logDecision("none", result.reason, {});
                co_return combined(std::move(result));
            }
            if (allowsHedging()) {
                result = co_await runHedged(*planned);
                if (!result.whole) {
                    logDecision("give-up", result.reason, {});
                    m_dispatcher.m_failed.Increment();
                }
                co_return result;
            }
            result = co_await runAttempt(*planned);
            if (!result.ownerAddress.empty()) {
                result = co_await runAtOwner(result);
            }
            if (result.whole) {
                recordResponse(result, m_request.head.target, startedAt);
                co_return result;
            }
            if (!mayContinue(result)) {
                logDecision("give-up", result.reason, {});
                m_dispatcher.m_failed.Increment();
                co_return combined(std::move(result));
            }
        }
    }

private:
    /// Returns the result with the execution state of all attempts combined. A request that may have run in any attempt
    /// gets 502 instead of 503. Requests with an idempotency key keep 503, since they are safe to send again and the
    /// execution state already says whether they may have run.
    ExchangeResult combined(ExchangeResult result) const
    {
        result.execution = m_plan.overallExecution(result.execution);
        const bool mayHaveRun = result.execution != Execution::NotRun && !isKeyed(m_request.head);
        if (result.status == ServiceUnavailable && mayHaveRun) {
            result.status = BadGateway;
        }
        return result;
    }

    /// Returns the suspicion level of the request and plans a trial if it is suspect or isolated. Reads the body only
    /// if the request head matches a suspect.
    asio::awaitable<SuspicionLevel> checkSuspicion()
    {
        const Options &options = m_dispatcher.m_options;
        if (!options.mayBeSuspect || !options.mayBeSuspect(m_request.head)) {
            co_return SuspicionLevel::Clear;
        }
        const RequestHead &head = m_request.head;
        const bool held = head.bodyKind == BodyKind::Sized && head.contentLength <= options.maxHeldBodyBytes;
        if (head.bodyKind != BodyKind::None && !held) {
            // Reading a body that cannot be buffered would rule out a retry, so the guard at the target checks it.
            co_return SuspicionLevel::Clear;
        }
        RequestFingerprinter fingerprinter(head);
        while (!m_source.atEnd()) {
            const auto part = co_await m_source.read();
            if (!part.ok() || part->empty()) {
                break;
            }
            fingerprinter.addBody(*part);
        }
        m_source.rewind();
        const SuspicionLevel level = options.suspicionLevel(fingerprinter.fingerprint());
        if (level == SuspicionLevel::Suspect || level == SuspicionLevel::Isolated) {
            m_trial = true;
            m_plan.requireTrial(fingerprinter.fingerprint().whole);
        }
        co_return level;
    }

    /// Returns whether the request may be hedged.
    bool allowsHedging() const
    {
        const RequestHead &head = m_request.head;
        const std::size_t maxBytes = m_dispatcher.m_options.maxHedgedResponseBytes;
        const bool large = m_request.largeResponse || m_shard->averageResponseBytes(head.route) > double(maxBytes);
        if (m_trial || (maxBytes < SIZE_MAX && large)) {
            return false;
        }
        return m_dispatcher.m_options.hedges && head.repeatable && head.bodyKind == BodyKind::None && !isKeyed(head);
    }

    /// Runs the request and hedges it on a second target when the first one is slow.
    asio::awaitable<ExchangeResult> runHedged(PlannedAttempt planned)
    {
        const auto executor = co_await asio::this_coro::executor;
        const auto race
            = std::make_shared<AttemptRace>(executor, m_sink, m_dispatcher.m_options.maxHeldResponseBytes,
                                            [this](const ResponseHead &head) { return discardsResponse(head); });
        const RaceCloser closer{*race};
        const TimePoint startedAt = now();
        startAttempt(*race, planned);
        const TimePoint hedgeAt = startedAt + hedgeDelay(startedAt);
        bool mayHedge = true;
        for (;;) {
            const TimePoint wakeAt = mayHedge ? std::min(hedgeAt, now() + SlowdownCheckInterval) : TimePoint::max();
            const auto attempt = co_await race->next(*m_dispatcher.m_options.clock, wakeAt);
            if (!attempt) {
                mayHedge = !m_sink.committed();
                if (mayHedge && (now() >= hedgeAt || vmSlowedDown(planned.choice.target, startedAt))) {
                    mayHedge = false;
                    if (const auto second = planHedge()) {
                        startAttempt(*race, *second);
                    }
                }
                continue;
            }
            mayHedge = false;
            if (attempt->result.whole) {
                recordResponse(attempt->result, attempt->head.target, startedAt);
                co_return attempt->result;
            }
            if (race->running() > 0) {
                m_plan.recordOutcome(
                    outcomeOf(attempt->result.execution, attempt->result.reachedTarget, attempt->result.status));
                continue;
            }
            if (m_sink.committed() || !mayContinue(attempt->result)) {
                co_return combined(attempt->result);
            }
            m_progress.execution = m_plan.overallExecution(Execution::NotRun);
            const auto another = plan();
            if (!another) {
                co_return combined(attempt->result);
            }
            startAttempt(*race, *another);
        }
    }

    /// Cancels the attempts in flight when the call ends.
    struct RaceCloser {
        explicit RaceCloser(AttemptRace &r)
            : race(r)
        {
        }

        RaceCloser(const RaceCloser &) = delete;
        RaceCloser &operator=(const RaceCloser &) = delete;

        ~RaceCloser()
        {
            race.close();
        }

        AttemptRace &race;
    };

    void startAttempt(AttemptRace &race, const PlannedAttempt &planned)
    {
        logDecision("try", toString(planned.reason), planned.choice);
        const auto attempt = std::make_shared<AttemptRace::Attempt>();
        attempt->head = requestHeadFor(planned);
        attempt->backend = m_dispatcher.backendOf(*m_shard, m_record);
        attempt->startedAt = now();
        // The attempt may outlive the call, so its callback must not refer to the call.
        const auto recorder
            = std::make_shared<AttemptRecorder>(m_shard, planned.choice.target, *m_dispatcher.m_options.clock);
        const auto &clock = *m_dispatcher.m_options.clock;
        attempt->onFinished = [recorder, shard = m_shard, weak = std::weak_ptr(attempt), &clock,
                               first = planned.reason != AttemptReason::Hedge](const ExchangeResult *result) {
            if (result != nullptr) {
                recorder->recordResult(*result);
            }
            const auto self = weak.lock();
            const bool completed = result != nullptr && result->whole;
            if (self && first && (completed || result == nullptr)) {
                const std::lock_guard lock(shard->mutex);
                shard->hedgeTimers[self->head.route].recordLatency(clock.now() - self->startedAt);
            }
        };
        m_progress = {Execution::Unknown, false};
        race.start(attempt, m_request.deadline);
    }

    Duration hedgeDelay(TimePoint startedAt) const
    {
        const bool beforeObjective = m_request.objective != TimePoint::max() && m_request.objective > startedAt;
        const std::lock_guard lock(m_shard->mutex);
        const auto it = m_shard->hedgeTimers.find(m_request.head.route);
        const HedgeTimer timer = it == m_shard->hedgeTimers.end() ? HedgeTimer() : it->second;
        return timer.delay(beforeObjective ? m_request.objective - startedAt : Duration::zero());
    }

    /// Returns whether the target's VM has slowed down so much since the request started that the request would miss
    /// its objective.
    bool vmSlowedDown(const std::string &target, TimePoint startedAt) const
    {
        constexpr double PercentScale = 100;
        const bool hasObjective = m_request.objective != TimePoint::max();
        const std::lock_guard lock(m_shard->mutex);
        const auto it = m_shard->hedgeTimers.find(m_request.head.route);
        if (!hasObjective || it == m_shard->hedgeTimers.end()) {
            return false;
        }
        const double slowdown = m_shard->router.slowdownSince(target, startedAt) / PercentScale;
        return it->second.shouldHedgeNow(now() - startedAt, m_request.objective - startedAt, slowdown);
    }

    std::optional<PlannedAttempt> planHedge()
    {
        const std::lock_guard lock(m_shard->mutex);
        const auto planned = m_plan.hedge(m_shard->router, m_shard->budget, m_shard->random, now());
        if (planned) {
            m_record = m_shard->records.at(planned->choice.target);
            m_dispatcher.m_hedges.Increment();
        }
        return planned;
    }

    /// Returns the request head to send to the target of an attempt.
    RequestHead requestHeadFor(const PlannedAttempt &planned) const
    {
        RequestHead head = m_request.head;
        head.target = planned.choice.target;
        head.mayQueue = planned.mayQueue;
        head.lastOffer = planned.lastOffer;
        head.repeats = planned.reason == AttemptReason::Retry || planned.reason == AttemptReason::Hedge;
        head.timeLeftMs = toWholeMilliseconds(m_request.deadline - now());
        const bool beforeObjective = m_request.objective != TimePoint::max() && m_request.objective > now();
        const bool hasObjective = m_request.objective != TimePoint::max();
        head.objectiveLeftMs
            = beforeObjective ? toWholeMilliseconds(m_request.objective - now()) : (hasObjective ? 1 : 0);
        if (head.repeats) {
            head.headers.push_back({std::string(RetryHeader), "1"});
        }
        return head;
    }

    static CallRules rulesOf(const Dispatcher &dispatcher, ServiceShard &shard, const CallerRequest &request)
    {
        CallRules rules;
        rules.repeatable = request.head.repeatable;
        rules.partOfRetry = !findField(request.head.headers, RetryHeader).empty();
        rules.maxTargets = request.maxTargets;
        rules.alwaysQueues = dispatcher.m_options.alwaysQueues;
        const std::lock_guard lock(shard.mutex);
        rules.mayHedge = dispatcher.m_options.hedges;
        const auto timer = shard.hedgeTimers.find(request.head.route);
        rules.cost.work = timer == shard.hedgeTimers.end() ? Duration::zero() : timer->second.averageLatency();
        const auto bytes = shard.responseBytes.find(request.head.route);
        const bool hasObjective = request.objective != TimePoint::max();
        rules.cost.objective = hasObjective ? request.objective - dispatcher.m_options.clock->now() : Duration::zero();
        rules.cost.requestBytes = static_cast<double>(request.head.contentLength);
        rules.cost.responseBytes = bytes == shard.responseBytes.end() ? 0 : bytes->second;
        return rules;
    }

    std::optional<PlannedAttempt> plan()
    {
        const std::lock_guard lock(m_shard->mutex);
        m_shard->lastRequestAt = now();
        const auto planned = m_plan.next(m_shard->router, m_shard->budget, m_shard->random, now());
        if (planned) {
            m_record = m_shard->records.at(planned->choice.target);
            m_dispatcher.m_retries.Increment(planned->reason == AttemptReason::Retry ? 1 : 0);
            m_dispatcher.m_departures.Increment(planned->choice.remote ? 1 : 0);
        }
        return planned;
    }

    asio::awaitable<ExchangeResult> runAttempt(const PlannedAttempt &planned)
    {
        AttemptRecorder recorder(m_shard, planned.choice.target, *m_dispatcher.m_options.clock);
        logDecision("try", toString(planned.reason), planned.choice);
        m_request.head = requestHeadFor(planned);
        m_source.rewind();
        m_progress = {m_plan.overallExecution(Execution::NotRun), false};
        m_sink.setShouldDiscard([this](const ResponseHead &head) { return discardsResponse(head); });
        const auto backend = m_dispatcher.backendOf(*m_shard, m_record);
        ExchangeResult result = co_await backend->run(m_request.head, m_source, m_sink, m_progress, m_request.deadline);
        recorder.recordResult(result);
        if (result.whole) {
            recordLatency(result.headLatency);
        }
        co_return result;
    }

    void recordLatency(Duration latency)
    {
        const std::lock_guard lock(m_shard->mutex);
        m_shard->hedgeTimers[m_request.head.route].recordLatency(latency);
    }

    /// Forwards a request with an idempotency key to the node that holds its claim and knows its outcome.
    asio::awaitable<ExchangeResult> runAtOwner(const ExchangeResult &refused)
    {
        logDecision("owner", refused.ownerTarget, {});
        m_request.head.toOwner = true;
        m_request.head.target = refused.ownerTarget;
        m_record.name = refused.ownerTarget;
        m_record.peerAddress = refused.ownerAddress;
        m_source.rewind();
        const auto backend = m_dispatcher.backendOf(*m_shard, m_record);
        ExchangeResult result = co_await backend->run(m_request.head, m_source, m_sink, m_progress, m_request.deadline);
        if (!result.whole && result.execution == Execution::NotRun && !result.hasLoadReport) {
            // Only the claim holder knows whether the request ran, and it did not respond.
            result.execution = Execution::Unknown;
            result.status = 502;
        }
        co_return result;
    }

    bool discardsResponse(const ResponseHead &head)
    {
        const std::lock_guard lock(m_shard->mutex);
        return m_plan.shouldDiscardResponse(outcomeOf(Execution::Ran, true, head.status), m_shard->router,
                                            m_shard->budget);
    }

    bool mayContinue(const ExchangeResult &result)
    {
        const std::lock_guard lock(m_shard->mutex);
        AttemptOutcome outcome = outcomeOf(result.execution, result.reachedTarget, result.status);
        outcome.refusedEverywhere = result.everywhere;
        return m_plan.shouldContinue(outcome, m_shard->router, m_shard->budget);
    }

    AttemptOutcome outcomeOf(Execution execution, bool reachedTarget, std::uint16_t status) const
    {
        AttemptOutcome outcome;
        outcome.execution = execution;
        outcome.reachedTarget = reachedTarget;
        outcome.status = status;
        outcome.responseStarted = m_sink.committed();
        outcome.bodyConsumed = m_source.consumed();
        outcome.timeLeft = m_request.deadline - now();
        return outcome;
    }

    void recordResponseBytes(const ExchangeResult &result)
    {
        const std::lock_guard lock(m_shard->mutex);
        double &average = m_shard->responseBytes[m_request.head.route];
        average += (static_cast<double>(result.responseBytes) - average) * (average > 0 ? ResponseBytesWeight : 1);
    }

    void recordResponse(const ExchangeResult &result, const std::string &target, TimePoint startedAt)
    {
        recordResponseBytes(result);
        m_dispatcher.m_headLatency.Observe(toSeconds(result.headLatency));
        if (!m_dispatcher.m_log.enabled(LogLevel::Info)) {
            return;
        }
        LogFields line;
        line.add("node", m_dispatcher.m_options.node).add("request", m_request.head.requestId);
        line.add("route", m_request.head.route).add("target", target);
        line.add("status", std::uint64_t(result.status)).add("tries", std::uint64_t(m_plan.attemptCount()));
        line.add("ms", toMilliseconds(now() - startedAt)).add("head_ms", toMilliseconds(result.headLatency));
        line.add("caller_service", m_request.head.callerService);
        m_dispatcher.m_log.write(LogLevel::Info, "answer", line);
    }

    void logDecision(const char *decision, std::string_view reason, const RouterChoice &choice)
    {
        if (!m_dispatcher.m_log.enabled(LogLevel::Info)) {
            return;
        }
        LogFields line;
        line.add("node", m_dispatcher.m_options.node).add("request", m_request.head.requestId);
        line.add("service", m_shard->id.text()).add("decision", decision).add("reason", reason);
        line.add("try", std::uint64_t(m_plan.attemptCount()));
        if (!choice.target.empty()) {
            line.add("target", choice.target).add("data_centre", m_record.dataCentre);
            line.add("candidates", std::uint64_t(choice.candidates)).add("limit", std::uint64_t(choice.limit));
            line.add("estimated_in_flight", choice.estimatedInFlight);
            line.add("pace", std::uint64_t(choice.pacePercent)).add("report_age_ms", toMilliseconds(choice.reportAge));
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
    ReplayableSource m_source;
    CallerSink &m_sink;
    ExchangeProgress &m_progress;
    CallPlan m_plan;
    bool m_trial = false;
    TargetRecord m_record;
};

Dispatcher::Dispatcher(Options options, ServiceTable &services, LocalTargets &local, EventLog &log, Metrics &metrics)
    : m_options(std::move(options))
    , m_services(services)
    , m_local(local)
    , m_log(log)
    , m_requests(metrics.counter("shallotrelay_requests_total", "Requests of callers"))
    , m_retries(metrics.counter("shallotrelay_retries_total", "Requests that were run once more"))
    , m_hedges(
          metrics.counter("shallotrelay_hedges_total", "Requests that were sent to a second target while they ran"))
    , m_departures(metrics.counter("shallotrelay_departures_total", "Attempts at targets in other data centres"))
    , m_failed(metrics.counter("shallotrelay_given_up_total", "Requests without a whole answer of a target"))
    , m_contained(metrics.counter("shallotrelay_contained_total", "Requests refused since they crash targets"))
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
        co_return refusalResult(503, "no bundle of the firm has been applied on this node yet", NoTargetRetryAfter);
    }
    if (!shard) {
        co_return refusalResult(404, "the bundle of the firm does not define the service", {});
    }
    Call call(*this, shard, request, source, sink, progress);
    ExchangeResult result = co_await call.run();
    if (isKeyed(request.head) && result.status == ServiceUnavailable && !result.claimHeld) {
        // No claim holder was reached, so an earlier request with the same key may have run.
        result.execution = Execution::Unknown;
    }
    co_return result;
}

std::shared_ptr<Backend> Dispatcher::backendOf(const ServiceShard &shard, const TargetRecord &record)
{
    if (auto local = m_local.findBackend(shard.id, record.name)) {
        return local;
    }
    const std::lock_guard lock(m_linksMutex);
    auto &link = m_links[record.peerAddress];
    if (!link) {
        const auto address = parseAddress(record.peerAddress);
        link = std::make_shared<PeerLink>(address.value_or(Address{"127.0.0.1", 0}), *m_options.clock, m_options.peers);
    }
    return m_options.wrapLink ? m_options.wrapLink(link) : link;
}

}
