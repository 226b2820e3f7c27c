/// Logs what a target states about itself in its responses, and how many requests are sent to it while it states a
/// limit.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/membership/targetstatement.h"
#include "shallotrelay/messages.h"

#include <map>
#include <mutex>
#include <string>

namespace shallotrelay
{

/// Writes a `target-statement` line when the statements of one target change, and a `target-rate` line each second
/// while the target states a limit. A limit that changes with each response is logged once per second. Thread-safe.
class StatementLog
{
public:
    StatementLog(EventLog &log, Metrics &metrics, std::string target);

    /// Records the statement in a response of the target.
    void recordStatement(const TargetStatement &statement, StatementSource source, TimePoint now);

    /// Records a request that is sent to the target.
    void recordRequest(const RequestHead &request);

    /// Updates the metric of the limit in effect, in requests per second, and writes the `target-rate` line if one is
    /// due; call it at least once per second.
    void tick(const std::optional<double> &limit, TimePoint now);

private:
    EventLog &m_log;
    prometheus::Counter &m_firstAttempts;
    prometheus::Counter &m_repeats;
    prometheus::Gauge &m_limit;
    std::string m_target;
    std::mutex m_mutex;
    std::map<StatementSource, TargetStatement> m_last; // as logged
    std::map<StatementSource, TimePoint> m_loggedAt;
    std::uint64_t m_sent = 0; // since the last line
    std::uint64_t m_sentRepeats = 0; // since the last line
    TimePoint m_lineAt;
};

}
