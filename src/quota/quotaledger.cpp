#include "shallotrelay/quota/quotaledger.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Largest size of a report in bytes, without headers of the network.
constexpr std::size_t MaxReportBytes = 1200;
/// Size of a report without its items and texts, and of an item without its text.
constexpr std::size_t ReportBytes = 80;
constexpr std::size_t ItemBytes = 32;
/// Minimum time between reports.
constexpr Duration MinReportGap = std::chrono::milliseconds(40);
/// Time after which requests that wait are reported again.
constexpr Duration RepeatInterval = std::chrono::milliseconds(80);
/// Minimum time between reports that only ask for more stock.
constexpr Duration StockInterval = std::chrono::milliseconds(400);
/// Requests of this time are kept in stock, unless so few are expected that most of the stock would lapse.
constexpr double StockSeconds = 0.7;
constexpr double MinExpectedRequests = 0.4;
/// Part of a second of the demand for which credits are asked after requests were refused.
constexpr double RefusedSeconds = 0.3;
/// Maximum stock of one node as a part of the bucket.
constexpr double MaxStockShare = 0.25;
/// A workspace without requests for this long gets no further stock.
constexpr Duration IdleTime = std::chrono::seconds(4);
/// Time constant of the moving averages of rates.
constexpr double AverageSeconds = 2;
/// A credit that was spent longer ago isn't put back: the quota would hold no longer in windows that begin in between.
constexpr Duration ReturnTime = std::chrono::milliseconds(250);
/// Minimum number of nodes among which a quota is divided, also while fewer are known.
constexpr std::size_t MinAssumedNodes = 4;
/// An unused slot of the node's own share can be used for as long as all nodes together save no more slots than this
/// part of the burst and a few more, within these bounds.
constexpr double SavedBurstShare = 0.5;
constexpr double SavedSlots = 5;
constexpr double MinSlotSeconds = 0.1;
constexpr double MaxSlotSeconds = 10;
/// Bounds of the time over which the callers that are refused come back.
constexpr double MinSpreadSeconds = 1;
constexpr double MaxSpreadSeconds = 8;
constexpr Duration OutOfTouchRetryAfter = std::chrono::milliseconds(300);

}

QuotaLedger::QuotaLedger(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_sharePhase(randomFraction(m_random))
{
}

std::uint32_t QuotaLedger::Account::held() const
{
    return received - spent;
}

void QuotaLedger::setPolicies(const QuotaPolicies &policies)
{
    m_active = std::any_of(policies.begin(), policies.end(), [](const auto &it) { return it.second.isLimited(); });
    // The account of a removed workspace is kept, because the numbers of credits are cumulative.
    for (auto &it : m_accounts) {
        if (!policies.contains(it.first)) {
            it.second.policy = {};
            lapse(it.second);
        }
    }
    for (const auto &it : policies) {
        if (!it.second.isLimited() && !m_accounts.contains(it.first)) {
            continue;
        }
        Account &account = m_accounts[it.first];
        if (account.policy == it.second) {
            continue;
        }
        const double part = account.policy.isLimited() && it.second.isLimited()
                                ? std::min(1.0, it.second.bucketSize() / account.policy.bucketSize())
                                : 0;
        const auto kept = static_cast<std::uint32_t>(part * account.held());
        account.spent = account.received - kept;
        account.noneUntil = {};
        account.policy = it.second;
    }
}

void QuotaLedger::setKnownNodes(std::size_t nodes, TimePoint now)
{
    if (now - m_peakSince > ShareRetention) {
        m_previousPeakNodes = m_peakNodes;
        m_peakNodes = 0;
        m_peakSince = now;
    }
    m_peakNodes = std::max(m_peakNodes, nodes);
}

bool QuotaLedger::isActive() const
{
    return m_active;
}

bool QuotaLedger::limits(const std::string &workspace) const
{
    const auto it = m_accounts.find(workspace);
    return it != m_accounts.end() && it->second.policy.isLimited();
}

QuotaDecision QuotaLedger::take(const std::string &workspace, TimePoint now)
{
    if (!limits(workspace)) {
        return {};
    }
    Account &account = m_accounts[workspace];
    decay(account, now);
    account.demand += 1 / AverageSeconds;
    account.lastRequestAt = now;
    const QuotaDecision out = decide(account, now);
    account.refused += out.verdict == QuotaVerdict::Exceeded ? 1 : 0;
    return out;
}

QuotaDecision QuotaLedger::takeAfterWait(const std::string &workspace, TimePoint now)
{
    return limits(workspace) ? decide(m_accounts[workspace], now) : QuotaDecision{};
}

QuotaDecision QuotaLedger::decide(Account &account, TimePoint now)
{
    expire(account, now);
    if (account.held() > 0) {
        ++account.spent;
        account.admitted += 1 / AverageSeconds;
        return {QuotaVerdict::Admitted, {}, {true, account.generation, now}};
    }
    if (m_answeredAt && !isInTouch(now)) {
        return takeShare(account, now);
    }
    if (now < account.noneUntil) {
        return {QuotaVerdict::Exceeded, spreadRetryAfter(account, account.noneUntil - now), {}};
    }
    return {QuotaVerdict::Ask, spreadRetryAfter(account, OutOfTouchRetryAfter), {}};
}

/// The share of a node is a series of slots of equal distance, each for one request. Unused slots end soon, since the
/// unused shares of many nodes together would exceed the burst.
QuotaDecision QuotaLedger::takeShare(Account &account, TimePoint now)
{
    if (now - *m_answeredAt < ShareRetention) {
        const QuotaPolicy &policy = account.policy;
        const Duration interval
            = std::max(Duration(1), fromSeconds(static_cast<double>(sharingNodes()) / policy.requestsPerSecond));
        const Duration usable = fromSeconds(std::clamp(
            (policy.burst * SavedBurstShare + SavedSlots) / policy.requestsPerSecond, MinSlotSeconds, MaxSlotSeconds));
        const TimePoint phase(fromSeconds(m_sharePhase * toSeconds(interval)));
        const TimePoint usedUntil = std::max(account.lastSlotAt, now - usable);
        const TimePoint next = phase + ((usedUntil - phase) / interval + 1) * interval;
        if (next <= now) {
            account.lastSlotAt = next;
            account.admitted += 1 / AverageSeconds;
            return {QuotaVerdict::Admitted, {}, {}};
        }
    }
    return {QuotaVerdict::OutOfTouch, spreadRetryAfter(account, OutOfTouchRetryAfter), {}};
}

/// The longer callers take to be served at the present rate, the longer the time over which they come back.
Duration QuotaLedger::spreadRetryAfter(const Account &account, Duration earliest)
{
    const double excess = account.demand / std::max(account.admitted, 1 / MaxSpreadSeconds);
    return earliest + fromSeconds(randomFraction(m_random) * std::clamp(excess, MinSpreadSeconds, MaxSpreadSeconds));
}

void QuotaLedger::beginWait(const std::string &workspace)
{
    Account &account = m_accounts[workspace];
    ++account.waiting;
    account.hasNewWaiter = true;
}

void QuotaLedger::endWait(const std::string &workspace)
{
    --m_accounts[workspace].waiting;
}

bool QuotaLedger::putBack(const std::string &workspace, const QuotaCredit &credit, TimePoint now)
{
    const auto it = m_accounts.find(workspace);
    if (it == m_accounts.end() || !credit.returnable || now - credit.takenAt > ReturnTime) {
        return false;
    }
    Account &account = it->second;
    expire(account, now);
    if (account.generation != credit.generation || account.spent == 0 || !account.policy.isLimited()) {
        return false;
    }
    --account.spent;
    return true;
}

std::uint32_t QuotaLedger::stockWanted(const Account &account, TimePoint now)
{
    if (account.lastRequestAt == TimePoint{} || now - account.lastRequestAt > IdleTime) {
        return 0;
    }
    const double elapsed = toSeconds(now - account.decayedAt);
    const double demand = account.demand * std::exp(-elapsed / AverageSeconds);
    if (demand * StockSeconds < MinExpectedRequests) {
        return 0;
    }
    const double most = std::max(1.0, account.policy.bucketSize() * MaxStockShare);
    const auto target = static_cast<std::uint32_t>(std::clamp(std::ceil(demand * StockSeconds), 1.0, most));
    return account.held() * 2 <= target ? target - account.held() : 0;
}

bool QuotaLedger::needsCredits(const Account &account, TimePoint now)
{
    if (!account.policy.isLimited() || now < account.noneUntil) {
        return false;
    }
    const Duration elapsed = now - account.reportedAt;
    const bool lacks = account.waiting > 0 || account.refused > 0;
    return account.hasNewWaiter || (lacks && elapsed >= RepeatInterval);
}

bool QuotaLedger::needsRenewal(const Account &account, TimePoint now)
{
    const bool used = account.lastRequestAt != TimePoint{} && now - account.lastRequestAt <= IdleTime;
    return account.policy.isLimited() && ((used && account.held() > 0) || account.spent != account.settled);
}

std::vector<QuotaReport> QuotaLedger::report(TimePoint now)
{
    if (!m_active || now - m_lastReportAt < MinReportGap) {
        return {};
    }
    const bool stocks = now - m_lastStockAt >= StockInterval;
    const bool renews = m_confirmSoon || now - m_lastRenewalAt >= QuotaReportInterval;
    std::vector<QuotaReport> out;
    std::size_t bytes = MaxReportBytes;
    for (auto &it : m_accounts) {
        expire(it.second, now);
        const bool wantsStock = stocks && stockWanted(it.second, now) > 0 && now >= it.second.noneUntil;
        if (!needsCredits(it.second, now) && !wantsStock && !(renews && needsRenewal(it.second, now))) {
            continue;
        }
        if (const std::size_t itemBytes = ItemBytes + it.first.size(); bytes + itemBytes > MaxReportBytes) {
            out.push_back(newReport(now));
            bytes = ReportBytes + m_options.node.size() + m_options.peerAddress.size();
        }
        bytes += ItemBytes + it.first.size();
        out.back().items.push_back(takeItem(it.first, it.second, now));
    }
    if (out.empty() && renews) {
        out.push_back(newReport(now));
    }
    if (!out.empty()) {
        m_lastReportAt = now;
        m_confirmSoon = false;
    }
    m_lastRenewalAt = renews ? now : m_lastRenewalAt;
    m_lastStockAt = stocks ? now : m_lastStockAt;
    return out;
}

QuotaReportItem QuotaLedger::takeItem(const std::string &workspace, Account &account, TimePoint now)
{
    // Credits for requests that were refused are of use only where others follow soon.
    const auto following = static_cast<std::uint32_t>(account.demand * RefusedSeconds);
    const std::uint32_t unmet = account.waiting + std::min(account.refused, following);
    account.reportedUnmet = unmet;
    account.reportedWaiting = account.waiting;
    account.settled = account.spent;
    account.refused = 0;
    account.hasNewWaiter = false;
    account.reportedAt = now;
    return {workspace, account.received, account.spent, unmet, account.waiting, stockWanted(account, now)};
}

QuotaReport QuotaLedger::newReport(TimePoint now)
{
    QuotaReport out;
    out.node = m_options.node;
    out.peerAddress = m_options.peerAddress;
    out.incarnation = m_options.incarnation;
    out.sequence = ++m_sequence;
    out.term = m_term;
    out.answered = m_answered;
    out.nodes = static_cast<std::uint32_t>(std::max(m_peakNodes, m_previousPeakNodes));
    m_sent.emplace_back(out.sequence, now);
    while (!m_sent.empty() && now - m_sent.front().second > MaxAnswerAge) {
        m_sent.pop_front();
    }
    return out;
}

bool QuotaLedger::apply(const QuotaGrant &grant, TimePoint now)
{
    const auto sent
        = std::find_if(m_sent.begin(), m_sent.end(), [&](const auto &it) { return it.first == grant.sequence; });
    if (grant.incarnation != m_options.incarnation || grant.term < m_term || sent == m_sent.end()
        || now - sent->second > MaxAnswerAge) {
        return false;
    }
    const TimePoint sentAt = sent->second;
    m_confirmSoon = m_confirmSoon || grant.term > m_term || !isInTouch(now);
    m_answered = grant.term > m_term ? grant.sequence : std::max(m_answered, grant.sequence);
    m_term = grant.term;
    m_answeredAt = std::max(m_answeredAt.value_or(sentAt), sentAt);
    m_keeperNodes = grant.nodes;
    for (const QuotaGrantItem &item : grant.items) {
        const auto found = m_accounts.find(item.workspace);
        if (found == m_accounts.end() || !found->second.policy.isLimited()) {
            continue;
        }
        Account &account = found->second;
        expire(account, now);
        const std::uint32_t added = item.received > account.received ? item.received - account.received : 0;
        account.received += added;
        account.answeredAt = std::max(account.answeredAt, sentAt);
        m_creditsReceived += added;
        const bool hasShortfall = account.reportedUnmet > added;
        account.noneUntil = hasShortfall ? now + std::chrono::milliseconds(item.nextMs) : TimePoint{};
        const std::uint32_t expected = std::min(added, account.reportedWaiting);
        account.settled += expected;
        // The keeper counts credits for requests that wait as spent.
        m_confirmSoon = m_confirmSoon || account.waiting < expected;
        account.reportedUnmet = 0;
        account.reportedWaiting = 0;
    }
    return true;
}

void QuotaLedger::noteKeeperChange()
{
    m_confirmSoon = true;
}

bool QuotaLedger::isInTouch(TimePoint now) const
{
    return m_answeredAt && now - *m_answeredAt <= CreditLifetime;
}

std::uint64_t QuotaLedger::creditsReceived() const
{
    return m_creditsReceived;
}

std::size_t QuotaLedger::sharingNodes() const
{
    return std::max({MinAssumedNodes, m_keeperNodes, m_peakNodes, m_previousPeakNodes});
}

void QuotaLedger::lapse(Account &account)
{
    account.spent = account.received;
    ++account.generation;
}

void QuotaLedger::expire(Account &account, TimePoint now)
{
    if (account.held() > 0 && now - account.answeredAt > CreditLifetime) {
        lapse(account);
    }
}

void QuotaLedger::decay(Account &account, TimePoint now)
{
    const double factor = std::exp(-toSeconds(now - account.decayedAt) / AverageSeconds);
    account.demand *= factor;
    account.admitted *= factor;
    account.decayedAt = now;
}

}
