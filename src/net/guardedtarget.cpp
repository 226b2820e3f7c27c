#include "net/guardedtarget.h"

#include "net/connectionpool.h"
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

/// Answers to other requests that are skipped on one connection before it is given up.
constexpr int MaxSkippedAnswers = 3;

/// Bytes of an answer to another request, or of a rejection, that are read so that the connection can be used again.
constexpr std::size_t MaxSkippedBytes = 64 * 1024;

/// Time without progress after which such an answer is not read on.
constexpr Duration SkipStall = std::chrono::milliseconds(200);

/// The end of a request's time as its guard and as its door see it differ by the way between them.
constexpr Duration DeadlineTolerance = std::chrono::milliseconds(5);

/// A wait that is worth a log line.
constexpr Duration ToldWait = std::chrono::milliseconds(1);

/// Time between questions for the pace while requests wait for the end of a slow phase; a small part of a phase.
constexpr Duration PaceLookGap = std::chrono::milliseconds(20);

/// Time for the answer to such a question; it comes within a few milliseconds unless the target is in trouble.
constexpr Duration PaceLookTimeout = std::chrono::milliseconds(60);

/// Least time after which the outcome of a trial is known.
constexpr Duration LeastTrialRetryAfter = std::chrono::milliseconds(50);

/// A request that waits for a slot, on the event loop of its timer.
struct Waiter {
    explicit Waiter(const asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    enum class Result { Pending, Admitted, Expired };

    asio::steady_timer timer;
    Result result = Result::Pending;
};

/// A body of which the first part was read ahead.
class ReadAheadSource : public BodySource
{
public:
    explicit ReadAheadSource(BodySource &source)
        : m_source(source)
    {
    }

    /// Reads until the body ends or some bytes are held; the printer takes in what is read.
    asio::awaitable<absl::Status> readAhead(std::size_t bytes, RequestFingerprinter *printer)
    {
        std::size_t held = 0;
        while (held < bytes && !m_source.atEnd()) {
            auto part = co_await m_source.read();
            if (!part.ok()) {
                co_return part.status();
            }
            if (part->empty()) {
                break;
            }
            held += part->size();
            printer->addBody(*part);
            m_held.push_back(*std::move(part));
        }
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_next < m_held.size()) {
            co_return std::move(m_held[m_next++]);
        }
        co_return co_await m_source.read();
    }

    bool atEnd() const override
    {
        return m_next >= m_held.size() && m_source.atEnd();
    }

private:
    BodySource &m_source;
    std::vector<std::string> m_held;
    std::size_t m_next = 0;
};

ExchangeResult refusalResult(const GuardOfferResult &answer)
{
    ExchangeResult result;
    result.status = answer.refusal == GuardRefusal::Expired ? 504 : 503;
    result.reason = toString(answer.refusal);
    result.retryAfter = answer.retryAfter;
    return result;
}

/// The guard turns a request under suspicion away; it has not run.
ExchangeResult trialRefusal(TrialDecision answer, const LoadReport &load)
{
    ExchangeResult result;
    result.status = 503;
    result.reason = toString(answer);
    result.everywhere = answer != TrialDecision::Elsewhere;
    result.retryAfter = answer == TrialDecision::Refused
                            ? ContainedRetryAfter
                            : std::max<Duration>(LeastTrialRetryAfter, std::chrono::microseconds(load.latencyUs));
    result.reported = true;
    result.load = load;
    return result;
}

}

struct GuardedTarget::Impl {
    explicit Impl(GuardedTargetOptions o)
        : options(std::move(o))
    {
        guard.setSlowdownProbesPerSecond(options.looksPerSecond);
    }

    /// Wakes the requests whose waiting ended; the lock must be held.
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

    /// Takes in a pace in percent, 0 if the target told none.
    void notePace(std::uint32_t percent)
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
        const std::uint32_t before = tellsPace.exchange(percent);
        const bool changed = 2 * percent > 3 * before || 2 * before > 3 * percent;
        if (changed && options.onPace) {
            options.onPace();
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

    void noteCutOff(GuardTicket ticket)
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

    /// Idle connections that may be kept without ever opening more than the bound together with those in use.
    std::size_t idleBound()
    {
        const std::lock_guard lock(mutex);
        const std::uint32_t connections = guard.connectionLimit();
        const std::uint32_t slots = std::min(slotBound, connections);
        return std::min<std::size_t>(connections - slots, slots);
    }

    /// Takes an idle connection, or opens one if none is idle or a fresh one is wanted.
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
    std::optional<std::uint64_t> lastTrial; // print of the request that is or was last on trial
    std::map<GuardTicket, std::shared_ptr<Waiter>> waiters;
    GuardTicket lastTicket = 0;
    Address address;
    std::uint32_t slotBound = 0;
    std::uint32_t policySlots = 0;
    std::atomic<std::uint32_t> tellsPace = 0;
    ConnectionPool<TargetConnection> idle;
    bool looking = false; // whether the target is being asked for its pace
    std::vector<std::shared_ptr<asio::steady_timer>> lookers; // wait for its answer
    std::shared_ptr<std::atomic<std::size_t>> openCount = std::make_shared<std::atomic<std::size_t>>(0);
};

/// Asks the target for its pace, so that no work starts in a slow phase unseen. Several requests share one question.
class GuardedTarget::PaceLook
{
public:
    explicit PaceLook(std::shared_ptr<Impl> impl)
        : m_impl(std::move(impl))
    {
    }

    PaceLook(const PaceLook &) = delete;
    PaceLook &operator=(const PaceLook &) = delete;

    ~PaceLook()
    {
        if (!m_asks) {
            return;
        }
        const std::lock_guard lock(m_impl->mutex);
        m_impl->looking = false;
        for (const auto &it : m_impl->lookers) {
            asio::post(it->get_executor(), [it] { it->cancel(); });
        }
        m_impl->lookers.clear();
    }

    /// Returns once the pace is as fresh as it is worth asking for.
    asio::awaitable<void> run()
    {
        if (!m_impl->options.pacePath) {
            co_return;
        }
        const auto executor = co_await asio::this_coro::executor;
        std::shared_ptr<asio::steady_timer> timer;
        {
            const std::lock_guard lock(m_impl->mutex);
            if (m_impl->looking) {
                timer = std::make_shared<asio::steady_timer>(executor);
                timer->expires_after(PaceLookTimeout);
                m_impl->lookers.push_back(timer);
            } else {
                m_asks = m_impl->guard.tryAcquireSlowdownProbe(m_impl->options.clock->now());
                m_impl->looking = m_asks;
            }
        }
        if (timer) {
            co_await timer->async_wait(AsTuple);
        } else if (m_asks) {
            co_await ask(executor);
        }
    }

private:
    asio::awaitable<void> ask(asio::any_io_executor executor)
    {
        const std::string path = m_impl->options.pacePath();
        if (path.empty()) {
            co_return;
        }
        auto connection = co_await m_impl->connect(executor, true);
        if (!connection.ok()) {
            // The request that is about to start finds out the same and acts on it.
            co_return;
        }
        TargetConnection &target = **connection;
        std::string host;
        {
            const std::lock_guard lock(m_impl->mutex);
            host = m_impl->address.text();
        }
        const std::string text = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        const absl::Status sent = co_await target.write(text, PaceLookTimeout);
        if (!sent.ok()) {
            co_return;
        }
        const auto head = co_await target.readHeadWithin(PaceLookTimeout);
        if (!head.ok()) {
            co_return;
        }
        if (!head->requestId.empty()) {
            // A late copy of an earlier answer; what was asked for follows it, so the connection is given up.
            co_return;
        }
        const AnswerCheck check = m_impl->options.checkAnswer(RequestHead{}, *head);
        m_impl->notePace(check.pacePercent);
        while (!target.answerDone()) {
            const auto part = co_await target.readBody(PaceLookTimeout);
            if (!part.ok()) {
                co_return;
            }
        }
        if (target.reusable()) {
            target.releaseMemory();
            m_impl->idle.put(executor, *std::move(connection), m_impl->idleBound());
        }
    }

    std::shared_ptr<Impl> m_impl;
    bool m_asks = false;
};

/// A slot of the guard, from the offer until the target is done. What is left running goes on being counted.
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

    /// Asks the guard; waits in its queue if that is allowed.
    asio::awaitable<GuardOfferResult> acquire(const RequestHead &head, TimePoint deadline, bool alone)
    {
        const auto executor = co_await asio::this_coro::executor;
        GuardOfferResult answer;
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
            if (head.objectiveLeftMs > 0) {
                offer.objective = now + std::chrono::milliseconds(head.objectiveLeftMs);
            }
            answer = m_impl->guard.offer(offer, now);
            if (answer.kind == GuardOfferResult::Kind::Queued) {
                m_waiter = std::make_shared<Waiter>(executor);
                m_impl->waiters[m_ticket] = m_waiter;
            }
        }
        if (m_waiter) {
            co_await waitInQueue(&answer);
        }
        m_admitted = answer.kind == GuardOfferResult::Kind::Admitted;
        m_start = m_impl->options.clock->now();
        co_return answer;
    }

    /// Lends a connection to the slot for as long as the target works for it.
    TargetConnection &hold(ConnectionPointer connection)
    {
        m_connection = std::move(connection);
        return *m_connection;
    }

    /// Returns what identifies the request at the guard.
    GuardTicket ticket() const
    {
        return m_ticket;
    }

    /// Takes the connection back.
    ConnectionPointer takeConnection()
    {
        return std::move(m_connection);
    }

    /// Notes the head of the answer and returns the time it took.
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

    /// Notes that the target failed.
    void failed()
    {
        m_outcome.failed = true;
    }

    /// Frees the slot; an answer that ended early frees it in the destructor.
    void finish()
    {
        m_admitted = false;
        m_impl->noteRunEnd(m_ticket);
        m_impl->finish(m_ticket, m_outcome);
    }

private:
    asio::awaitable<void> waitInQueue(GuardOfferResult *answer)
    {
        while (m_waiter->result == Waiter::Result::Pending) {
            const bool slow = slowPhase();
            if (slow) {
                m_waiter->timer.expires_after(PaceLookGap);
            } else {
                m_waiter->timer.expires_at(asio::steady_timer::time_point::max());
            }
            co_await m_waiter->timer.async_wait(AsTuple);
            if (slow && m_waiter->result == Waiter::Result::Pending) {
                PaceLook look(m_impl);
                co_await look.run();
            }
        }
        const std::lock_guard lock(m_impl->mutex);
        const bool admitted = m_waiter->result == Waiter::Result::Admitted;
        answer->kind = admitted ? GuardOfferResult::Kind::Admitted : GuardOfferResult::Kind::Refused;
        answer->refusal = admitted ? GuardRefusal::None : GuardRefusal::AtLimit;
        m_impl->waiters.erase(m_ticket);
        m_waiter.reset();
    }

    bool slowPhase() const
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

    /// Tells the target to cancel and keeps the slot taken until the target ends its side.
    void abandon()
    {
        if (m_impl->options.closesAbandoned) {
            closeAbandoned();
            return;
        }
        auto wait = [](std::shared_ptr<Impl> impl, ConnectionPointer connection, GuardTicket ticket,
                       GuardOutcome outcome) -> asio::awaitable<void> {
            co_await connection->cancelAndWait(impl->options.abandonBound);
            connection.reset();
            impl->finish(ticket, outcome);
        };
        const asio::any_io_executor executor = m_connection->executor();
        asio::co_spawn(executor, wait(m_impl, std::move(m_connection), m_ticket, m_outcome), asio::detached);
    }

    /// Closes the connection and keeps the slot taken for the short time in which the target notices.
    void closeAbandoned()
    {
        const asio::any_io_executor executor = m_connection->executor();
        m_connection.reset();
        auto wait = [](std::shared_ptr<Impl> impl, GuardTicket ticket, GuardOutcome outcome) -> asio::awaitable<void> {
            co_await sleepFor(impl->options.abandonedLinger);
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

/// The place of a request that is under suspicion of crashing targets, for as long as it is tried.
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
        if (m_print) {
            const std::lock_guard lock(m_impl.mutex);
            m_impl.trials.release(*m_print);
        }
    }

    /// Asks whether the request may run here.
    TrialDecision enter(const RequestPrint &print, SuspicionLevel standing)
    {
        const std::lock_guard lock(m_impl.mutex);
        const TrialDecision answer = m_impl.trials.acquire(print.whole, standing);
        const bool runs = answer == TrialDecision::Run || answer == TrialDecision::RunAlone;
        if (runs && standing != SuspicionLevel::Clear) {
            m_print = print.whole;
            m_impl.lastTrial = print.whole;
        }
        return answer;
    }

private:
    Impl &m_impl;
    std::optional<std::uint64_t> m_print;
};

/// One exchange with the target in an admitted slot.
class GuardedTarget::Exchange
{
public:
    Exchange(Impl &impl, const RequestHead &head, BodySource &source, AnswerSink &sink, ExchangeProgress &progress,
             TimePoint deadline, std::unique_ptr<RequestFingerprinter> printer)
        : m_impl(impl)
        , m_head(head)
        , m_source(source)
        , m_sink(sink)
        , m_progress(progress)
        , m_deadline(deadline)
        , m_printsBody(printer == nullptr)
        , m_printer(printer ? std::move(printer) : std::make_unique<RequestFingerprinter>(head))
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
        TargetConnection &held = slot.hold(*std::move(connection));
        m_progress.execution = Execution::Unknown;
        m_result.reachedTarget = true;
        absl::Status status = co_await converse(slot, held);
        if (status.ok()) {
            slot.finish();
            keep(executor, slot.takeConnection());
            co_return m_result;
        }
        // A cancelled exchange leaves its connection to the slot, which waits for the target to end the work.
        co_await throwIfCancelled();
        slot.takeConnection();
        // Whether a reused connection was closed before the target read the request or after it ran it looks the same
        // from here, so sending it again is left to whoever keeps the budget.
        m_impl.idle.clear(executor);
        co_return cutOff(slot, status);
    }

private:
    void keep(const asio::any_io_executor &executor, ConnectionPointer connection)
    {
        const bool bodySent = m_head.bodyKind == BodyKind::None || m_bodySent;
        if (connection->reusable() && bodySent) {
            connection->releaseMemory();
            m_impl.idle.put(executor, std::move(connection), m_impl.idleBound());
        }
    }

    /// Sends the request and relays the answer; OK means that the whole answer went to the sink.
    asio::awaitable<absl::Status> converse(Slot &slot, TargetConnection &connection)
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
            noteWholeRequest();
            co_return co_await relayAnswer(slot, connection);
        }
        const auto first = co_await (relayAnswer(slot, connection) || relayBody(connection));
        co_return first.index() == 0 ? std::get<0>(first) : std::get<1>(first);
    }

    void noteWholeRequest()
    {
        m_impl.noteRun(m_ticket, {m_printer->fingerprint(), m_head.requestId});
    }

    /// Relays the request body; ends only if that fails, since the answer decides when the exchange is over.
    asio::awaitable<absl::Status> relayBody(TargetConnection &connection)
    {
        for (;;) {
            auto part = co_await m_source.read();
            if (!part.ok()) {
                co_return part.status();
            }
            const bool end = part->empty();
            if (m_printsBody) {
                m_printer->addBody(*part);
            }
            std::string bytes;
            if (m_head.bodyKind == BodyKind::Streamed) {
                appendChunk(&bytes, *part);
            } else {
                bytes = *std::move(part);
            }
            // A target may answer before it has read the whole body, so a failed write is not yet the end.
            const absl::Status status = co_await connection.write(std::move(bytes), m_impl.options.stallTimeout);
            m_bodySent = end && status.ok();
            if (m_bodySent) {
                noteWholeRequest();
            }
            if (end || !status.ok()) {
                co_await sleepForever();
            }
        }
    }

    /// Reads what is left of an answer and drops it.
    asio::awaitable<absl::Status> skipBody(TargetConnection &connection)
    {
        std::size_t skipped = 0;
        while (!connection.answerDone()) {
            const auto part = co_await connection.readBody(SkipStall);
            if (!part.ok()) {
                co_return part.status();
            }
            skipped += part->size();
            if (skipped > MaxSkippedBytes) {
                co_return absl::DataLossError("an answer to another request does not end");
            }
        }
        co_return absl::OkStatus();
    }

    /// Reads the head of the answer to this request; answers to others that the target sends late are skipped.
    asio::awaitable<absl::StatusOr<ResponseHead>> readOwnHead(TargetConnection &connection)
    {
        for (int skipped = 0; skipped <= MaxSkippedAnswers; ++skipped) {
            auto head = co_await connection.readHead(m_head.method == "HEAD");
            if (!head.ok() || !m_impl.options.checkAnswer) {
                co_return head;
            }
            const AnswerCheck check = m_impl.options.checkAnswer(m_head, *head);
            m_impl.notePace(check.pacePercent);
            if (check.kind == AnswerCheck::Kind::Invalid) {
                co_return absl::DataLossError("the target sent what is no answer to the request");
            }
            m_rejected = check.kind == AnswerCheck::Kind::Rejected;
            if (check.kind != AnswerCheck::Kind::OtherRequest) {
                co_return head;
            }
            if (const absl::Status status = co_await skipBody(connection); !status.ok()) {
                co_return status;
            }
        }
        co_return absl::DataLossError("the target answers other requests only");
    }

    /// The target did not run the request; its reasons stay between it and the guard.
    asio::awaitable<absl::Status> takeRejection(Slot &slot, TargetConnection &connection)
    {
        constexpr std::uint16_t ServiceUnavailable = 503;
        slot.failed();
        m_progress.execution = Execution::NotRun;
        m_impl.noteRunEnd(m_ticket);
        m_result.execution = Execution::NotRun;
        m_result.status = ServiceUnavailable;
        m_result.reason = "rejected by the target";
        m_result.unreachable = true;
        if (m_impl.options.onDoubt) {
            m_impl.options.onDoubt(TargetDoubt::Rejected);
        }
        // What the rejection says does not matter; a connection on which it does not end is not used again.
        co_await skipBody(connection);
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> relayAnswer(Slot &slot, TargetConnection &connection)
    {
        auto head = co_await readOwnHead(connection);
        if (!head.ok()) {
            co_return head.status();
        }
        if (m_rejected) {
            co_return co_await takeRejection(slot, connection);
        }
        constexpr std::uint16_t FirstServerError = 500;
        m_result.status = head->status;
        m_result.headLatency = slot.headArrived(head->status >= FirstServerError);
        m_impl.noteRunEnd(m_ticket);
        m_progress.execution = Execution::Ran;
        head->requestId = m_head.requestId;
        head->load = load();
        bool more = connection.hasBuffered() || connection.answerDone();
        absl::Status status = co_await m_sink.head(*head, more ? Flush::WithNext : Flush::Now);
        if (!status.ok()) {
            co_return status;
        }
        m_progress.responseStarted = true;
        while (!connection.answerDone()) {
            auto part = co_await connection.readBody(m_impl.options.stallTimeout);
            if (!part.ok()) {
                co_return part.status();
            }
            if (part->empty()) {
                continue;
            }
            more = connection.answerDone();
            m_result.responseBytes += part->size();
            status = co_await m_sink.chunk(*std::move(part), more ? Flush::WithNext : Flush::Now);
            if (!status.ok()) {
                co_return status;
            }
        }
        m_result.whole = true;
        m_result.execution = Execution::Ran;
        if (head->status < FirstServerError && m_impl.options.onCleanRun) {
            m_impl.options.onCleanRun(m_printer->fingerprint());
        }
        m_result.load = load();
        co_return co_await m_sink.end(m_result.load);
    }

    LoadReport load()
    {
        const std::lock_guard lock(m_impl.mutex);
        return m_impl.guard.load(m_impl.options.clock->now());
    }

    /// The connection was not made, so the request did not run.
    ExchangeResult unreachable(Slot &slot, const absl::Status &status)
    {
        slot.failed();
        m_impl.idle.clear(m_executor);
        if (m_impl.options.onDoubt) {
            m_impl.options.onDoubt(TargetDoubt::Unreachable);
        }
        if (nothingListens(status)) {
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

    ExchangeResult cutOff(Slot &slot, const absl::Status &status)
    {
        m_result.whole = false;
        m_result.execution = m_progress.execution;
        m_result.reason = std::string(status.message());
        if (status.code() == absl::StatusCode::kAborted) {
            return m_result;
        }
        slot.failed();
        m_impl.noteCutOff(m_ticket);
        m_result.status = 502;
        m_result.unreachable = true;
        if (m_impl.options.onDoubt) {
            m_impl.options.onDoubt(TargetDoubt::CutOff);
            return m_result;
        }
        const std::lock_guard lock(m_impl.mutex);
        m_impl.guard.suspectRestart(m_impl.options.clock->now());
        return m_result;
    }

    Impl &m_impl;
    const RequestHead &m_head;
    BodySource &m_source;
    AnswerSink &m_sink;
    ExchangeProgress &m_progress;
    TimePoint m_deadline;
    bool m_printsBody; // whether the printer takes in the body as it passes
    std::unique_ptr<RequestFingerprinter> m_printer;
    GuardTicket m_ticket = 0;
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
    m_impl->slotBound = std::max(m_impl->policySlots, announcement.slots);
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
    m_impl->slotBound = std::max(m_impl->slotBound, policy.slots);
    m_impl->wake(m_impl->guard.setPolicy(policy, m_impl->options.clock->now()));
}

void GuardedTarget::tick()
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->wake(m_impl->guard.tick(m_impl->options.clock->now()));
}

void GuardedTarget::hold(Duration span)
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

void GuardedTarget::alive(TimePoint sentAt)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->crashes.responded(sentAt);
}

void GuardedTarget::setSlowdown(std::uint32_t percent)
{
    m_impl->notePace(percent);
}

LoadReport GuardedTarget::load() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->guard.load(m_impl->options.clock->now());
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

asio::awaitable<ExchangeResult> GuardedTarget::run(const RequestHead &head, BodySource &source, AnswerSink &sink,
                                                   ExchangeProgress &progress, TimePoint deadline)
{
    // Holding on to the implementation lets a cancelled exchange outlive this object.
    const std::shared_ptr<Impl> impl = m_impl;
    ReadAheadSource body(source);
    std::unique_ptr<RequestFingerprinter> printer;
    Trial trial(*impl);
    bool admissionTold = false;
    bool alone = false;
    if (impl->options.mayBeSuspect && impl->options.mayBeSuspect(head)) {
        printer = std::make_unique<RequestFingerprinter>(head);
        if (head.bodyKind != BodyKind::None) {
            admissionTold = true;
            absl::Status status = co_await sink.admitted(load());
            if (status.ok()) {
                status = co_await body.readAhead(FingerprintedBodyBytes, printer.get());
            }
            if (!status.ok()) {
                co_return ExchangeResult{};
            }
        }
        const RequestPrint print = printer->fingerprint();
        const SuspicionLevel standing = impl->options.standing(print);
        const TrialDecision answer = trial.enter(print, standing);
        if (standing != SuspicionLevel::Clear && impl->options.onTrial) {
            impl->options.onTrial(head, print, answer);
        }
        alone = answer == TrialDecision::RunAlone;
        if (answer != TrialDecision::Run && !alone) {
            co_return trialRefusal(answer, load());
        }
    }
    {
        PaceLook look(impl);
        co_await look.run();
    }
    Slot slot(impl);
    const TimePoint offered = impl->options.clock->now();
    const GuardOfferResult answer = co_await slot.acquire(head, deadline, alone);
    const Duration waited = impl->options.clock->now() - offered;
    ExchangeResult result;
    const bool told = answer.kind != GuardOfferResult::Kind::Admitted || waited >= ToldWait;
    if (told && impl->options.onDecision) {
        impl->options.onDecision(head, {answer, waited, load()});
    }
    if (answer.kind != GuardOfferResult::Kind::Admitted) {
        result = refusalResult(answer);
    } else {
        if (head.bodyKind != BodyKind::None && !admissionTold) {
            const absl::Status status = co_await sink.admitted(load());
            if (!status.ok()) {
                co_return result;
            }
        }
        Exchange exchange(*impl, head, body, sink, progress, deadline, std::move(printer));
        result = co_await exchange.run(slot);
    }
    result.reported = true;
    result.load = load();
    co_return result;
}

}
