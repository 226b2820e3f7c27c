#include "net/guardedtarget.h"

#include "net/connectionpool.h"
#include "net/guardrefusal.h"
#include "net/readaheadsource.h"
#include "net/targetconnection.h"
#include "shallotrelay/containment/requestfingerprinter.h"
#include "shallotrelay/retry/retry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <map>
#include <mutex>

namespace shallotrelay
{
namespace
{

using ConnectionPointer = std::unique_ptr<TargetConnection>;

/// Maximum number of responses to other requests that are skipped on one connection before it is closed.
constexpr int MaxSkippedResponses = 3;

/// Maximum size of a skipped body (of a response to another request, or of a rejection) in bytes; the body is read so
/// that the connection can be reused.
constexpr std::size_t MaxSkippedBytes = 64 * 1024;

/// Time without progress after which reading a skipped body fails.
constexpr Duration SkipStallTimeout = std::chrono::milliseconds(200);

/// Tolerance when checking whether a deadline has passed: the front end and the guard compute the deadline of a request
/// separately, so that the two differ by the transfer time between them.
constexpr Duration DeadlineTolerance = std::chrono::milliseconds(5);

/// Minimum time in the queue for which an admitted request is logged.
constexpr Duration MinLoggedWait = std::chrono::milliseconds(1);

/// Interval of slowdown probes while requests wait for the end of a slow phase; a small fraction of a slow phase.
constexpr Duration SlowdownProbeInterval = std::chrono::milliseconds(20);

/// Timeout of a slowdown probe; the response takes a few milliseconds unless the target is overloaded or failing.
constexpr Duration SlowdownProbeTimeout = std::chrono::milliseconds(60);

/// A request in the guard's queue; it waits on the event loop of its timer.
struct Waiter {
    explicit Waiter(const asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    enum class Result { Pending, Admitted, Expired };

    asio::steady_timer timer;
    Result result = Result::Pending;
};

}

struct GuardedTarget::Impl {
    explicit Impl(GuardedTargetOptions o)
        : options(std::move(o))
    {
        guard.setSlowdownProbesPerSecond(options.slowdownProbesPerSecond);
    }

    /// Wakes the queued requests that were admitted or expired; the caller must hold the mutex.
    void wake(const GuardRelease &release)
    {
        for (const GuardTicket it : release.admitted) {
            wakeOne(it, Waiter::Result::Admitted);
        }
        for (const GuardTicket it : release.expired) {
            wakeOne(it, Waiter::Result::Expired);
        }
    }

    void wakeOne(GuardTicket ticket, Waiter::Result result)
    {
        const auto it = waiters.find(ticket);
        if (it == waiters.end()) {
            return;
        }
        const std::shared_ptr<Waiter> waiter = it->second;
        waiter->result = result;
        asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
    }

    /// Applies a reported slowdown in percent; 0 means that the target reported none.
    void noteSlowdown(std::uint32_t percent)
    {
        if (percent == 0) {
            return;
        }
        {
            const std::lock_guard lock(mutex);
            const TimePoint now = options.clock->now();
            guard.setSlowdown(percent, now);
            wake(guard.tick(now));
        }
        const std::uint32_t before = lastSlowdownPercent.exchange(percent);
        const bool changed = 2 * percent > 3 * before || 2 * before > 3 * percent;
        if (changed && options.onSlowdownChange) {
            options.onSlowdownChange();
        }
    }

    /// Applies the statement in a response to a request or probe that was sent at the given start of the target.
    void applyStatement(const std::optional<TargetStatement> &statement, StatementSource source,
                        std::uint64_t startNumber)
    {
        if (!statement) {
            return;
        }
        {
            const std::lock_guard lock(mutex);
            const auto release = guard.applyStatement(*statement, source, startNumber, options.clock->now());
            if (!release) {
                return;
            }
            wake(*release);
        }
        if (options.onStatement) {
            options.onStatement(*statement, source);
        }
    }

    /// Applies the cold time in the response to a probe that was sent at the given start of the target.
    void extendColdTime(Duration remaining, std::uint64_t startNumber)
    {
        const std::lock_guard lock(mutex);
        if (startNumber == guard.startNumber()) {
            guard.extendColdTime(remaining, options.clock->now());
        }
    }

    void finish(GuardTicket ticket, const GuardOutcome &outcome)
    {
        const std::lock_guard lock(mutex);
        wake(guard.finished(ticket, outcome, options.clock->now()));
    }

    void noteRun(GuardTicket ticket, TrackedRun run)
    {
        const std::lock_guard lock(mutex);
        crashes.started(ticket, std::move(run), options.clock->now());
    }

    void noteRunEnd(GuardTicket ticket)
    {
        const std::lock_guard lock(mutex);
        crashes.ended(ticket);
    }

    void noteAbandoned(GuardTicket ticket)
    {
        const std::lock_guard lock(mutex);
        crashes.abandoned(ticket, options.clock->now());
    }

    void noteConnectionLost(GuardTicket ticket)
    {
        const std::lock_guard lock(mutex);
        crashes.connectionLost(ticket, options.clock->now());
    }

    void evaluateCrashEvidence(CrashEvidence evidence)
    {
        std::optional<Crash> crash;
        {
            const std::lock_guard lock(mutex);
            crash = crashes.evaluateCrashEvidence(evidence, options.clock->now());
            if (crash && lastTrial) {
                crash->onTrial.push_back(*lastTrial);
            }
        }
        if (crash && options.onCrash) {
            options.onCrash(*crash);
        }
    }

    /// Returns how many idle connections may be retained so that idle and used ones together never exceed the
    /// connection limit.
    std::size_t idleConnectionLimit()
    {
        const std::lock_guard lock(mutex);
        const std::uint32_t connections = guard.connectionLimit();
        const std::uint32_t slots = std::min(maxSlots, connections);
        return std::min<std::size_t>(connections - slots, slots);
    }

    /// Takes an idle connection if reuse is allowed, and opens a new one otherwise or if none is idle.
    asio::awaitable<absl::StatusOr<ConnectionPointer>> connect(asio::any_io_executor executor, bool reuses)
    {
        while (ConnectionPointer connection = reuses ? idle.take(executor) : nullptr) {
            if (!connection->stale()) {
                co_return connection;
            }
        }
        Address to;
        {
            const std::lock_guard lock(mutex);
            to = address;
        }
        auto socket = co_await connectTo(executor, to, options.connectTimeout);
        if (!socket.ok()) {
            co_return socket.status();
        }
        co_return std::make_unique<TargetConnection>(*std::move(socket), openCount);
    }

    GuardedTargetOptions options;
    mutable std::mutex mutex;
    Guard guard;
    CrashDetector crashes;
    TrialSlot trials;
    std::optional<std::uint64_t> lastTrial; // fingerprint of the most recent request on trial
    std::map<GuardTicket, std::shared_ptr<Waiter>> waiters;
    GuardTicket lastTicket = 0;
    Address address;
    std::uint32_t maxSlots = 0;
    std::uint32_t policySlots = 0;
    std::atomic<std::uint32_t> lastSlowdownPercent = 0;
    ConnectionPool<TargetConnection> idle;
    bool probeInProgress = false; // whether a slowdown probe is in flight
    std::vector<std::shared_ptr<asio::steady_timer>> probeWaiters; // cancelled when that probe ends
    std::shared_ptr<std::atomic<std::size_t>> openCount = std::make_shared<std::atomic<std::size_t>>(0);
};

/// Probes the slowdown of the target before a request is offered, so that a slow phase is detected before work starts.
/// Concurrent requests share one probe.
class GuardedTarget::SlowdownProbe
{
public:
    explicit SlowdownProbe(std::shared_ptr<Impl> impl)
        : m_impl(std::move(impl))
    {
    }

    SlowdownProbe(const SlowdownProbe &) = delete;
    SlowdownProbe &operator=(const SlowdownProbe &) = delete;

    ~SlowdownProbe()
    {
        if (!m_sendsProbe) {
            return;
        }
        const std::lock_guard lock(m_impl->mutex);
        m_impl->probeInProgress = false;
        for (const auto &it : m_impl->probeWaiters) {
            asio::post(it->get_executor(), [it] { it->cancel(); });
        }
        m_impl->probeWaiters.clear();
    }

    /// Sends a probe if the rate limit allows one, or waits for the probe in flight.
    asio::awaitable<void> run()
    {
        if (!m_impl->options.slowdownPath) {
            co_return;
        }
        const auto executor = co_await asio::this_coro::executor;
        std::shared_ptr<asio::steady_timer> timer;
        {
            const std::lock_guard lock(m_impl->mutex);
            if (m_impl->probeInProgress) {
                timer = std::make_shared<asio::steady_timer>(executor);
                timer->expires_after(SlowdownProbeTimeout);
                m_impl->probeWaiters.push_back(timer);
            } else {
                m_sendsProbe = m_impl->guard.tryAcquireSlowdownProbe(m_impl->options.clock->now());
                m_impl->probeInProgress = m_sendsProbe;
                m_startNumber = m_impl->guard.startNumber();
            }
        }
        if (timer) {
            co_await timer->async_wait(AsTuple);
        } else if (m_sendsProbe) {
            co_await sendProbe(executor);
        }
    }

private:
    asio::awaitable<void> sendProbe(asio::any_io_executor executor)
    {
        const std::string path = m_impl->options.slowdownPath();
        if (path.empty()) {
            co_return;
        }
        auto connection = co_await m_impl->connect(executor, true);
        if (!connection.ok()) {
            // The request itself runs into the same connection error and handles it.
            co_return;
        }
        TargetConnection &target = **connection;
        target.rejections.beginExchange();
        std::string host;
        {
            const std::lock_guard lock(m_impl->mutex);
            host = m_impl->address.text();
        }
        const std::string text = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        const absl::Status sent = co_await target.write(text, SlowdownProbeTimeout);
        if (!sent.ok()) {
            co_return;
        }
        const auto head = co_await target.readHeadWithin(SlowdownProbeTimeout);
        if (!head.ok()) {
            co_return;
        }
        if (!head->requestId.empty()) {
            // This is a late duplicate of an earlier response, and the probe's response follows it: drop the
            // connection.
            co_return;
        }
        RequestHead probe;
        probe.target = m_impl->options.name;
        const ResponseCheck check = m_impl->options.checkResponse(probe, *head);
        m_impl->noteSlowdown(check.pacePercent);
        m_impl->applyStatement(check.statement, StatementSource::SlowdownProbe, m_startNumber);
        if (check.remainingColdTime) {
            m_impl->extendColdTime(*check.remainingColdTime, m_startNumber);
        }
        const absl::Status discarded = co_await target.discardBody(MaxSkippedBytes, SlowdownProbeTimeout);
        if (!discarded.ok()) {
            co_return;
        }
        if (target.reusable()) {
            target.releaseMemory();
            m_impl->idle.put(executor, *std::move(connection), m_impl->idleConnectionLimit());
        }
    }

    std::shared_ptr<Impl> m_impl;
    bool m_sendsProbe = false;
    std::uint64_t m_startNumber = 0; // of the target when the probe was sent
};

/// A slot of the guard, from the offer of a request until the target has finished it. An abandoned request keeps its
/// slot while it still runs at the target.
class GuardedTarget::Slot
{
public:
    explicit Slot(std::shared_ptr<Impl> impl)
        : m_impl(std::move(impl))
        , m_start(m_impl->options.clock->now())
    {
    }

    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

    ~Slot()
    {
        if (m_waiter) {
            leaveQueue();
            return;
        }
        m_outcome.deadlineExceeded = m_impl->options.clock->now() + DeadlineTolerance >= m_deadline;
        if (m_admitted && m_connection && !m_headSeen) {
            m_impl->noteAbandoned(m_ticket);
            abandon();
        } else if (m_admitted) {
            m_impl->noteRunEnd(m_ticket);
            m_impl->finish(m_ticket, m_outcome);
        }
    }

    /// Offers the request to the guard and waits in its queue if the guard queues it.
    asio::awaitable<GuardOfferResult> acquire(const RequestHead &head, TimePoint deadline, bool alone)
    {
        const auto executor = co_await asio::this_coro::executor;
        GuardOfferResult result;
        m_deadline = deadline;
        {
            const std::lock_guard lock(m_impl->mutex);
            m_ticket = ++m_impl->lastTicket;
            const TimePoint now = m_impl->options.clock->now();
            GuardOffer offer;
            offer.ticket = m_ticket;
            offer.deadline = deadline;
            offer.mayQueue = head.mayQueue;
            offer.priority = head.priority;
            offer.route = head.route;
            offer.repeats = head.repeats;
            offer.lastOffer = head.lastOffer;
            offer.alone = alone;
            offer.workspace = head.workspace;
            offer.nested = head.nested;
            if (head.objectiveLeftMs > 0) {
                offer.objective = now + std::chrono::milliseconds(head.objectiveLeftMs);
            }
            result = m_impl->guard.offer(offer, now);
            if (result.kind == GuardOfferResult::Kind::Queued) {
                m_waiter = std::make_shared<Waiter>(executor);
                m_impl->waiters[m_ticket] = m_waiter;
            }
        }
        if (m_waiter) {
            co_await waitInQueue(&result);
        }
        m_admitted = result.kind == GuardOfferResult::Kind::Admitted;
        m_start = m_impl->options.clock->now();
        co_return result;
    }

    /// Attaches the connection on which the request is sent; the slot owns it while the target runs the request.
    TargetConnection &attachConnection(ConnectionPointer connection)
    {
        m_connection = std::move(connection);
        return *m_connection;
    }

    /// Returns the ticket of the request at the guard.
    GuardTicket ticket() const
    {
        return m_ticket;
    }

    /// Returns the connection and detaches it from the slot.
    ConnectionPointer takeConnection()
    {
        return std::move(m_connection);
    }

    /// Records the arrival of the response head and returns its latency.
    Duration headArrived(bool failed)
    {
        const TimePoint now = m_impl->options.clock->now();
        m_headSeen = true;
        m_outcome.headReceived = true;
        m_outcome.failed = failed;
        m_outcome.headLatency = now - m_start;
        const std::lock_guard lock(m_impl->mutex);
        m_impl->guard.headArrived(m_ticket, now);
        return m_outcome.headLatency;
    }

    /// Records that the target failed.
    void failed()
    {
        m_outcome.failed = true;
    }

    /// Releases the slot; if the exchange fails, the destructor releases it.
    void finish()
    {
        m_admitted = false;
        m_impl->noteRunEnd(m_ticket);
        m_impl->finish(m_ticket, m_outcome);
    }

private:
    asio::awaitable<void> waitInQueue(GuardOfferResult *result)
    {
        while (m_waiter->result == Waiter::Result::Pending) {
            const bool probes = inSlowPhase();
            if (probes) {
                m_waiter->timer.expires_after(SlowdownProbeInterval);
            } else {
                m_waiter->timer.expires_at(asio::steady_timer::time_point::max());
            }
            co_await m_waiter->timer.async_wait(AsTuple);
            if (probes && m_waiter->result == Waiter::Result::Pending) {
                SlowdownProbe probe(m_impl);
                co_await probe.run();
            }
        }
        const std::lock_guard lock(m_impl->mutex);
        const bool admitted = m_waiter->result == Waiter::Result::Admitted;
        result->kind = admitted ? GuardOfferResult::Kind::Admitted : GuardOfferResult::Kind::Refused;
        result->refusal = admitted ? GuardRefusal::None : GuardRefusal::AtLimit;
        m_impl->waiters.erase(m_ticket);
        m_waiter.reset();
    }

    bool inSlowPhase() const
    {
        const std::lock_guard lock(m_impl->mutex);
        return m_impl->guard.remainingSlowPhase(m_impl->options.clock->now()) > Duration::zero();
    }

    void leaveQueue()
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->waiters.erase(m_ticket);
        if (m_impl->guard.withdraw(m_ticket)) {
            return;
        }
        m_impl->wake(m_impl->guard.finished(m_ticket, {}, m_impl->options.clock->now()));
    }

    /// Makes the target cancel the request and keeps the slot until the target closes its side.
    void abandon()
    {
        if (m_impl->options.cancelsOnClose) {
            closeAbandonedConnection();
            return;
        }
        auto wait = [](std::shared_ptr<Impl> impl, ConnectionPointer connection, GuardTicket ticket,
                       GuardOutcome outcome) -> asio::awaitable<void> {
            co_await connection->cancelAndWait(impl->options.cancelTimeout);
            connection.reset();
            impl->finish(ticket, outcome);
        };
        const asio::any_io_executor executor = m_connection->executor();
        asio::co_spawn(executor, wait(m_impl, std::move(m_connection), m_ticket, m_outcome), asio::detached);
    }

    /// Closes the connection and keeps the slot for the short time that the target needs to detect this.
    void closeAbandonedConnection()
    {
        const asio::any_io_executor executor = m_connection->executor();
        m_connection.reset();
        auto wait = [](std::shared_ptr<Impl> impl, GuardTicket ticket, GuardOutcome outcome) -> asio::awaitable<void> {
            co_await sleepFor(impl->options.abandonedSlotHold);
            impl->finish(ticket, outcome);
        };
        asio::co_spawn(executor, wait(m_impl, m_ticket, m_outcome), asio::detached);
    }

    std::shared_ptr<Impl> m_impl;
    GuardTicket m_ticket = 0;
    std::shared_ptr<Waiter> m_waiter;
    bool m_admitted = false;
    bool m_headSeen = false;
    TimePoint m_start;
    TimePoint m_deadline;
    GuardOutcome m_outcome;
    ConnectionPointer m_connection;
};

/// The trial of a request that is suspected of crashing targets; the destructor releases the trial slot.
class GuardedTarget::Trial
{
public:
    explicit Trial(Impl &impl)
        : m_impl(impl)
    {
    }

    Trial(const Trial &) = delete;
    Trial &operator=(const Trial &) = delete;

    ~Trial()
    {
        if (m_fingerprint) {
            const std::lock_guard lock(m_impl.mutex);
            m_impl.trials.release(*m_fingerprint);
        }
    }

    /// Returns the decision on running the request at this target; a suspect request that may run takes the trial slot.
    TrialDecision enter(const RequestPrint &fingerprint, SuspicionLevel suspicion)
    {
        const std::lock_guard lock(m_impl.mutex);
        const TrialDecision decision = m_impl.trials.acquire(fingerprint.whole, suspicion);
        const bool runs = decision == TrialDecision::Run || decision == TrialDecision::RunAlone;
        if (runs && suspicion != SuspicionLevel::Clear) {
            m_fingerprint = fingerprint.whole;
            m_impl.lastTrial = fingerprint.whole;
        }
        return decision;
    }

private:
    Impl &m_impl;
    std::optional<std::uint64_t> m_fingerprint;
};

/// One exchange with the target for an admitted request.
class GuardedTarget::Exchange
{
public:
    Exchange(Impl &impl, const RequestHead &head, BodySource &source, ResponseSink &sink, ExchangeProgress &progress,
             TimePoint deadline, std::unique_ptr<RequestFingerprinter> fingerprinter, bool bodyRequested)
        : m_impl(impl)
        , m_head(head)
        , m_source(source)
        , m_sink(sink)
        , m_progress(progress)
        , m_deadline(deadline)
        , m_bodyRequested(bodyRequested)
        , m_fingerprintsBody(fingerprinter == nullptr)
        , m_fingerprinter(fingerprinter ? std::move(fingerprinter) : std::make_unique<RequestFingerprinter>(head))
    {
    }

    asio::awaitable<ExchangeResult> run(Slot &slot)
    {
        m_ticket = slot.ticket();
        m_executor = co_await asio::this_coro::executor;
        const auto executor = m_executor;
        const bool reuses = m_head.bodyKind == BodyKind::None && m_head.repeatable;
        auto connection = co_await m_impl.connect(executor, reuses);
        if (!connection.ok()) {
            co_return unreachable(slot, connection.status());
        }
        if (!m_bodyRequested && !(co_await m_sink.admitted(load())).ok()) {
            co_return m_result;
        }
        if (!m_bodyRequested && (*connection)->stale()) {
            connection = co_await m_impl.connect(executor, false);
            if (!connection.ok()) {
                co_return unreachable(slot, connection.status());
            }
        }
        TargetConnection &target = slot.attachConnection(*std::move(connection));
        target.rejections.beginExchange();
        m_progress.execution = Execution::Unknown;
        m_result.reachedTarget = true;
        m_startNumber = startNumber();
        if (m_impl.options.onRequestSent) {
            m_impl.options.onRequestSent(m_head);
        }
        absl::Status status = co_await sendAndRelay(slot, target);
        if (status.ok()) {
            slot.finish();
            returnToPool(executor, slot.takeConnection());
            co_return m_result;
        }
        // On cancellation the connection stays with the slot, which waits until the target has ended the work.
        co_await throwIfCancelled();
        slot.takeConnection();
        // If a reused connection fails, it is unknown whether the target read and ran the request. The retry is
        // therefore left to the caller's node, which holds the retry budget.
        m_impl.idle.clear(executor);
        co_return exchangeFailed(slot, status);
    }

private:
    void returnToPool(const asio::any_io_executor &executor, ConnectionPointer connection)
    {
        const bool bodySent = m_head.bodyKind == BodyKind::None || m_bodySent;
        if (connection->reusable() && bodySent) {
            connection->releaseMemory();
            m_impl.idle.put(executor, std::move(connection), m_impl.idleConnectionLimit());
        }
    }

    /// Sends the request and relays the response; OK means that the exchange is complete.
    asio::awaitable<absl::Status> sendAndRelay(Slot &slot, TargetConnection &connection)
    {
        using namespace asio::experimental::awaitable_operators;
        std::string host;
        {
            const std::lock_guard lock(m_impl.mutex);
            host = m_impl.address.text();
        }
        RequestHead head = m_head;
        head.timeLeftMs = toWholeMilliseconds(std::max(Duration::zero(), m_deadline - m_impl.options.clock->now()));
        if (m_impl.options.targetFields) {
            for (HeaderField &it : m_impl.options.targetFields(m_head)) {
                head.headers.push_back(std::move(it));
            }
        }
        const absl::Status sent = co_await connection.write(requestHeadText(head, host), m_impl.options.stallTimeout);
        if (!sent.ok()) {
            co_return sent;
        }
        if (m_head.bodyKind == BodyKind::None) {
            noteCompleteRequest();
            co_return co_await relayResponse(slot, connection);
        }
        const auto first = co_await (relayResponse(slot, connection) || relayBody(connection));
        co_return first.index() == 0 ? std::get<0>(first) : std::get<1>(first);
    }

    void noteCompleteRequest()
    {
        m_impl.noteRun(m_ticket, {m_fingerprinter->fingerprint(), m_head.requestId});
    }

    /// Relays the request body; returns only if reading it fails, since the response determines the end of the
    /// exchange.
    asio::awaitable<absl::Status> relayBody(TargetConnection &connection)
    {
        for (;;) {
            auto part = co_await m_source.read();
            if (!part.ok()) {
                co_return part.status();
            }
            const bool end = part->empty();
            if (m_fingerprintsBody) {
                m_fingerprinter->addBody(*part);
            }
            std::string bytes;
            if (m_head.bodyKind == BodyKind::Streamed) {
                appendChunk(&bytes, *part);
            } else {
                bytes = *std::move(part);
            }
            // A target may respond before it has read the complete body, so a failed write does not end the exchange.
            const absl::Status status = co_await connection.write(std::move(bytes), m_impl.options.stallTimeout);
            m_bodySent = end && status.ok();
            if (m_bodySent) {
                noteCompleteRequest();
            }
            if (end || !status.ok()) {
                co_await sleepForever();
            }
        }
    }

    /// Reads the head of the response to this request; late responses to other requests are skipped.
    asio::awaitable<absl::StatusOr<ResponseHead>> readMatchingHead(TargetConnection &connection)
    {
        for (int skipped = 0; skipped <= MaxSkippedResponses; ++skipped) {
            auto head = co_await connection.readHead(m_head.method == "HEAD");
            if (!head.ok() || !m_impl.options.checkResponse) {
                co_return head;
            }
            const ResponseCheck check = m_impl.options.checkResponse(m_head, *head);
            m_impl.noteSlowdown(check.pacePercent);
            if (check.kind == ResponseCheck::Kind::Response || check.kind == ResponseCheck::Kind::Rejected) {
                m_impl.applyStatement(check.statement, StatementSource::Response, m_startNumber);
            }
            m_rejected = check.kind == ResponseCheck::Kind::Rejected;
            const bool unproven = m_rejected && !connection.rejections.isProven(head->requestId, m_head.requestId);
            if (check.kind == ResponseCheck::Kind::Invalid || unproven) {
                co_return absl::DataLossError("the target sent an invalid response to the request");
            }
            if (check.kind != ResponseCheck::Kind::OtherRequest) {
                co_return head;
            }
            if (const absl::Status status = co_await connection.discardBody(MaxSkippedBytes, SkipStallTimeout);
                !status.ok()) {
                co_return status;
            }
        }
        co_return absl::DataLossError("the target sent more than 3 responses to other requests");
    }

    /// Handles a rejection: the target did not run the request, and its response is not passed on to the caller.
    asio::awaitable<absl::Status> handleRejection(Slot &slot, TargetConnection &connection)
    {
        constexpr std::uint16_t ServiceUnavailable = 503;
        slot.failed();
        connection.rejections.recordRejection(m_head.requestId);
        m_progress.execution = Execution::NotRun;
        m_impl.noteRunEnd(m_ticket);
        m_result.execution = Execution::NotRun;
        m_result.status = ServiceUnavailable;
        m_result.reason = "rejected by the target";
        m_result.unreachable = true;
        if (m_impl.options.onTargetFault) {
            m_impl.options.onTargetFault(TargetFault::Rejected);
        }
        // The body of the rejection is discarded; a connection on which it does not end is not reused.
        co_await connection.discardBody(MaxSkippedBytes, SkipStallTimeout);
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> relayResponse(Slot &slot, TargetConnection &connection)
    {
        auto head = co_await readMatchingHead(connection);
        if (!head.ok()) {
            co_return head.status();
        }
        if (m_rejected) {
            co_return co_await handleRejection(slot, connection);
        }
        constexpr std::uint16_t FirstServerError = 500;
        m_result.status = head->status;
        m_result.headLatency = slot.headArrived(head->status >= FirstServerError);
        m_impl.noteRunEnd(m_ticket);
        m_progress.execution = Execution::Ran;
        head->requestId = m_head.requestId;
        head->load = load();
        bool more = connection.hasBufferedData() || connection.responseComplete();
        absl::Status status = co_await m_sink.head(*head, more ? Flush::WithNext : Flush::Now);
        if (!status.ok()) {
            co_return status;
        }
        m_progress.responseStarted = true;
        while (!connection.responseComplete()) {
            auto part = co_await connection.readBody(m_impl.options.stallTimeout);
            if (!part.ok()) {
                co_return part.status();
            }
            if (part->empty()) {
                continue;
            }
            more = connection.responseComplete();
            m_result.responseBytes += part->size();
            status = co_await m_sink.chunk(*std::move(part), more ? Flush::WithNext : Flush::Now);
            if (!status.ok()) {
                co_return status;
            }
        }
        m_result.whole = true;
        m_result.execution = Execution::Ran;
        if (head->status < FirstServerError && m_impl.options.onCleanRun) {
            m_impl.options.onCleanRun(m_fingerprinter->fingerprint());
        }
        m_result.load = load();
        co_return co_await m_sink.end(m_result.load);
    }

    LoadReport load()
    {
        const std::lock_guard lock(m_impl.mutex);
        return m_impl.guard.load(m_impl.options.clock->now());
    }

    std::uint64_t startNumber() const
    {
        const std::lock_guard lock(m_impl.mutex);
        return m_impl.guard.startNumber();
    }

    /// Handles a failed connection attempt; the request did not run.
    ExchangeResult unreachable(Slot &slot, const absl::Status &status)
    {
        slot.failed();
        m_impl.idle.clear(m_executor);
        if (m_impl.options.onTargetFault) {
            m_impl.options.onTargetFault(TargetFault::Unreachable);
        }
        if (isConnectionRefused(status)) {
            m_impl.evaluateCrashEvidence(CrashEvidence::NothingListens);
        }
        const std::lock_guard lock(m_impl.mutex);
        m_impl.guard.suspectRestart(m_impl.options.clock->now());
        m_result.execution = Execution::NotRun;
        m_result.status = 503;
        m_result.reason = std::string(status.message());
        m_result.unreachable = true;
        return m_result;
    }

    /// Handles a failure after the connection was made; the execution state is the one reached so far.
    ExchangeResult exchangeFailed(Slot &slot, const absl::Status &status)
    {
        m_result.whole = false;
        m_result.execution = m_progress.execution;
        m_result.reason = std::string(status.message());
        if (status.code() == absl::StatusCode::kAborted) {
            return m_result;
        }
        slot.failed();
        m_impl.noteConnectionLost(m_ticket);
        m_result.status = 502;
        m_result.unreachable = true;
        if (m_impl.options.onTargetFault) {
            m_impl.options.onTargetFault(TargetFault::ConnectionLost);
            return m_result;
        }
        const std::lock_guard lock(m_impl.mutex);
        m_impl.guard.suspectRestart(m_impl.options.clock->now());
        return m_result;
    }

    Impl &m_impl;
    const RequestHead &m_head;
    BodySource &m_source;
    ResponseSink &m_sink;
    ExchangeProgress &m_progress;
    TimePoint m_deadline;
    bool m_bodyRequested; // whether the sender of the body was told to send it, or there is no body
    bool m_fingerprintsBody; // whether the body is added to the fingerprint while it is relayed
    std::unique_ptr<RequestFingerprinter> m_fingerprinter;
    GuardTicket m_ticket = 0;
    std::uint64_t m_startNumber = 0; // of the target when the request was sent
    ExchangeResult m_result;
    bool m_bodySent = false;
    bool m_rejected = false;
    asio::any_io_executor m_executor;
};

GuardedTarget::GuardedTarget(GuardedTargetOptions options)
    : m_impl(std::make_shared<Impl>(std::move(options)))
{
}

GuardedTarget::~GuardedTarget() = default;

void GuardedTarget::announced(const TargetAnnouncement &announcement, const Address &address)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->address = address;
    m_impl->maxSlots = std::max(m_impl->policySlots, announcement.slots);
    m_impl->wake(m_impl->guard.announced(announcement, m_impl->options.clock->now()));
}

void GuardedTarget::announcementEnded()
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->wake(m_impl->guard.announcementEnded(m_impl->options.clock->now()));
}

void GuardedTarget::setPolicy(const GuardPolicy &policy)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->policySlots = policy.slots;
    m_impl->maxSlots = std::max(m_impl->maxSlots, policy.slots);
    m_impl->wake(m_impl->guard.setPolicy(policy, m_impl->options.clock->now()));
}

void GuardedTarget::tick()
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->wake(m_impl->guard.tick(m_impl->options.clock->now()));
}

void GuardedTarget::refuseFor(Duration span)
{
    const std::lock_guard lock(m_impl->mutex);
    const TimePoint now = m_impl->options.clock->now();
    m_impl->guard.holdUntil(now + span);
    m_impl->wake(m_impl->guard.tick(now));
}

void GuardedTarget::suspectRestart()
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->guard.suspectRestart(m_impl->options.clock->now());
}

void GuardedTarget::evaluateCrashEvidence(CrashEvidence evidence)
{
    m_impl->evaluateCrashEvidence(evidence);
}

void GuardedTarget::responded(TimePoint sentAt)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->crashes.responded(sentAt);
}

void GuardedTarget::setSlowdown(std::uint32_t percent)
{
    m_impl->noteSlowdown(percent);
}

void GuardedTarget::applyStatement(const TargetStatement &statement, StatementSource source, std::uint64_t startNumber)
{
    m_impl->applyStatement(statement, source, startNumber);
}

std::uint64_t GuardedTarget::startNumber() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->guard.startNumber();
}

std::optional<double> GuardedTarget::statedLimit() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->guard.statedLimit();
}

LoadReport GuardedTarget::load() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->guard.load(m_impl->options.clock->now());
}

void GuardedTarget::withGuard(const std::function<void(Guard &guard, TimePoint now)> &action)
{
    const std::lock_guard lock(m_impl->mutex);
    const TimePoint now = m_impl->options.clock->now();
    action(m_impl->guard, now);
    m_impl->wake(m_impl->guard.tick(now));
}

double GuardedTarget::repeatedAttemptShare() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->guard.repeatedAttemptShare();
}

std::size_t GuardedTarget::openConnections() const
{
    return m_impl->openCount->load();
}

asio::awaitable<ExchangeResult> GuardedTarget::run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                                   ExchangeProgress &progress, TimePoint deadline)
{
    // Sharing ownership of the implementation lets a cancelled exchange outlive this object.
    const std::shared_ptr<Impl> impl = m_impl;
    ReadAheadSource body(source);
    std::unique_ptr<RequestFingerprinter> fingerprinter;
    Trial trial(*impl);
    bool admissionSent = false;
    bool alone = false;
    if (impl->options.mayBeSuspect && impl->options.mayBeSuspect(head)) {
        fingerprinter = std::make_unique<RequestFingerprinter>(head);
        if (head.bodyKind != BodyKind::None) {
            admissionSent = true;
            absl::Status status = co_await sink.admitted(load());
            if (status.ok()) {
                status = co_await body.readAhead(FingerprintedBodyBytes, fingerprinter.get());
            }
            if (!status.ok()) {
                co_return ExchangeResult{};
            }
        }
        const RequestPrint fingerprint = fingerprinter->fingerprint();
        const SuspicionLevel suspicion = impl->options.standing(fingerprint);
        const TrialDecision decision = trial.enter(fingerprint, suspicion);
        if (suspicion != SuspicionLevel::Clear && impl->options.onTrial) {
            impl->options.onTrial(head, fingerprint, decision);
        }
        alone = decision == TrialDecision::RunAlone;
        if (decision != TrialDecision::Run && !alone) {
            co_return trialRefusal(decision, load());
        }
    }
    {
        SlowdownProbe probe(impl);
        co_await probe.run();
    }
    Slot slot(impl);
    const TimePoint offered = impl->options.clock->now();
    const GuardOfferResult offerResult = co_await slot.acquire(head, deadline, alone);
    const Duration waited = impl->options.clock->now() - offered;
    ExchangeResult result;
    const bool logged = offerResult.kind != GuardOfferResult::Kind::Admitted || waited >= MinLoggedWait;
    if (logged && impl->options.onDecision) {
        impl->options.onDecision(head, {offerResult, waited, load()});
    }
    if (offerResult.kind != GuardOfferResult::Kind::Admitted) {
        result = refusalResult(offerResult);
    } else {
        const bool bodyRequested = head.bodyKind == BodyKind::None || admissionSent;
        Exchange exchange(*impl, head, body, sink, progress, deadline, std::move(fingerprinter), bodyRequested);
        result = co_await exchange.run(slot);
    }
    result.hasLoadReport = true;
    result.load = load();
    co_return result;
}

}
