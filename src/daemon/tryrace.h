/// Tries of one request that run at the same time; the first whole answer goes to the caller, the others are cancelled.
///
/// Only for requests without a body that may run more than once. Answers are held until they are whole, or until they
/// exceed a bound; an answer that is cut off before that leaves the caller free for another try.
#pragma once

#include "net/door.h"
#include "net/stopsource.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Runs tries side by side. Used on one event loop.
class TryRace : public std::enable_shared_from_this<TryRace>
{
public:
    /// Told for the head of an answer that is an error whether it is to be dropped in favour of another try.
    using DropsAnswer = std::function<bool(const ResponseHead &head)>;

    /// One try.
    struct Attempt {
        RequestHead head; ///< The request as it goes to the target.
        std::shared_ptr<Backend> backend; ///< Runs it.
        TimePoint begun; ///< When it began.
        std::function<void(const ExchangeResult *result)> onEnd; ///< Called at its end; nullptr if it was cancelled.
        ExchangeProgress progress; ///< How far it has come.
        ExchangeResult result; ///< How it ended.
        bool over = false; ///< Whether it has ended.
        bool taken = false; ///< Whether next() returned it.
    };

    TryRace(asio::any_io_executor executor, CallerSink &sink, std::size_t holdBytes, DropsAnswer shouldDiscardResponse);

    /// Starts a try.
    void start(const std::shared_ptr<Attempt> &attempt, TimePoint deadline);

    /// Returns the next try that has ended, or nullptr once the time is over. Answers reach the caller during this call
    /// alone, so that nothing uses the caller's connection once the call was cancelled.
    asio::awaitable<std::shared_ptr<Attempt>> next(const Clock &clock, TimePoint until);

    /// Returns how many tries run.
    std::size_t running() const;

    /// Cancels all tries; nothing more goes to the caller.
    void close();

private:
    class Sink;

    /// A part of the answer on its way from the try that has won to the caller.
    struct Piece {
        explicit Piece(const asio::any_io_executor &executor)
            : given(executor)
        {
        }

        std::optional<ResponseHead> head;
        std::string body;
        Flush flush = Flush::Now;
        std::optional<LoadReport> end;
        absl::Status status;
        bool done = false;
        asio::steady_timer given;
    };

    static asio::awaitable<absl::Status> give(CallerSink &sink, Piece &piece);

    static asio::awaitable<void> runOne(std::shared_ptr<TryRace> self, std::shared_ptr<Attempt> attempt,
                                        std::shared_ptr<StopSource> stop, TimePoint deadline);
    bool claim(const Attempt &attempt);
    std::shared_ptr<Attempt> takeEnded();

    asio::any_io_executor m_executor;
    CallerSink *m_sink;
    std::size_t m_holdBytes;
    DropsAnswer m_dropsAnswer;
    asio::steady_timer m_wake;
    std::shared_ptr<Piece> m_piece; // waits to be given to the caller
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::vector<std::shared_ptr<StopSource>> m_stops;
    const Attempt *m_winner = nullptr;
};

}
