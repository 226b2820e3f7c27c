#include "daemon/attemptrace.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace shallotrelay
{
namespace
{

constexpr std::uint16_t FirstServerError = 500;

/// Empty request body.
class NoBody : public BodySource
{
public:
    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        co_return std::string();
    }

    bool atEnd() const override
    {
        return true;
    }
};

}

/// Buffers a response until it is complete or exceeds the buffer limit, then forwards it unless another attempt has
/// won.
class AttemptRace::Sink : public ResponseSink
{
public:
    Sink(std::shared_ptr<AttemptRace> race, const Attempt &attempt)
        : m_race(std::move(race))
        , m_attempt(attempt)
    {
    }

    asio::awaitable<absl::Status> head(const ResponseHead &head, Flush) override
    {
        if (!mayContinue()) {
            co_return lostRace();
        }
        if (head.status >= FirstServerError && (m_race->running() > 1 || m_race->m_discardsResponse(head))) {
            co_return absl::AbortedError("error response discarded in favour of another attempt");
        }
        m_head = head;
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush flush) override
    {
        if (!mayContinue()) {
            co_return lostRace();
        }
        m_body.append(data);
        if (!m_forwarding && m_body.size() <= m_race->m_maxHeldBytes) {
            co_return absl::OkStatus();
        }
        co_return co_await forward(m_forwarding ? flush : Flush::Now, std::nullopt);
    }

    asio::awaitable<absl::Status> end(const LoadReport &load) override
    {
        if (!mayContinue()) {
            co_return lostRace();
        }
        co_return co_await forward(Flush::WithNext, load);
    }

    asio::awaitable<absl::Status> admitted(const LoadReport &) override
    {
        co_return absl::OkStatus();
    }

private:
    static absl::Status lostRace()
    {
        return absl::AbortedError("another attempt has already responded");
    }

    bool mayContinue() const
    {
        return m_race->m_sink != nullptr && (m_race->m_winner == nullptr || m_race->m_winner == &m_attempt);
    }

    /// Queues the buffered part of the response for next() and waits until it has been written to the caller.
    asio::awaitable<absl::Status> forward(Flush flush, std::optional<LoadReport> end)
    {
        if (!m_race->claimWin(m_attempt)) {
            co_return lostRace();
        }
        const auto part = std::make_shared<ResponsePart>(m_race->m_executor);
        if (!std::exchange(m_forwarding, true)) {
            part->head = m_head;
        }
        part->body = std::exchange(m_body, {});
        part->flush = flush;
        part->end = end;
        m_race->m_pendingPart = part;
        m_race->m_wake.cancel();
        while (!part->done) {
            part->written.expires_at(asio::steady_timer::time_point::max());
            co_await part->written.async_wait(AsTuple);
            co_await throwIfCancelled();
        }
        co_return part->status;
    }

    std::shared_ptr<AttemptRace> m_race;
    const Attempt &m_attempt;
    ResponseHead m_head;
    std::string m_body;
    bool m_forwarding = false;
};

AttemptRace::AttemptRace(asio::any_io_executor executor, CallerSink &sink, std::size_t maxHeldBytes,
                         DiscardsResponse discardsResponse)
    : m_executor(executor)
    , m_sink(&sink)
    , m_maxHeldBytes(maxHeldBytes)
    , m_discardsResponse(std::move(discardsResponse))
    , m_wake(executor)
{
}

void AttemptRace::start(const std::shared_ptr<Attempt> &attempt, TimePoint deadline)
{
    const auto stop = std::make_shared<StopSource>();
    m_attempts.push_back(attempt);
    m_stops.push_back(stop);
    asio::co_spawn(m_executor, runOne(shared_from_this(), attempt, stop, deadline), asio::detached);
}

asio::awaitable<void> AttemptRace::runOne(std::shared_ptr<AttemptRace> self, std::shared_ptr<Attempt> attempt,
                                          std::shared_ptr<StopSource> stop, TimePoint deadline)
{
    NoBody source;
    Sink sink(self, *attempt);
    const auto result
        = co_await stop->run(attempt->backend->run(attempt->head, source, sink, attempt->progress, deadline));
    if (result) {
        attempt->result = *result;
    } else {
        attempt->result.execution = attempt->progress.execution;
        attempt->result.reason = "cancelled";
    }
    attempt->onFinished(result ? &attempt->result : nullptr);
    attempt->finished = true;
    self->m_wake.cancel();
}

asio::awaitable<std::shared_ptr<AttemptRace::Attempt>> AttemptRace::next(const Clock &clock, TimePoint until)
{
    for (;;) {
        if (const auto part = std::exchange(m_pendingPart, nullptr)) {
            part->status = co_await write(*m_sink, *part);
            part->done = true;
            part->written.cancel();
            continue;
        }
        if (const auto attempt = takeFinished()) {
            co_return attempt;
        }
        if (clock.now() >= until) {
            co_return nullptr;
        }
        m_wake.expires_at(until);
        co_await m_wake.async_wait(AsTuple);
        co_await throwIfCancelled();
    }
}

asio::awaitable<absl::Status> AttemptRace::write(CallerSink &sink, ResponsePart &part)
{
    absl::Status status;
    if (part.head) {
        status = co_await sink.head(*part.head, Flush::WithNext);
    }
    if (status.ok() && !part.body.empty()) {
        status = co_await sink.chunk(std::move(part.body), part.flush);
    }
    if (status.ok() && part.end) {
        status = co_await sink.end(*part.end);
    }
    co_return status;
}

/// Returns the winner before the attempts that it cancelled.
std::shared_ptr<AttemptRace::Attempt> AttemptRace::takeFinished()
{
    std::shared_ptr<Attempt> out;
    for (const auto &it : m_attempts) {
        if (it->finished && !it->returned && (!out || it.get() == m_winner)) {
            out = it;
        }
    }
    if (out) {
        out->returned = true;
    }
    return out;
}

std::size_t AttemptRace::running() const
{
    const auto runs = [](const auto &it) { return !it->finished; };
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), runs));
}

bool AttemptRace::claimWin(const Attempt &attempt)
{
    if (m_sink == nullptr || (m_winner != nullptr && m_winner != &attempt)) {
        return false;
    }
    m_winner = &attempt;
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        if (m_attempts[i].get() != &attempt) {
            m_stops[i]->stop(StopReason::PeerDisconnected);
        }
    }
    return true;
}

void AttemptRace::close()
{
    m_sink = nullptr;
    for (const auto &it : m_stops) {
        it->stop(StopReason::PeerDisconnected);
    }
}

}
