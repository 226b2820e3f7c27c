/// Runs the keeper of quotas on the control VM that leads.
///
/// Register it with ClusterControl as a LeaderService.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/leaderservice.h"
#include "daemon/metrics.h"
#include "shallotrelay/quota/quotakeeper.h"

#include <functional>
#include <set>
#include <string>

namespace shallotrelay
{

/// Answers the reports of nodes while this control VM leads.
class QuotaKeeperTask : public LeaderService
{
public:
    struct Hooks {
        std::function<std::uint64_t()> term; ///< Returns the term of the leader.
        std::function<std::uint64_t()> revision; ///< Returns the revision of the operators' state.
        std::function<QuotaPolicies()> policies; ///< Returns the quotas of that state; called once per revision.
        std::function<void(const std::string &encoded, const Address &to)> send; ///< Sends a datagram.
    };

    QuotaKeeperTask(Hooks hooks, EventLog &log, Metrics &metrics);

    void tick(bool leads, TimePoint now) override;
    bool receive(const Frame &datagram, bool leads, TimePoint now) override;

private:
    void update(TimePoint now);
    void logShortages(TimePoint now);

    Hooks m_hooks;
    QuotaKeeper m_keeper;
    EventLog &m_log;
    Metrics &m_metrics;
    bool m_leading = false;
    std::uint64_t m_term = 0;
    std::uint64_t m_revision = 0;
    std::size_t m_quotas = 0;
    std::set<std::string> m_short;
    TimePoint m_nextLog;
    std::uint64_t m_countedCredits = 0;
};

}
