#include "daemon/linkgate.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace shallotrelay
{
namespace
{

/// Bandwidth in Mbit/s from which a link is wide: half a megabyte then takes less than 50 ms.
constexpr double WideMegabitsPerSecond = 100;
constexpr double BytesPerMegabit = 1e6 / 8;
/// Size of a piece in bytes; a small request waits behind one piece at most.
constexpr std::size_t PieceBytes = 8 * 1024;
/// Assumed size of a body whose length is not stated, in bytes.
constexpr double AssumedBodyBytes = 64 * 1024;
constexpr std::uint16_t ServiceUnavailable = 503;
/// Time until a refused body may be offered again if the budget states none.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(100);

double bytesPerSecond(double megabitsPerSecond)
{
    const bool narrow = megabitsPerSecond > 0 && megabitsPerSecond < WideMegabitsPerSecond;
    return narrow ? megabitsPerSecond * BytesPerMegabit : 0;
}

LinkTurn turnOf(const RequestHead &head, TimePoint deadline, TimePoint now)
{
    LinkTurn out;
    out.priority = head.priority;
    out.deadline = deadline;
    if (head.objectiveLeftMs > 0) {
        out.objective = now + std::chrono::milliseconds(head.objectiveLeftMs);
    }
    out.bytes = head.bodyKind == BodyKind::Sized ? static_cast<double>(head.contentLength) : AssumedBodyBytes;
    return out;
}

bool hasLargeBody(const RequestHead &head)
{
    return head.bodyKind == BodyKind::Streamed
           || (head.bodyKind == BodyKind::Sized && head.contentLength > LargeBodyBytes);
}

}

/// A coroutine that waits for the link; it runs on the event loop of its timer.
struct LinkGate::Waiter {
    explicit Waiter(const asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    enum class Result { Pending, Granted, Expired };

    asio::steady_timer timer;
    Result result = Result::Pending;
};

/// Removes a piece that waits to be sent when its wait ends, also by cancellation.
class LinkGate::Wait
{
public:
    Wait(std::shared_ptr<LinkGate> gate, LinkTicket ticket)
        : m_gate(std::move(gate))
        , m_ticket(ticket)
    {
    }

    Wait(const Wait &) = delete;
    Wait &operator=(const Wait &) = delete;

    ~Wait()
    {
        const std::lock_guard lock(m_gate->m_mutex);
        m_gate->m_pacer.withdraw(m_ticket);
        m_gate->m_waiters.erase(m_ticket);
    }

private:
    std::shared_ptr<LinkGate> m_gate;
    LinkTicket m_ticket;
};

/// The reception of one request body, from its admission to the end of the exchange.
class LinkGate::Reception
{
public:
    explicit Reception(std::shared_ptr<LinkGate> gate)
        : m_gate(std::move(gate))
        , m_ticket(m_gate->newTicket())
    {
    }

    Reception(const Reception &) = delete;
    Reception &operator=(const Reception &) = delete;

    ~Reception()
    {
        m_gate->finished(m_ticket);
    }

    asio::awaitable<bool> admit(LinkTurn body)
    {
        body.ticket = m_ticket;
        const auto executor = co_await asio::this_coro::executor;
        m_decision = co_await m_gate->admit(body, std::make_shared<Waiter>(executor));
        co_return m_decision.kind == LinkDecision::Kind::Admitted;
    }

    void received(std::size_t bytes)
    {
        m_gate->received(m_ticket, bytes);
    }

    const LinkDecision &decision() const
    {
        return m_decision;
    }

private:
    std::shared_ptr<LinkGate> m_gate;
    LinkTicket m_ticket;
    LinkDecision m_decision;
};

/// Counts the bytes of a request body as they arrive.
class LinkGate::CountedSource : public BodySource
{
public:
    CountedSource(BodySource &source, Reception &reception)
        : m_source(source)
        , m_reception(reception)
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        auto part = co_await m_source.read();
        if (part.ok()) {
            m_reception.received(part->size());
        }
        co_return part;
    }

    bool atEnd() const override
    {
        return m_source.atEnd();
    }

private:
    BodySource &m_source;
    Reception &m_reception;
};

/// Admits a request body when the link has room, and passes on the response piece by piece.
class LinkGate::PacedSink : public ResponseSink
{
public:
    PacedSink(LinkGate &gate, const RequestHead &head, LinkTurn turn, ResponseSink &sink, Reception &reception)
        : m_gate(gate)
        , m_head(head)
        , m_turn(turn)
        , m_sink(sink)
        , m_reception(reception)
    {
    }

    asio::awaitable<absl::Status> head(const ResponseHead &head, Flush flush) override
    {
        co_return co_await m_sink.head(head, flush);
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush flush) override
    {
        absl::Status status;
        std::size_t offset = 0;
        while (status.ok() && offset < data.size()) {
            const std::size_t left = data.size() - offset;
            const std::size_t piece = co_await m_gate.nextPiece(m_turn, m_bytesSent, left);
            std::string part = piece == data.size() ? std::exchange(data, {}) : data.substr(offset, piece);
            m_bytesSent += piece;
            offset += piece;
            status = co_await m_sink.chunk(std::move(part), piece < left ? Flush::Now : flush);
        }
        co_return status;
    }

    asio::awaitable<absl::Status> end(const LoadReport &load) override
    {
        co_return co_await m_sink.end(load);
    }

    asio::awaitable<absl::Status> admitted(const LoadReport &load) override
    {
        if (hasLargeBody(m_head)) {
            const bool admitted = co_await m_reception.admit(m_turn);
            if (!admitted) {
                co_return absl::ResourceExhaustedError("the link has no room for the request body");
            }
        }
        co_return co_await m_sink.admitted(load);
    }

private:
    LinkGate &m_gate;
    const RequestHead &m_head;
    LinkTurn m_turn;
    ResponseSink &m_sink;
    Reception &m_reception;
    std::size_t m_bytesSent = 0;
};

/// Splits a request body into pieces and returns each one when it may be sent.
class LinkGate::PacedSource : public BodySource
{
public:
    PacedSource(LinkGate &gate, LinkTurn turn, BodySource &source)
        : m_gate(gate)
        , m_turn(turn)
        , m_source(source)
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        if (m_part.empty()) {
            auto part = co_await m_source.read();
            if (!part.ok() || part->empty()) {
                co_return part;
            }
            m_part = *std::move(part);
        }
        const std::size_t piece = co_await m_gate.nextPiece(m_turn, m_bytesSent, m_part.size());
        m_bytesSent += piece;
        std::string out = m_part.substr(0, piece);
        m_part.erase(0, piece);
        co_return out;
    }

    bool atEnd() const override
    {
        return m_part.empty() && m_source.atEnd();
    }

private:
    LinkGate &m_gate;
    LinkTurn m_turn;
    BodySource &m_source;
    std::string m_part;
    std::size_t m_bytesSent = 0;
};

/// A local target that serves a request of another node.
class LinkGate::Served : public Backend
{
public:
    Served(std::shared_ptr<LinkGate> gate, std::shared_ptr<Backend> target)
        : m_gate(std::move(gate))
        , m_target(std::move(target))
    {
    }

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override
    {
        Reception reception(m_gate);
        CountedSource body(source, reception);
        PacedSink paced(*m_gate, head, turnOf(head, deadline, m_gate->m_clock.now()), sink, reception);
        ExchangeResult result = co_await m_target->run(head, body, paced, progress, deadline);
        if (reception.decision().kind == LinkDecision::Kind::Refused) {
            result.execution = Execution::NotRun;
            result.status = ServiceUnavailable;
            result.reason = "the link of the node has no room for the request body";
            result.retryAfter = reception.decision().retryAfter;
        }
        co_return result;
    }

private:
    std::shared_ptr<LinkGate> m_gate;
    std::shared_ptr<Backend> m_target;
};

/// A link to another node.
class LinkGate::Sender : public Backend
{
public:
    Sender(std::shared_ptr<LinkGate> gate, std::shared_ptr<Backend> link)
        : m_gate(std::move(gate))
        , m_link(std::move(link))
    {
    }

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override
    {
        PacedSource body(*m_gate, turnOf(head, deadline, m_gate->m_clock.now()), source);
        co_return co_await m_link->run(head, body, sink, progress, deadline);
    }

private:
    std::shared_ptr<LinkGate> m_gate;
    std::shared_ptr<Backend> m_link;
};

LinkGate::LinkGate(const Clock &clock, double megabitsPerSecond, Metrics &metrics)
    : m_clock(clock)
    , m_narrow(bytesPerSecond(megabitsPerSecond) > 0)
    , m_pacer({.bytesPerSecond = bytesPerSecond(megabitsPerSecond)})
    , m_budget({.bytesPerSecond = bytesPerSecond(megabitsPerSecond)})
    , m_piecesDelayed(metrics.counter("shallotrelay_link_pieces_delayed_total",
                                      "Pieces of large bodies that waited to be sent over the link"))
    , m_bodiesDelayed(metrics.counter("shallotrelay_link_bodies_delayed_total",
                                      "Large request bodies that waited until the link had room"))
    , m_bodiesRefused(metrics.counter("shallotrelay_link_bodies_refused_total",
                                      "Large request bodies that were refused since the link had no room in time"))
{
}

bool LinkGate::isNarrow() const
{
    return m_narrow;
}

void LinkGate::configure(Dispatcher::Options *options)
{
    if (m_narrow) {
        options->wrapLink
            = [self = shared_from_this()](std::shared_ptr<Backend> link) { return self->send(std::move(link)); };
        options->maxHedgedResponseBytes = LargeBodyBytes;
    }
}

void LinkGate::configure(FrontendOptions *options)
{
    if (!m_narrow) {
        return;
    }
    options->pace
        = [self = shared_from_this()](const CallerRequest &request, std::size_t bytesWritten, std::size_t bytesLeft) {
              LinkTurn turn;
              turn.priority = request.head.priority;
              turn.objective = request.objective;
              return self->nextPiece(turn, bytesWritten, bytesLeft);
          };
}

std::shared_ptr<Backend> LinkGate::serve(std::shared_ptr<Backend> target)
{
    return m_narrow && target ? std::make_shared<Served>(shared_from_this(), std::move(target)) : target;
}

std::shared_ptr<Backend> LinkGate::send(std::shared_ptr<Backend> link)
{
    return m_narrow ? std::make_shared<Sender>(shared_from_this(), std::move(link)) : link;
}

asio::awaitable<std::size_t> LinkGate::nextPiece(LinkTurn turn, std::size_t bytesSent, std::size_t bytesLeft)
{
    if (bytesSent < LargeBodyBytes) {
        const std::size_t piece = std::min(bytesLeft, LargeBodyBytes - bytesSent);
        const std::lock_guard lock(m_mutex);
        m_pacer.charge(static_cast<double>(piece), m_clock.now());
        co_return piece;
    }
    const std::size_t piece = std::min(bytesLeft, PieceBytes);
    const auto executor = co_await asio::this_coro::executor;
    const auto waiter = std::make_shared<Waiter>(executor);
    turn.ticket = newTicket();
    turn.bytes = static_cast<double>(piece);
    const Wait wait(shared_from_this(), turn.ticket);
    bool delayed = false;
    {
        const std::lock_guard lock(m_mutex);
        m_pacer.wait(turn);
        m_waiters[turn.ticket] = waiter;
    }
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            for (const LinkTicket it : m_pacer.grant(m_clock.now())) {
                wakeOne(it, true);
            }
            if (waiter->result != Waiter::Result::Pending) {
                co_return piece;
            }
            m_piecesDelayed.Increment(delayed ? 0 : 1);
            delayed = true;
            waiter->timer.expires_at(m_pacer.nextGrantAt().value_or(m_clock.now()));
        }
        co_await waiter->timer.async_wait(AsTuple);
    }
}

asio::awaitable<LinkDecision> LinkGate::admit(LinkTurn body, std::shared_ptr<Waiter> waiter)
{
    LinkDecision decision;
    {
        const std::lock_guard lock(m_mutex);
        decision = m_budget.offer(body, m_clock.now());
        if (decision.kind == LinkDecision::Kind::Queued) {
            m_waiters[body.ticket] = waiter;
            m_bodiesDelayed.Increment();
        }
    }
    while (decision.kind == LinkDecision::Kind::Queued) {
        {
            const std::lock_guard lock(m_mutex);
            wake(m_budget.tick(m_clock.now()));
            if (waiter->result != Waiter::Result::Pending) {
                const bool granted = waiter->result == Waiter::Result::Granted;
                decision.kind = granted ? LinkDecision::Kind::Admitted : LinkDecision::Kind::Refused;
                decision.retryAfter = granted ? Duration::zero() : DefaultRetryAfter;
                break;
            }
            waiter->timer.expires_at(m_budget.nextTickAt().value_or(m_clock.now()));
        }
        co_await waiter->timer.async_wait(AsTuple);
    }
    m_bodiesRefused.Increment(decision.kind == LinkDecision::Kind::Refused ? 1 : 0);
    co_return decision;
}

LinkTicket LinkGate::newTicket()
{
    const std::lock_guard lock(m_mutex);
    return ++m_lastTicket;
}

void LinkGate::received(LinkTicket ticket, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    wake(m_budget.received(ticket, static_cast<double>(bytes), m_clock.now()));
}

void LinkGate::finished(LinkTicket ticket)
{
    const std::lock_guard lock(m_mutex);
    m_waiters.erase(ticket);
    wake(m_budget.finished(ticket, m_clock.now()));
}

/// Wakes the bodies that were admitted or expired; the caller must hold the mutex.
void LinkGate::wake(const LinkRelease &release)
{
    for (const LinkTicket it : release.admitted) {
        wakeOne(it, true);
    }
    for (const LinkTicket it : release.expired) {
        wakeOne(it, false);
    }
}

void LinkGate::wakeOne(LinkTicket ticket, bool admitted)
{
    const auto it = m_waiters.find(ticket);
    if (it == m_waiters.end()) {
        return;
    }
    const std::shared_ptr<Waiter> waiter = it->second;
    waiter->result = admitted ? Waiter::Result::Granted : Waiter::Result::Expired;
    asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
}

}
