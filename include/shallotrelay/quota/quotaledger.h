/// Credits of a node for the quotas of workspaces, which hold for all nodes together.
///
/// A request that begins spends a credit, which the keeper has taken from the whole quota before. A node keeps a small
/// stock of credits for the workspaces that use it, so that most requests below the quota don't wait.
///
/// Load pattern: one workspace sends many times its quota at all nodes at once, or all of its requests at one node;
/// another one sends a request every few seconds, each at another node. No I/O; not thread-safe.
///
///     const QuotaDecision decision = ledger.take("press", now);
///     if (decision.verdict == QuotaVerdict::Ask) { ledger.beginWait("press"); ... ledger.endWait("press"); }
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/messages.h"
#include "shallotrelay/quota/quotapolicy.h"
#include "shallotrelay/quota/quotatiming.h"

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace shallotrelay
{

/// Whether a request may begin under the quota of its workspace.
enum class QuotaVerdict {
    Admitted, ///< It may begin; a credit was spent unless the workspace has no quota.
    Ask, ///< The node has no credit; the keeper's answer will tell.
    Exceeded, ///< The keeper has no credits for the workspace at present.
    OutOfTouch, ///< The keeper can't be reached and the node's own share is spent.
};

/// A credit that was spent, so that it can be put back.
struct QuotaCredit {
    bool returnable = false; ///< Whether it may be put back.
    std::uint64_t generation = 0; ///< Generation of the credits that it belongs to.
    TimePoint takenAt; ///< When it was spent.
};

/// The decision on a request.
struct QuotaDecision {
    QuotaVerdict verdict = QuotaVerdict::Admitted; ///< Whether the request may begin.
    Duration retryAfter{}; ///< Time after which another request is worthwhile; differs between callers.
    QuotaCredit credit; ///< The spent credit if the request was admitted.
};

/// Holds the credits of one node.
class QuotaLedger
{
public:
    struct Options {
        std::string node; ///< Name of the node.
        std::string peerAddress; ///< Address at which it receives grants.
        std::uint64_t incarnation = 0; ///< Incarnation of the node.
        std::uint64_t seed = 0; ///< Seed of the random generator.
    };

    explicit QuotaLedger(Options options);

    /// Applies the quotas; credits held beyond a smaller quota lapse.
    void setPolicies(const QuotaPolicies &policies);

    /// Notes the number of known nodes, including this one.
    void setKnownNodes(std::size_t nodes, TimePoint now);

    /// Whether any workspace has a quota; reports are sent only then.
    bool isActive() const;

    /// Whether the workspace has a quota.
    bool limits(const std::string &workspace) const;

    /// Decides on a new request and spends a credit if it may begin.
    QuotaDecision take(const std::string &workspace, TimePoint now);

    /// Decides again on a request that waits since the verdict was Ask.
    QuotaDecision takeAfterWait(const std::string &workspace, TimePoint now);

    /// Counts a request that waits for the answer of the keeper.
    void beginWait(const std::string &workspace);

    /// Ends the wait of a request.
    void endWait(const std::string &workspace);

    /// Puts the credit of a request that no target ran back, unless it was spent long ago. Returns whether it did.
    bool putBack(const std::string &workspace, const QuotaCredit &credit, TimePoint now);

    /// Returns the reports that are due, each of which fits into one datagram.
    std::vector<QuotaReport> report(TimePoint now);

    /// Applies a grant of the keeper; returns whether it is valid.
    bool apply(const QuotaGrant &grant, TimePoint now);

    /// Notes that another control VM keeps the quotas, which soon gets a report.
    void noteKeeperChange();

    /// Whether the keeper has answered lately.
    bool isInTouch(TimePoint now) const;

    /// Returns the number of credits received since the start.
    std::uint64_t creditsReceived() const;

private:
    struct Account {
        QuotaPolicy policy; // no limit if the workspace has no quota
        std::uint32_t received = 0;
        std::uint32_t spent = 0;
        std::uint64_t generation = 0; // increases when credits lapse
        TimePoint answeredAt; // when the last answered report with this account was sent
        TimePoint noneUntil; // until when the keeper expects to have no credits
        TimePoint reportedAt;
        TimePoint lastRequestAt;
        TimePoint decayedAt;
        double demand = 0; // requests per second, as a moving average
        double admitted = 0; // requests per second that were admitted
        std::uint32_t waiting = 0;
        std::uint32_t refused = 0; // since the last report
        std::uint32_t reportedUnmet = 0;
        std::uint32_t reportedWaiting = 0;
        std::uint32_t settled = 0; // number of spent credits that the keeper knows
        bool hasNewWaiter = false;
        TimePoint lastSlotAt; // last slot of the node's own share that was used

        std::uint32_t held() const;
    };

    QuotaDecision decide(Account &account, TimePoint now);
    QuotaDecision takeShare(Account &account, TimePoint now);
    Duration spreadRetryAfter(const Account &account, Duration earliest);
    static std::uint32_t stockWanted(const Account &account, TimePoint now);
    static bool needsCredits(const Account &account, TimePoint now);
    static bool needsRenewal(const Account &account, TimePoint now);
    static QuotaReportItem takeItem(const std::string &workspace, Account &account, TimePoint now);
    QuotaReport newReport(TimePoint now);
    std::size_t sharingNodes() const;
    static void lapse(Account &account);
    static void expire(Account &account, TimePoint now);
    static void decay(Account &account, TimePoint now);

    Options m_options;
    Random m_random;
    double m_sharePhase; // offset of the slots of the node's own share, as a part of their distance
    std::map<std::string, Account> m_accounts;
    bool m_active = false;
    std::uint64_t m_sequence = 0;
    std::deque<std::pair<std::uint64_t, TimePoint>> m_sent; // reports that may still be answered, by sequence
    std::uint64_t m_term = 0;
    std::uint64_t m_answered = 0;
    std::optional<TimePoint> m_answeredAt; // when the latest answered report was sent
    TimePoint m_lastReportAt;
    TimePoint m_lastRenewalAt;
    TimePoint m_lastStockAt;
    bool m_confirmSoon = false; // whether a report is due at once
    std::size_t m_keeperNodes = 0;
    std::size_t m_peakNodes = 0; // in the current period of ShareRetention
    std::size_t m_previousPeakNodes = 0;
    TimePoint m_peakSince;
    std::uint64_t m_creditsReceived = 0;
};

}
