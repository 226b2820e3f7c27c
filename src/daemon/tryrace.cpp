#include "daemon/tryrace.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace shallotrelay
{
namespace
{

constexpr std::uint16_t FirstServerError = 500;

/// The body of a request that has none.
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

/// Holds an answer until it is whole or too large to be held, then passes it on if no other try has answered.
class TryRace::Sink : public AnswerSink
{
public:
    Sink(std::shared_ptr<TryRace> race, const Attempt &attempt)
        : m_race(std::move(race))
        , m_attempt(attempt)
    {
    }

    asio::awaitable<absl::Status> head(const ResponseHead &head, Flush) override
    {
        if (!mayGoOn()) {
            co_return lost();
        }
        if (head.status >= FirstServerError && (m_race->running() > 1 || m_race->m_dropsAnswer(head))) {
            co_return absl::AbortedError("the answer is dropped for another try");
        }
        m_head = head;
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush flush) override
    {
        if (!mayGoOn()) {
            co_return lost();
        }
        m_body.append(data);
        if (!m_passing && m_body.size() <= m_race->m_holdBytes) {
            co_return absl::OkStatus();
        }
        co_return co_await pass(m_passing ? flush : Flush::Now, std::nullopt);
    }

    asio::awaitable<absl::Status> end(const LoadReport &load) override
    {
        if (!mayGoOn()) {
            co_return lost();
        }
        co_return co_await pass(Flush::WithNext, load);
    }

    asio::awaitable<absl::Status> admitted(const LoadReport &) override
    {
        co_return absl::OkStatus();
    }

private:
    static absl::Status lost()
    {
        return absl::AbortedError("another try answers");
    }

    bool mayGoOn() const
    {
        return m_race->m_sink != nullptr && (m_race->m_winner == nullptr || m_race->m_winner == &m_attempt);
    }

    /// Has what is held given to the caller, and waits until that is done.
    asio::awaitable<absl::Status> pass(Flush flush, std::optional<LoadReport> end)
    {
        if (!m_race->claim(m_attempt)) {
            co_return lost();
        }
        const auto piece = std::make_shared<Piece>(m_race->m_executor);
        if (!std::exchange(m_passing, true)) {
            piece->head = m_head;
        }
        piece->body = std::exchange(m_body, {});
        piece->flush = flush;
        piece->end = end;
        m_race->m_piece = piece;
        m_race->m_wake.cancel();
        while (!piece->done) {
            piece->given.expires_at(asio::steady_timer::time_point::max());
            co_await piece->given.async_wait(AsTuple);
            co_await throwIfCancelled();
        }
        co_return piece->status;
    }

    std::shared_ptr<TryRace> m_race;
    const Attempt &m_attempt;
    ResponseHead m_head;
    std::string m_body;
    bool m_passing = false;
};

TryRace::TryRace(asio::any_io_executor executor, CallerSink &sink, std::size_t holdBytes,
                 DropsAnswer shouldDiscardResponse)
    : m_executor(executor)
    , m_sink(&sink)
    , m_holdBytes(holdBytes)
    , m_dropsAnswer(std::move(shouldDiscardResponse))
    , m_wake(executor)
{
}

void TryRace::start(const std::shared_ptr<Attempt> &attempt, TimePoint deadline)
{
    const auto stop = std::make_shared<StopSource>();
    m_attempts.push_back(attempt);
    m_stops.push_back(stop);
    asio::co_spawn(m_executor, runOne(shared_from_this(), attempt, stop, deadline), asio::detached);
}

asio::awaitable<void> TryRace::runOne(std::shared_ptr<TryRace> self, std::shared_ptr<Attempt> attempt,
                                      std::shared_ptr<StopSource> stop, TimePoint deadline)
{
    NoBody source;
    Sink sink(self, *attempt);
    const auto ended
        = co_await stop->run(attempt->backend->run(attempt->head, source, sink, attempt->progress, deadline));
    if (ended) {
        attempt->result = *ended;
    } else {
        attempt->result.execution = attempt->progress.execution;
        attempt->result.reason = "cancelled";
    }
    attempt->onEnd(ended ? &attempt->result : nullptr);
    attempt->over = true;
    self->m_wake.cancel();
}

asio::awaitable<std::shared_ptr<TryRace::Attempt>> TryRace::next(const Clock &clock, TimePoint until)
{
    for (;;) {
        if (const auto piece = std::exchange(m_piece, nullptr)) {
            piece->status = co_await give(*m_sink, *piece);
            piece->done = true;
            piece->given.cancel();
            continue;
        }
        if (const auto ended = takeEnded()) {
            co_return ended;
        }
        if (clock.now() >= until) {
            co_return nullptr;
        }
        m_wake.expires_at(until);
        co_await m_wake.async_wait(AsTuple);
        co_await throwIfCancelled();
    }
}

asio::awaitable<absl::Status> TryRace::give(CallerSink &sink, Piece &piece)
{
    absl::Status status;
    if (piece.head) {
        status = co_await sink.head(*piece.head, Flush::WithNext);
    }
    if (status.ok() && !piece.body.empty()) {
        status = co_await sink.chunk(std::move(piece.body), piece.flush);
    }
    if (status.ok() && piece.end) {
        status = co_await sink.end(*piece.end);
    }
    co_return status;
}

/// The winner goes before the tries that it cancelled.
std::shared_ptr<TryRace::Attempt> TryRace::takeEnded()
{
    std::shared_ptr<Attempt> out;
    for (const auto &it : m_attempts) {
        if (it->over && !it->taken && (!out || it.get() == m_winner)) {
            out = it;
        }
    }
    if (out) {
        out->taken = true;
    }
    return out;
}

std::size_t TryRace::running() const
{
    const auto runs = [](const auto &it) { return !it->over; };
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), runs));
}

bool TryRace::claim(const Attempt &attempt)
{
    if (m_sink == nullptr || (m_winner != nullptr && m_winner != &attempt)) {
        return false;
    }
    m_winner = &attempt;
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        if (m_attempts[i].get() != &attempt) {
            m_stops[i]->stop(StopReason::PeerGone);
        }
    }
    return true;
}

void TryRace::close()
{
    m_sink = nullptr;
    for (const auto &it : m_stops) {
        it->stop(StopReason::PeerGone);
    }
}

}
