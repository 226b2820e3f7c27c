#include "daemon/statementlog.h"

namespace shallotrelay
{
namespace
{

/// Interval between two `target-rate` lines; limits are stated in requests per second.
constexpr Duration RateInterval = std::chrono::seconds(1);
/// Minimum interval between two `target-statement` lines that differ only by the value of the limit.
constexpr Duration LimitLogInterval = std::chrono::seconds(1);
/// Logged in place of a limit if the target states none.
constexpr double NoLimit = -1;

prometheus::Counter &requestCounter(Metrics &metrics, const std::string &kind)
{
    return metrics.counter("shallotrelay_target_requests_total", "Requests sent to the local target by kind of attempt",
                           {{"kind", kind}});
}

}

StatementLog::StatementLog(EventLog &log, Metrics &metrics, std::string target)
    : m_log(log)
    , m_firstAttempts(requestCounter(metrics, "first"))
    , m_repeats(requestCounter(metrics, "repeat"))
    , m_limit(metrics.gauge("shallotrelay_target_stated_limit",
                            "Requests per second that the local target accepts according to its responses, -1 if it "
                            "states no limit"))
    , m_target(std::move(target))
{
}

void StatementLog::recordStatement(const TargetStatement &statement, StatementSource source, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    TargetStatement &last = m_last[source];
    if (last == statement) {
        return;
    }
    const bool onlyValueDiffers = last.requestsPerSecond && statement.requestsPerSecond
                                  && last.malformedLimit == statement.malformedLimit
                                  && last.leaving == statement.leaving;
    if (onlyValueDiffers && now - m_loggedAt[source] < LimitLogInterval) {
        return;
    }
    last = statement;
    m_loggedAt[source] = now;
    m_log.write(statement.malformedLimit ? LogLevel::Warn : LogLevel::Info, "target-statement",
                LogFields()
                    .add("target", m_target)
                    .add("source", toString(source))
                    .add("requests_per_second", statement.requestsPerSecond.value_or(NoLimit))
                    .add("malformed_limit", std::uint64_t(statement.malformedLimit))
                    .add("leaving", std::uint64_t(statement.leaving)));
}

void StatementLog::recordRequest(const RequestHead &request)
{
    (request.repeats ? m_repeats : m_firstAttempts).Increment();
    const std::lock_guard lock(m_mutex);
    ++m_sent;
    m_sentRepeats += request.repeats ? 1 : 0;
}

void StatementLog::tick(const std::optional<double> &limit, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (now - m_lineAt < RateInterval) {
        return;
    }
    m_limit.Set(limit.value_or(NoLimit));
    if (limit) {
        m_log.write(LogLevel::Info, "target-rate",
                    LogFields()
                        .add("target", m_target)
                        .add("requests_per_second", *limit)
                        .add("sent", m_sent)
                        .add("repeats", m_sentRepeats)
                        .add("since_ms", toMilliseconds(now - m_lineAt)));
    }
    m_lineAt = now;
    m_sent = 0;
    m_sentRepeats = 0;
}

}
