#include "daemon/dispatcher.h"

#include "daemon/tryrace.h"
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
/// Share of one answer in the average size of its route; about the last twenty count.
constexpr double BytesWeight = 0.05;
/// Time between looks at the pace of the VM that runs a request; a small part of the shortest slow phase.
constexpr Duration PaceLook = std::chrono::milliseconds(12);
constexpr std::uint16_t ServiceUnavailable = 503;

/// Notices whether the body was used up. A body within the bound is held, so that it can be sent again.
class TrackedSource : public BodySource
{
public:
    TrackedSource(BodySource &source, std::size_t holdBytes)
        : m_source(source)
        , m_holdBytes(holdBytes)
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_next < m_held.size()) {
            co_return m_held[m_next++];
        }
        auto part = co_await m_source.read();
        if (part.ok() && !m_touched && m_heldBytes + part->size() <= m_holdBytes) {
            m_heldBytes += part->size();
            m_held.push_back(*part);
            m_next = m_held.size();
        } else {
            m_touched = m_touched || !part.ok() || !part->empty();
        }
        co_return part;
    }

    bool atEnd() const override
    {
        return m_next >= m_held.size() && m_source.atEnd();
    }

    /// Returns whether a part of the body is gone for good.
    bool touched() const
    {
        return m_touched;
    }

    /// Starts from the beginning of the held body.
    void rewind()
    {
        m_next = 0;
    }

private:
    BodySource &m_source;
    std::size_t m_holdBytes;
    std::vector<std::string> m_held;
    std::size_t m_heldBytes = 0;
    std::size_t m_next = 0;
    bool m_touched = false;
};

/// Tells the router of a try, and that it ended also if the try is cancelled.
class TryNote
{
public:
    TryNote(std::shared_ptr<ServiceShard> shard, std::string target, const Clock &clock)
        : m_shard(std::move(shard))
        , m_target(std::move(target))
        , m_clock(clock)
    {
    }

    TryNote(const TryNote &) = delete;
    TryNote &operator=(const TryNote &) = delete;

    ~TryNote()
    {
        const std::lock_guard lock(m_shard->mutex);
        m_shard->router.recordAttemptOutcome(m_target, m_outcome, m_clock.now());
    }

    /// Passes on what the try showed.
    void ended(const ExchangeResult &result)
    {
        constexpr std::uint16_t FirstServerError = 500;
        m_outcome.ran = result.execution == Execution::Ran;
        m_outcome.failed = result.unreachable || (m_outcome.ran && result.status >= FirstServerError);
        m_outcome.headLatency = result.headLatency;
        if (result.hasLoadReport) {
            const std::lock_guard lock(m_shard->mutex);
            m_shard->router.recordLoadReport(m_target, result.load, m_clock.now());
        }
    }

private:
    std::shared_ptr<ServiceShard> m_shard;
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
        , m_source(source, isKeyed(request.head) ? MaxKeyedBytes : dispatcher.m_options.holdBodyBytes)
        , m_sink(sink)
        , m_progress(progress)
        , m_plan(rulesOf(dispatcher, *m_shard, request))
    {
    }

    asio::awaitable<ExchangeResult> run()
    {
        ExchangeResult result = ownResult(503, "no target", NoTargetRetryAfter);
        const TimePoint begun = now();
        if (co_await standing() == SuspicionLevel::Contained) {
            result = ownResult(503, toString(TrialDecision::Refused), ContainedRetryAfter);
            logDecision("contained", result.reason, {});
            m_dispatcher.m_contained.Increment();
            co_return result;
        }
        for (;;) {
            const auto planned = plan();
            if (!planned) {
                logDecision("none", result.reason, {});
                co_return overall(std::move(result));
            }
            if (races()) {
                result = co_await runRace(*planned);
                if (!result.whole) {
                    logDecision("give-up", result.reason, {});
                    m_dispatcher.m_givenUp.Increment();
                }
                co_return result;
            }
            result = co_await runTry(*planned);
            if (!result.ownerAddress.empty()) {
                result = co_await runAtOwner(result);
            }
            if (result.whole) {
                noteAnswer(result, m_request.head.target, begun);
                co_return result;
            }
            if (!goesOn(result)) {
                logDecision("give-up", result.reason, {});
                m_dispatcher.m_givenUp.Increment();
                co_return overall(std::move(result));
            }
        }
    }

private:
    /// Tells what is known of all tries; what may have run in one of them is not refused. A request with a key says of
    /// itself whether it may have run, and can be sent again in any case.
    ExchangeResult overall(ExchangeResult result) const
    {
        result.execution = m_plan.overallExecution(result.execution);
        const bool mayHaveRun = result.execution != Execution::NotRun && !isKeyed(m_request.head);
        if (result.status == ServiceUnavailable && mayHaveRun) {
            result.status = BadGateway;
        }
        return result;
    }

    /// Returns whether the request may run; plans a trial if it is under suspicion. Its body is read only if there is
    /// reason for doubt.
    asio::awaitable<SuspicionLevel> standing()
    {
        const Options &options = m_dispatcher.m_options;
        if (!options.mayBeSuspect || !options.mayBeSuspect(m_request.head)) {
            co_return SuspicionLevel::Clear;
        }
        const RequestHead &head = m_request.head;
        const bool held = head.bodyKind == BodyKind::Sized && head.contentLength <= options.holdBodyBytes;
        if (head.bodyKind != BodyKind::None && !held) {
            // It cannot be read ahead here without being lost for a second try, so the guard decides.
            co_return SuspicionLevel::Clear;
        }
        RequestFingerprinter printer(head);
        while (!m_source.atEnd()) {
            const auto part = co_await m_source.read();
            if (!part.ok() || part->empty()) {
                break;
            }
            printer.addBody(*part);
        }
        m_source.rewind();
        const SuspicionLevel out = options.standing(printer.fingerprint());
        if (out == SuspicionLevel::Suspect || out == SuspicionLevel::Isolated) {
            m_trial = true;
            m_plan.requireTrial(printer.fingerprint().whole);
        }
        co_return out;
    }

    /// Returns whether its tries may run side by side.
    bool races() const
    {
        const RequestHead &head = m_request.head;
        if (m_trial) {
            return false;
        }
        return m_dispatcher.m_options.hedges && head.repeatable && head.bodyKind == BodyKind::None && !isKeyed(head);
    }

    /// Runs the tries side by side where that is worthwhile.
    asio::awaitable<ExchangeResult> runRace(PlannedAttempt planned)
    {
        const auto executor = co_await asio::this_coro::executor;
        const auto race
            = std::make_shared<TryRace>(executor, m_sink, m_dispatcher.m_options.holdAnswerBytes,
                                        [this](const ResponseHead &head) { return shouldDiscardResponse(head); });
        const RaceEnd end{*race};
        const TimePoint begun = now();
        startAttempt(*race, planned);
        const TimePoint hedgeAt = begun + hedgeDelay(begun);
        bool mayHedge = true;
        for (;;) {
            const TimePoint look = mayHedge ? std::min(hedgeAt, now() + PaceLook) : TimePoint::max();
            const auto attempt = co_await race->next(*m_dispatcher.m_options.clock, look);
            if (!attempt) {
                mayHedge = !m_sink.committed();
                if (mayHedge && (now() >= hedgeAt || shouldHedgeNow(planned.choice.target, begun))) {
                    mayHedge = false;
                    if (const auto second = planHedge()) {
                        startAttempt(*race, *second);
                    }
                }
                continue;
            }
            mayHedge = false;
            if (attempt->result.whole) {
                noteAnswer(attempt->result, attempt->head.target, begun);
                co_return attempt->result;
            }
            if (race->running() > 0) {
                m_plan.recordOutcome(
                    endOf(attempt->result.execution, attempt->result.reachedTarget, attempt->result.status));
                continue;
            }
            if (m_sink.committed() || !goesOn(attempt->result)) {
                co_return overall(attempt->result);
            }
            m_progress.execution = m_plan.overallExecution(Execution::NotRun);
            const auto another = plan();
            if (!another) {
                co_return overall(attempt->result);
            }
            startAttempt(*race, *another);
        }
    }

    /// Cancels what still runs when the call is over.
    struct RaceEnd {
        explicit RaceEnd(TryRace &r)
            : race(r)
        {
        }

        RaceEnd(const RaceEnd &) = delete;
        RaceEnd &operator=(const RaceEnd &) = delete;

        ~RaceEnd()
        {
            race.close();
        }

        TryRace &race;
    };

    void startAttempt(TryRace &race, const PlannedAttempt &planned)
    {
        logDecision("try", toString(planned.reason), planned.choice);
        const auto attempt = std::make_shared<TryRace::Attempt>();
        attempt->head = headFor(planned);
        attempt->backend = m_dispatcher.backendOf(*m_shard, m_record);
        attempt->begun = now();
        // The try may outlive the call, so it holds on to the service alone.
        const auto note = std::make_shared<TryNote>(m_shard, planned.choice.target, *m_dispatcher.m_options.clock);
        const auto &clock = *m_dispatcher.m_options.clock;
        attempt->onEnd = [note, shard = m_shard, weak = std::weak_ptr(attempt), &clock,
                          first = planned.reason != AttemptReason::Hedge](const ExchangeResult *result) {
            if (result != nullptr) {
                note->ended(*result);
            }
            const auto self = weak.lock();
            const bool answered = result != nullptr && result->whole;
            if (self && first && (answered || result == nullptr)) {
                const std::lock_guard lock(shard->mutex);
                shard->timers[self->head.route].recordLatency(clock.now() - self->begun);
            }
        };
        m_progress = {Execution::Unknown, false};
        race.start(attempt, m_request.deadline);
    }

    Duration hedgeDelay(TimePoint begun) const
    {
        const bool inTime = m_request.objective != TimePoint::max() && m_request.objective > begun;
        const std::lock_guard lock(m_shard->mutex);
        const auto it = m_shard->timers.find(m_request.head.route);
        const HedgeTimer timer = it == m_shard->timers.end() ? HedgeTimer() : it->second;
        return timer.delay(inTime ? m_request.objective - begun : Duration::zero());
    }

    /// Returns whether the target's VM has turned slow since the request went there, so that it would be late.
    bool shouldHedgeNow(const std::string &target, TimePoint begun) const
    {
        constexpr double PercentScale = 100;
        const bool aims = m_request.objective != TimePoint::max();
        const std::lock_guard lock(m_shard->mutex);
        const auto it = m_shard->timers.find(m_request.head.route);
        if (!aims || it == m_shard->timers.end()) {
            return false;
        }
        const double pace = m_shard->router.slowdownSince(target, begun) / PercentScale;
        return it->second.shouldHedgeNow(now() - begun, m_request.objective - begun, pace);
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

    /// Returns the request as it goes to a target.
    RequestHead headFor(const PlannedAttempt &planned) const
    {
        RequestHead head = m_request.head;
        head.target = planned.choice.target;
        head.mayQueue = planned.mayQueue;
        head.lastOffer = planned.lastOffer;
        head.repeats = planned.reason == AttemptReason::Retry || planned.reason == AttemptReason::Hedge;
        head.timeLeftMs = toWholeMilliseconds(m_request.deadline - now());
        const bool inTime = m_request.objective != TimePoint::max() && m_request.objective > now();
        const bool aims = m_request.objective != TimePoint::max();
        head.objectiveLeftMs = inTime ? toWholeMilliseconds(m_request.objective - now()) : (aims ? 1 : 0);
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
        const auto timer = shard.timers.find(request.head.route);
        rules.cost.work = timer == shard.timers.end() ? Duration::zero() : timer->second.averageLatency();
        const auto bytes = shard.responseBytes.find(request.head.route);
        rules.cost.responseBytes = bytes == shard.responseBytes.end() ? 0 : bytes->second;
        return rules;
    }

    std::optional<PlannedAttempt> plan()
    {
        const std::lock_guard lock(m_shard->mutex);
        m_shard->calledAt = now();
        const auto planned = m_plan.next(m_shard->router, m_shard->budget, m_shard->random, now());
        if (planned) {
            m_record = m_shard->records.at(planned->choice.target);
            m_dispatcher.m_retries.Increment(planned->reason == AttemptReason::Retry ? 1 : 0);
        }
        return planned;
    }

    asio::awaitable<ExchangeResult> runTry(const PlannedAttempt &planned)
    {
        TryNote note(m_shard, planned.choice.target, *m_dispatcher.m_options.clock);
        logDecision("try", toString(planned.reason), planned.choice);
        m_request.head = headFor(planned);
        m_source.rewind();
        m_progress = {m_plan.overallExecution(Execution::NotRun), false};
        m_sink.setWantsRetry([this](const ResponseHead &head) { return shouldDiscardResponse(head); });
        const auto backend = m_dispatcher.backendOf(*m_shard, m_record);
        ExchangeResult result = co_await backend->run(m_request.head, m_source, m_sink, m_progress, m_request.deadline);
        note.ended(result);
        if (result.whole) {
            learnWork(result.headLatency);
        }
        co_return result;
    }

    void learnWork(Duration latency)
    {
        const std::lock_guard lock(m_shard->mutex);
        m_shard->timers[m_request.head.route].recordLatency(latency);
    }

    /// Sends a request with a key to the node that holds the claim to it, which knows what became of it.
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
            // The holder of the claim did not answer, and only it knows what became of the key.
            result.execution = Execution::Unknown;
            result.status = 502;
        }
        co_return result;
    }

    bool shouldDiscardResponse(const ResponseHead &head)
    {
        const std::lock_guard lock(m_shard->mutex);
        return m_plan.shouldDiscardResponse(endOf(Execution::Ran, true, head.status), m_shard->router, m_shard->budget);
    }

    bool goesOn(const ExchangeResult &result)
    {
        const std::lock_guard lock(m_shard->mutex);
        AttemptOutcome end = endOf(result.execution, result.reachedTarget, result.status);
        end.refusedEverywhere = result.everywhere;
        return m_plan.shouldContinue(end, m_shard->router, m_shard->budget);
    }

    AttemptOutcome endOf(Execution execution, bool reachedTarget, std::uint16_t status) const
    {
        AttemptOutcome end;
        end.execution = execution;
        end.reachedTarget = reachedTarget;
        end.status = status;
        end.responseStarted = m_sink.committed();
        end.bodyConsumed = m_source.touched();
        end.timeLeft = m_request.deadline - now();
        return end;
    }

    void learnBytes(const ExchangeResult &result)
    {
        const std::lock_guard lock(m_shard->mutex);
        double &average = m_shard->responseBytes[m_request.head.route];
        average += (static_cast<double>(result.responseBytes) - average) * (average > 0 ? BytesWeight : 1);
    }

    void noteAnswer(const ExchangeResult &result, const std::string &target, TimePoint begun)
    {
        learnBytes(result);
        m_dispatcher.m_headLatency.Observe(toSeconds(result.headLatency));
        if (!m_dispatcher.m_log.enabled(LogLevel::Info)) {
            return;
        }
        LogFields line;
        line.add("node", m_dispatcher.m_options.node).add("request", m_request.head.requestId);
        line.add("route", m_request.head.route).add("target", target);
        line.add("status", std::uint64_t(result.status)).add("tries", std::uint64_t(m_plan.attemptCount()));
        line.add("ms", toMilliseconds(now() - begun)).add("head_ms", toMilliseconds(result.headLatency));
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
    TrackedSource m_source;
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
    , m_givenUp(metrics.counter("shallotrelay_given_up_total", "Requests without a whole answer of a target"))
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
        co_return ownResult(503, "no bundle of the firm is known yet", NoTargetRetryAfter);
    }
    if (!shard) {
        co_return ownResult(404, "no bundle names the service", {});
    }
    Call call(*this, shard, request, source, sink, progress);
    ExchangeResult result = co_await call.run();
    if (isKeyed(request.head) && result.status == ServiceUnavailable && !result.claimHeld) {
        // Nobody who knows the key was asked: an earlier request with it may have run.
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
    return link;
}

}
