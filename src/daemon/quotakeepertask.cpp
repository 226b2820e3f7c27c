#include "daemon/quotakeepertask.h"

#include "wire/frame.h"

namespace shallotrelay
{
namespace
{

/// Interval between log lines on shortages, and their maximum number at a time.
constexpr Duration LogInterval = std::chrono::seconds(1);
constexpr std::size_t MaxLinesPerInterval = 10;

}

QuotaKeeperTask::QuotaKeeperTask(Hooks hooks, EventLog &log, Metrics &metrics)
    : m_hooks(std::move(hooks))
    , m_log(log)
    , m_metrics(metrics)
{
}

void QuotaKeeperTask::tick(bool leads, TimePoint now)
{
    if (!leads) {
        m_leading = false;
        return;
    }
    update(now);
    if (m_quotas > 0) {
        m_keeper.expire(now);
        logShortages(now);
    }
}

void QuotaKeeperTask::update(TimePoint now)
{
    if (const std::uint64_t revision = m_hooks.revision(); revision != m_revision) {
        const QuotaPolicies policies = m_hooks.policies();
        m_revision = revision;
        m_quotas = policies.size();
        m_keeper.setPolicies(policies, now);
    }
    if (const std::uint64_t term = m_hooks.term(); !m_leading || term != m_term) {
        m_leading = true;
        m_term = term;
        m_keeper.begin(term, now);
        if (m_quotas > 0) {
            m_log.write(LogLevel::Info, "quota-keeper",
                        LogFields().add("term", term).add("quotas", std::uint64_t(m_quotas)));
        }
    }
}

bool QuotaKeeperTask::receive(const Frame &datagram, bool leads, TimePoint now)
{
    if (datagram.type != QuotaReport::FrameType) {
        return false;
    }
    const auto report = decodeAs<QuotaReport>(datagram);
    if (!report.ok() || !leads) {
        return true;
    }
    const auto address = parseAddress(report->peerAddress);
    if (!address.ok()) {
        return true;
    }
    update(now);
    if (const auto grant = m_keeper.answer(*report, now)) {
        m_hooks.send(encodeFrame(*grant), *address);
        m_metrics.counter("shallotrelay_quota_grants_total", "Answers to reports of nodes").Increment();
        m_metrics.counter("shallotrelay_quota_credits_total", "Credits of quotas granted")
            .Increment(static_cast<double>(m_keeper.creditsGranted() - m_countedCredits));
        m_countedCredits = m_keeper.creditsGranted();
    }
    return true;
}

void QuotaKeeperTask::logShortages(TimePoint now)
{
    if (now < m_nextLog) {
        return;
    }
    m_nextLog = now + LogInterval;
    m_metrics.gauge("shallotrelay_quota_nodes", "Nodes in touch with the keeper of quotas")
        .Set(static_cast<double>(m_keeper.nodesInTouch()));
    const std::set<std::string> current = m_keeper.shortWorkspaces(now);
    m_metrics.gauge("shallotrelay_quota_short_workspaces", "Workspaces whose quota is used up")
        .Set(static_cast<double>(current.size()));
    std::size_t lines = 0;
    const auto write = [&](const std::string &event, const std::string &workspace) {
        if (++lines <= MaxLinesPerInterval) {
            m_log.write(LogLevel::Info, event,
                        LogFields()
                            .add("workspace", workspace)
                            .add("nodes", std::uint64_t(m_keeper.nodesInTouch()))
                            .add("sharing_nodes", std::uint64_t(m_keeper.sharingNodes())));
        }
    };
    for (const std::string &it : current) {
        if (!m_short.contains(it)) {
            write("quota-shortage", it);
        }
    }
    for (const std::string &it : m_short) {
        if (!current.contains(it)) {
            write("quota-shortage-over", it);
        }
    }
    m_short = current;
}

}
