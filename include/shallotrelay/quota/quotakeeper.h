/// Keeper of the quotas of workspaces: hands out credits of each quota to the nodes that have requests.
///
/// Use one on the leader of the control VMs. For each workspace it keeps a token bucket; the unused tokens and the
/// credits that nodes hold never exceed the size of the bucket, so that the requests of any period stay within the
/// quota wherever they begin. The state is not stored: a new keeper starts with empty buckets and learns from reports
/// which credits are held. Nodes that are out of touch keep their share of each quota.
///
/// Load pattern: many nodes ask for more credits than there are, while others hold some or are silent. No I/O; not
/// thread-safe.
///
///     keeper.begin(term, now);
///     if (const auto grant = keeper.answer(report, now)) { send(*grant, report.peerAddress); }
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"
#include "shallotrelay/quota/quotapolicy.h"
#include "shallotrelay/quota/quotatiming.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace shallotrelay
{

/// Decides how many credits each node gets.
class QuotaKeeper
{
public:
    /// Starts a term as the keeper; nothing of an earlier term is kept.
    void begin(std::uint64_t term, TimePoint now);

    /// Applies the quotas.
    void setPolicies(const QuotaPolicies &policies, TimePoint now);

    /// Processes a report and returns the grant, or none if the report is outdated.
    std::optional<QuotaGrant> answer(const QuotaReport &report, TimePoint now);

    /// Removes what is outdated; call it a few times per second.
    void expire(TimePoint now);

    /// Returns the workspaces for which nodes lacked credits lately.
    std::set<std::string> shortWorkspaces(TimePoint now) const;

    /// Returns the number of nodes that are in touch.
    std::size_t nodesInTouch() const;

    /// Returns the number of nodes among which each quota is divided while some are out of touch.
    std::size_t sharingNodes() const;

    /// Returns the number of credits granted since the start.
    std::uint64_t creditsGranted() const;

private:
    struct Node {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint firstAt;
        TimePoint seenAt;
        std::uint64_t probe = 0; // report whose answer awaits a confirmation
        TimePoint probeAt; // when it was received
        std::optional<TimePoint> confirmedAt; // when the latest report with a confirmed answer was received
        std::uint32_t nodes = 0;
        bool inTouch = false;
    };
    struct Account {
        std::uint32_t granted = 0;
        std::uint32_t spent = 0;
        std::uint32_t unmet = 0;
        TimePoint seenAt;
    };
    struct Bucket {
        QuotaPolicy policy;
        double level = 0; // tokens that no node holds; negative after the quota was reduced
        double outstanding = 0; // credits that nodes hold
        double unmet = 0; // sum over the accounts
        TimePoint begunAt;
        TimePoint refilledAt;
        std::optional<TimePoint> shortAt;
        std::map<std::string, Account> accounts; // by node
    };

    bool accept(const QuotaReport &report, TimePoint now);
    void confirm(Node &node, const QuotaReport &report, TimePoint now);
    void setInTouch(Node &node, bool inTouch, TimePoint now);
    void dropAccounts(const std::string &node);
    void refillAll(TimePoint now);
    void refill(Bucket &bucket, TimePoint now) const;
    QuotaGrantItem grant(Bucket &bucket, const std::string &node, const QuotaReportItem &item, TimePoint now);
    static std::uint32_t decideGrant(const Bucket &bucket, const QuotaReportItem &item, std::uint32_t undelivered);
    static bool mayReceive(const Node &node, TimePoint now);
    static std::uint32_t nextMs(const Bucket &bucket);
    static void removeAccount(Bucket &bucket, const Account &account);
    static void expireAccounts(Bucket &bucket, TimePoint now);

    std::uint64_t m_term = 0;
    TimePoint m_begunAt;
    std::map<std::string, Bucket> m_buckets; // by workspace
    std::map<std::string, Node> m_nodes;
    std::size_t m_inTouch = 0;
    std::size_t m_sharing = 0; // nodes among which quotas are divided
    TimePoint m_nextAccountExpiry;
    std::uint64_t m_creditsGranted = 0;
};

}
