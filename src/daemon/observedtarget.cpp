#include "daemon/observedtarget.h"

#include "shallotrelay/rollout/latencybuckets.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

constexpr std::uint16_t FirstServerError = 500;
/// Maximum number of routes that are counted; limits memory when route names keep changing.
constexpr std::size_t MaxRoutes = 256;
/// Weight of one response in the usual latency of its route.
constexpr double LatencyWeight = 0.1;
/// A request without a response has failed at its deadline if it ran for this many times the usual latency.
constexpr double OverdueFactor = 3;
/// Latency that counts as usual before the first response of a route, in seconds.
constexpr double AssumedLatencySeconds = 0.1;
/// The front end and the guard compute the deadline of a request separately.
constexpr Duration DeadlineTolerance = std::chrono::milliseconds(5);

/// Passes a body on and notes whether it could not be read.
class ObservedSource : public BodySource
{
public:
    explicit ObservedSource(BodySource &next)
        : m_next(next)
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        auto part = co_await m_next.read();
        failed = failed || !part.ok();
        co_return part;
    }

    bool atEnd() const override
    {
        return m_next.atEnd();
    }

    bool failed = false;

private:
    BodySource &m_next;
};

/// Passes a response on and notes its head and whether the caller takes no more of it.
class ObservedSink : public ResponseSink
{
public:
    ObservedSink(ResponseSink &next, const Clock &clock)
        : m_next(next)
        , m_clock(clock)
    {
    }

    asio::awaitable<absl::Status> head(const ResponseHead &head, Flush flush) override
    {
        status = head.status;
        headAt = m_clock.now();
        co_return noted(co_await m_next.head(head, flush));
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush flush) override
    {
        co_return noted(co_await m_next.chunk(std::move(data), flush));
    }

    asio::awaitable<absl::Status> end(const LoadReport &load) override
    {
        co_return noted(co_await m_next.end(load));
    }

    asio::awaitable<absl::Status> admitted(const LoadReport &load) override
    {
        co_return noted(co_await m_next.admitted(load));
    }

    std::uint16_t status = 0;
    std::optional<TimePoint> headAt;
    bool failed = false;

private:
    absl::Status noted(absl::Status result)
    {
        failed = failed || !result.ok();
        return result;
    }

    ResponseSink &m_next;
    const Clock &m_clock;
};

}

void RolloutCounts::setTerms(const StartTerms &terms)
{
    const std::lock_guard lock(m_mutex);
    if (terms.rollout != m_terms.rollout || terms.incarnation != m_terms.incarnation) {
        m_routes.clear();
    }
    m_terms = terms;
}

void RolloutCounts::recordOffer(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    m_offered[requestId];
}

void RolloutCounts::recordSent(const std::string &requestId, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_offered.find(requestId);
    if (it != m_offered.end()) {
        it->second = now;
    }
}

std::optional<TimePoint> RolloutCounts::takeSent(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_offered.find(requestId);
    if (it == m_offered.end()) {
        return std::nullopt;
    }
    const std::optional<TimePoint> out = it->second;
    m_offered.erase(it);
    return out;
}

/// Returns the counts of a route, nullptr if there are too many; the caller must hold the mutex.
RolloutCounts::RouteCounts *RolloutCounts::find(const std::string &route)
{
    const auto it = m_routes.find(route);
    if (it != m_routes.end()) {
        return &it->second;
    }
    if (m_terms.rollout == 0 || m_routes.size() >= MaxRoutes) {
        return nullptr;
    }
    RouteCounts &out = m_routes[route];
    out.sample.route = route;
    out.sample.latencies.resize(RolloutLatencyBuckets);
    return &out;
}

void RolloutCounts::recordResponse(const std::string &route, std::optional<Duration> latency)
{
    const std::lock_guard lock(m_mutex);
    RouteCounts *counts = find(route);
    if (counts == nullptr) {
        return;
    }
    ++counts->sample.responses;
    if (!latency) {
        ++counts->sample.failures;
        return;
    }
    ++counts->sample.latencies[latencyBucketOf(*latency)];
    const double seconds = toSeconds(*latency);
    const double before = counts->latency > 0 ? counts->latency : seconds;
    counts->latency = before + LatencyWeight * (seconds - before);
}

/// A request that outlasted the usual latency would have taken at least as long as it ran. Without it, a hedge that
/// overtakes slow responses would hide that a version is slow.
void RolloutCounts::recordAbandoned(const std::string &route, Duration ran, bool deadlinePassed)
{
    double usual = 0;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_routes.find(route);
        usual = it != m_routes.end() && it->second.latency > 0 ? it->second.latency : AssumedLatencySeconds;
    }
    if (deadlinePassed && toSeconds(ran) > OverdueFactor * usual) {
        recordResponse(route, std::nullopt);
    } else if (toSeconds(ran) > usual) {
        recordResponse(route, ran);
    }
}

std::vector<RolloutRouteSample> RolloutCounts::routes() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RolloutRouteSample> out;
    for (const auto &it : m_routes) {
        out.push_back(it.second.sample);
    }
    return out;
}

/// One exchange; the destructor counts it, also if it was cancelled.
class ObservedTarget::Observation
{
public:
    Observation(std::shared_ptr<RolloutCounts> counts, const Clock &clock, const RequestHead &head, BodySource &from,
                ResponseSink &to, TimePoint deadline)
        : source(from)
        , sink(to, clock)
        , m_counts(std::move(counts))
        , m_clock(clock)
        , m_requestId(head.requestId)
        , m_route(head.route)
        , m_deadline(deadline)
    {
        m_counts->recordOffer(m_requestId);
    }

    Observation(const Observation &) = delete;
    Observation &operator=(const Observation &) = delete;

    ~Observation()
    {
        const std::optional<TimePoint> sentAt = m_counts->takeSent(m_requestId);
        if (!sentAt || m_isNotRun) {
            return;
        }
        if (m_ended && !m_ended->whole && !source.failed && !sink.failed) {
            m_counts->recordResponse(m_route, std::nullopt);
        } else if (sink.headAt) {
            const bool failed = sink.status >= FirstServerError;
            m_counts->recordResponse(m_route, failed ? std::nullopt : std::optional(*sink.headAt - *sentAt));
        } else if (!m_ended) {
            const TimePoint now = m_clock.now();
            m_counts->recordAbandoned(m_route, now - *sentAt, now + DeadlineTolerance >= m_deadline);
        }
    }

    /// Records the outcome of the exchange.
    void finish(const ExchangeResult &result)
    {
        m_ended = Ended{result.whole};
        m_isNotRun = result.execution == Execution::NotRun;
    }

    ObservedSource source;
    ObservedSink sink;

private:
    struct Ended {
        bool whole = false;
    };

    std::optional<Ended> m_ended; // none if the exchange was cancelled
    bool m_isNotRun = false;
    std::shared_ptr<RolloutCounts> m_counts;
    const Clock &m_clock;
    std::string m_requestId;
    std::string m_route;
    TimePoint m_deadline;
};

ObservedTarget::ObservedTarget(std::shared_ptr<Backend> next, std::shared_ptr<RolloutCounts> counts, const Clock &clock)
    : m_next(std::move(next))
    , m_counts(std::move(counts))
    , m_clock(clock)
{
}

asio::awaitable<ExchangeResult> ObservedTarget::run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                                    ExchangeProgress &progress, TimePoint deadline)
{
    const std::shared_ptr<Backend> next = m_next;
    Observation observation(m_counts, m_clock, head, source, sink, deadline);
    ExchangeResult result = co_await next->run(head, observation.source, observation.sink, progress, deadline);
    observation.finish(result);
    co_return result;
}

RolloutCounts &ObservedTarget::counts()
{
    return *m_counts;
}

std::shared_ptr<const RolloutCounts> ObservedTarget::sharedCounts() const
{
    return m_counts;
}

}
