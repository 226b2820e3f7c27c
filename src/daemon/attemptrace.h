/// Concurrent attempts of one request (hedging): the first complete response goes to the caller, the other attempts are
/// cancelled.
///
/// Use it only for idempotent requests without a body. A response is buffered until it is complete or exceeds the
/// buffer limit, so that a response truncated before that point can still be replaced by that of another attempt.
#pragma once

#include "net/httpfrontend.h"
#include "net/stopsource.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Runs concurrent attempts of one request. Not thread-safe: use it on a single event loop.
class AttemptRace : public std::enable_shared_from_this<AttemptRace>
{
public:
    /// Returns whether a response with this head, which has a status of 500 or above, is discarded for another attempt.
    using DiscardsResponse = std::function<bool(const ResponseHead &head)>;

    /// One attempt.
    struct Attempt {
        RequestHead head; ///< Request head sent to the target.
        std::shared_ptr<Backend> backend; ///< Backend that runs the attempt.
        TimePoint startedAt; ///< When the attempt started.
        std::function<void(const ExchangeResult *result)> onFinished; ///< Called when finished; nullptr if cancelled.
        ExchangeProgress progress; ///< Progress of the exchange.
        ExchangeResult result; ///< Result, valid once finished.
        bool finished = false; ///< Whether the attempt has finished.
        bool returned = false; ///< Whether next() has returned the attempt.
    };

    AttemptRace(asio::any_io_executor executor, CallerSink &sink, std::size_t maxHeldBytes,
                DiscardsResponse discardsResponse);

    /// Starts an attempt that must finish by the deadline.
    void start(const std::shared_ptr<Attempt> &attempt, TimePoint deadline);

    /// Returns the next finished attempt, or nullptr at the given time. Response data is written to the caller only
    /// during this call, so that nothing uses the caller's connection after the call is cancelled.
    asio::awaitable<std::shared_ptr<Attempt>> next(const Clock &clock, TimePoint until);

    /// Returns the number of attempts in flight.
    std::size_t running() const;

    /// Cancels all attempts; nothing more is written to the caller.
    void close();

private:
    class Sink;

    /// Part of the winner's response that waits for next() to write it to the caller.
    struct ResponsePart {
        explicit ResponsePart(const asio::any_io_executor &executor)
            : written(executor)
        {
        }

        std::optional<ResponseHead> head;
        std::string body;
        Flush flush = Flush::Now;
        std::optional<LoadReport> end;
        absl::Status status;
        bool done = false;
        asio::steady_timer written;
    };

    static asio::awaitable<absl::Status> write(CallerSink &sink, ResponsePart &part);

    static asio::awaitable<void> runOne(std::shared_ptr<AttemptRace> self, std::shared_ptr<Attempt> attempt,
                                        std::shared_ptr<StopSource> stop, TimePoint deadline);
    bool claimWin(const Attempt &attempt);
    std::shared_ptr<Attempt> takeFinished();

    asio::any_io_executor m_executor;
    CallerSink *m_sink;
    std::size_t m_maxHeldBytes;
    DiscardsResponse m_discardsResponse;
    asio::steady_timer m_wake;
    std::shared_ptr<ResponsePart> m_pendingPart; // waits to be written to the caller
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::vector<std::shared_ptr<StopSource>> m_stops;
    const Attempt *m_winner = nullptr;
};

}
