#include "shallotrelay/quota/quotakeeper.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{
namespace
{

/// Time after which the demand that a node reported counts no longer.
constexpr Duration DemandTime = std::chrono::milliseconds(500);
/// Credits of a node that has not reported the workspace for this long have lapsed there.
constexpr Duration AccountTime = CreditLifetime + MaxAnswerAge;
/// A new keeper doesn't know which credits nodes hold, so it saves few tokens until these have lapsed.
constexpr Duration StartTime = CreditLifetime;
constexpr double StartBucketSeconds = 0.5;
/// Time without a confirmed answer after which a node gets no further credits, and the same for a new node.
constexpr Duration ConfirmationTime = std::chrono::seconds(3);
constexpr Duration FirstConfirmationTime = std::chrono::seconds(1);
/// A new bucket doesn't count as used up for this long: it starts empty, and not all nodes are in touch yet.
constexpr Duration UncertainTime = std::chrono::seconds(1);
/// Tokens that are kept for requests that wait, while nodes ask for stock: a part of the bucket and a few more, but not
/// more than half of it.
constexpr double ReservedShare = 0.15;
constexpr double ReservedTokens = 5;
constexpr double MaxReservedShare = 0.5;
/// Time for which a workspace counts as short of credits.
constexpr Duration ShortTime = std::chrono::seconds(2);
/// Bounds of the time after which a node without credits asks again, in milliseconds.
constexpr double MinNextMs = 200;
constexpr double MaxNextMs = 500;
constexpr double MillisecondsPerSecond = 1000;

}

void QuotaKeeper::begin(std::uint64_t term, TimePoint now)
{
    m_term = term;
    m_begunAt = now;
    m_nodes.clear();
    m_inTouch = 0;
    m_sharing = 0;
    for (auto &it : m_buckets) {
        const QuotaPolicy policy = it.second.policy;
        it.second = {};
        it.second.policy = policy;
        it.second.begunAt = now;
        it.second.refilledAt = now;
    }
}

void QuotaKeeper::setPolicies(const QuotaPolicies &policies, TimePoint now)
{
    std::erase_if(m_buckets, [&](const auto &it) {
        const auto policy = policies.find(it.first);
        return policy == policies.end() || !policy->second.isLimited();
    });
    for (const auto &it : policies) {
        if (!it.second.isLimited()) {
            continue;
        }
        const auto [bucket, isNew] = m_buckets.try_emplace(it.first);
        if (isNew) {
            bucket->second.begunAt = now;
            bucket->second.refilledAt = now;
        }
        refill(bucket->second, now);
        bucket->second.policy = it.second;
        refill(bucket->second, now);
    }
}

std::optional<QuotaGrant> QuotaKeeper::answer(const QuotaReport &report, TimePoint now)
{
    if (!accept(report, now)) {
        return std::nullopt;
    }
    QuotaGrant out;
    out.incarnation = report.incarnation;
    out.term = m_term;
    out.sequence = report.sequence;
    out.nodes = static_cast<std::uint32_t>(m_sharing);
    if (!mayReceive(m_nodes[report.node], now)) {
        // Its accounts expire, since its credits lapse.
        return out;
    }
    for (const QuotaReportItem &it : report.items) {
        if (const auto bucket = m_buckets.find(it.workspace); bucket != m_buckets.end()) {
            const QuotaGrantItem item = grant(bucket->second, report.node, it, now);
            if (it.unmet > 0 || it.stock > 0 || item.received != it.spent) {
                out.items.push_back(item);
            }
        }
    }
    return out;
}

bool QuotaKeeper::accept(const QuotaReport &report, TimePoint now)
{
    Node &node = m_nodes[report.node];
    if (report.incarnation < node.incarnation) {
        return false;
    }
    if (report.incarnation > node.incarnation) {
        // The credits of the earlier start count as spent.
        dropAccounts(report.node);
        setInTouch(node, false, now);
        node = {};
        node.incarnation = report.incarnation;
        node.firstAt = now;
    }
    if (report.sequence <= node.sequence) {
        return false;
    }
    node.sequence = report.sequence;
    node.seenAt = now;
    node.nodes = report.nodes;
    if (const std::size_t sharing = std::max<std::size_t>(m_nodes.size(), report.nodes); sharing > m_sharing) {
        refillAll(now);
        m_sharing = sharing;
    }
    confirm(node, report, now);
    return true;
}

/// A node is in touch if it has received an answer lately, which a later report confirms. It then doesn't spend a share
/// by itself.
void QuotaKeeper::confirm(Node &node, const QuotaReport &report, TimePoint now)
{
    if (node.probe != 0 && report.term == m_term && report.answered >= node.probe) {
        node.confirmedAt = node.probeAt;
        node.probe = 0;
        setInTouch(node, now - node.probeAt <= QuotaContactTime, now);
    }
    if (node.probe == 0 || now - node.probeAt > MaxAnswerAge) {
        node.probe = report.sequence;
        node.probeAt = now;
    }
}

void QuotaKeeper::setInTouch(Node &node, bool inTouch, TimePoint now)
{
    if (node.inTouch == inTouch) {
        return;
    }
    refillAll(now);
    node.inTouch = inTouch;
    m_inTouch = inTouch ? m_inTouch + 1 : m_inTouch - 1;
}

void QuotaKeeper::dropAccounts(const std::string &node)
{
    for (auto &it : m_buckets) {
        Bucket &bucket = it.second;
        if (const auto account = bucket.accounts.find(node); account != bucket.accounts.end()) {
            removeAccount(bucket, account->second);
            bucket.accounts.erase(account);
        }
    }
}

void QuotaKeeper::removeAccount(Bucket &bucket, const Account &account)
{
    bucket.outstanding -= account.granted - account.spent;
    bucket.unmet -= account.unmet;
}

void QuotaKeeper::refillAll(TimePoint now)
{
    for (auto &it : m_buckets) {
        refill(it.second, now);
    }
}

void QuotaKeeper::refill(Bucket &bucket, TimePoint now) const
{
    // Nodes that are out of touch keep their parts of the rate and of the bucket.
    const double part
        = m_sharing == 0 ? 0 : std::min(1.0, static_cast<double>(m_inTouch) / static_cast<double>(m_sharing));
    const double rate = bucket.policy.requestsPerSecond;
    double most = std::max(1.0, bucket.policy.bucketSize() * part) - bucket.outstanding;
    if (now - bucket.begunAt < StartTime) {
        most = std::min(most, std::max(1.0, rate * StartBucketSeconds));
    }
    const double added = rate * part * toSeconds(std::max(Duration::zero(), now - bucket.refilledAt));
    bucket.level = std::min(bucket.level + added, most);
    bucket.refilledAt = now;
}

QuotaGrantItem QuotaKeeper::grant(Bucket &bucket, const std::string &node, const QuotaReportItem &item, TimePoint now)
{
    Account &account = bucket.accounts[node];
    removeAccount(bucket, account);
    // Credits from an earlier keeper count as granted.
    account.granted = std::max(account.granted, item.received);
    account.spent = std::min(account.granted, item.spent);
    account.unmet = item.unmet;
    account.seenAt = now;
    // A repeated answer delivers credits of one that was lost.
    const std::uint32_t undelivered = account.granted - item.received;
    bucket.unmet += account.unmet;
    bucket.outstanding += account.granted - account.spent;
    refill(bucket, now);

    const std::uint32_t granted = decideGrant(bucket, item, undelivered);
    bucket.level -= granted;
    // Credits for requests that wait are spent when they arrive; otherwise the next report shows that they are held.
    const std::uint32_t spent = std::min(granted, item.waiting);
    account.granted += granted;
    account.spent += spent;
    bucket.outstanding += granted - spent;
    m_creditsGranted += granted;
    if (granted + undelivered >= item.unmet) {
        bucket.unmet -= account.unmet;
        account.unmet = 0;
        return {item.workspace, account.granted, 0};
    }
    if (now - bucket.begunAt < UncertainTime) {
        return {item.workspace, account.granted, 0};
    }
    bucket.shortAt = now;
    return {item.workspace, account.granted, nextMs(bucket)};
}

/// A node whose answers get lost would only use tokens up.
bool QuotaKeeper::mayReceive(const Node &node, TimePoint now)
{
    return node.confirmedAt ? now - *node.confirmedAt <= ConfirmationTime : now - node.firstAt <= FirstConfirmationTime;
}

std::uint32_t QuotaKeeper::decideGrant(const Bucket &bucket, const QuotaReportItem &item, std::uint32_t undelivered)
{
    if (bucket.level < 1) {
        return 0;
    }
    const double available = std::floor(bucket.level);
    const double wanted = std::max(0.0, static_cast<double>(item.unmet) - undelivered);
    double out = wanted;
    if (bucket.unmet > bucket.level) {
        // Shares below one would leave tokens unused while requests wait.
        out = std::max(1.0, std::floor(bucket.level * wanted / bucket.unmet));
    }
    out = std::min({out, available, wanted});
    const double size = bucket.policy.bucketSize();
    const double reserved = std::min(size * MaxReservedShare, size * ReservedShare + ReservedTokens);
    const double spare = std::floor(bucket.level - out - reserved);
    if (spare > 0) {
        out += std::min(spare, std::max(0.0, static_cast<double>(item.stock) - undelivered));
    }
    return static_cast<std::uint32_t>(out);
}

std::uint32_t QuotaKeeper::nextMs(const Bucket &bucket)
{
    const double lacking = std::max(0.0, 1 - bucket.level);
    const double time = lacking / bucket.policy.requestsPerSecond * MillisecondsPerSecond;
    return static_cast<std::uint32_t>(std::clamp(time, MinNextMs, MaxNextMs));
}

void QuotaKeeper::expire(TimePoint now)
{
    std::size_t sharing = 0;
    for (auto it = m_nodes.begin(); it != m_nodes.end();) {
        Node &node = it->second;
        if (node.inTouch && now - *node.confirmedAt > QuotaContactTime) {
            setInTouch(node, false, now);
        }
        if (now - node.seenAt > ShareRetention) {
            it = m_nodes.erase(it);
            continue;
        }
        sharing = std::max<std::size_t>(sharing, node.nodes);
        ++it;
    }
    sharing = std::max(sharing, m_nodes.size());
    if (sharing != m_sharing) {
        refillAll(now);
        m_sharing = sharing;
    }
    if (now < m_nextAccountExpiry) {
        return;
    }
    m_nextAccountExpiry = now + DemandTime;
    for (auto &it : m_buckets) {
        expireAccounts(it.second, now);
    }
}

void QuotaKeeper::expireAccounts(Bucket &bucket, TimePoint now)
{
    for (auto it = bucket.accounts.begin(); it != bucket.accounts.end();) {
        Account &account = it->second;
        const Duration age = now - account.seenAt;
        if (age > AccountTime) {
            removeAccount(bucket, account);
            it = bucket.accounts.erase(it);
            continue;
        }
        if (age > DemandTime) {
            bucket.unmet -= account.unmet;
            account.unmet = 0;
        }
        ++it;
    }
}

std::set<std::string> QuotaKeeper::shortWorkspaces(TimePoint now) const
{
    std::set<std::string> out;
    for (const auto &it : m_buckets) {
        if (it.second.shortAt && now - *it.second.shortAt < ShortTime) {
            out.insert(it.first);
        }
    }
    return out;
}

std::size_t QuotaKeeper::nodesInTouch() const
{
    return m_inTouch;
}

std::size_t QuotaKeeper::sharingNodes() const
{
    return m_sharing;
}

std::uint64_t QuotaKeeper::creditsGranted() const
{
    return m_creditsGranted;
}

}
