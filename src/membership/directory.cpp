#include "shallotrelay/membership/directory.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace shallotrelay
{
namespace
{

/// Maximum number of changes that a node may lag behind before it gets the full state.
constexpr std::size_t MaxRetainedChanges = 4096;

}

std::string targetKey(const TargetRecord &record)
{
    return record.firm + "/" + record.service + "/" + record.name;
}

bool isNewer(const TargetRecord &record, const TargetRecord &other)
{
    return std::tie(record.incarnation, record.sequence) > std::tie(other.incarnation, other.sequence);
}

Directory::Directory(Duration lease)
    : m_lease(lease)
{
}

bool Directory::report(const NodeReport &report, TimePoint now)
{
    NodeLease &node = m_nodes[report.node];
    if (report.incarnation < node.incarnation) {
        return false;
    }
    node.incarnation = report.incarnation;
    node.lastReport = now;
    bool changed = removeMissing(report);
    for (const TargetRecord &it : report.targets) {
        changed = put(it, report.node) || changed;
    }
    return changed;
}

bool Directory::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto &it : m_nodes) {
        if (now - it.second.lastReport >= m_lease) {
            expired.push_back(it.first);
        }
    }
    bool changed = false;
    for (const std::string &it : expired) {
        changed = removeNode(it) || changed;
    }
    return changed;
}

DirectoryUpdate Directory::updateSince(std::uint64_t sequence) const
{
    DirectoryUpdate update;
    update.sequence = m_sequence;
    const bool known = !m_changes.empty() && m_changes.front().sequence <= sequence + 1 && sequence <= m_sequence;
    update.full = sequence == 0 || (sequence != m_sequence && !known);
    if (update.full) {
        for (const auto &it : m_listings) {
            update.records.push_back(it.second.record);
        }
        return update;
    }
    std::set<std::string> keys;
    for (auto it = m_changes.rbegin(); it != m_changes.rend() && it->sequence > sequence; ++it) {
        keys.insert(it->key);
    }
    for (const std::string &key : keys) {
        const auto it = m_listings.find(key);
        if (it == m_listings.end()) {
            update.removed.push_back(key);
        } else {
            update.records.push_back(it->second.record);
        }
    }
    return update;
}

std::uint64_t Directory::sequence() const
{
    return m_sequence;
}

std::size_t Directory::size() const
{
    return m_listings.size();
}

bool Directory::put(const TargetRecord &record, const std::string &node)
{
    const std::string key = targetKey(record);
    const auto it = m_listings.find(key);
    if (it != m_listings.end() && !isNewer(record, it->second.record)) {
        return false;
    }
    if (it != m_listings.end() && it->second.node != node) {
        m_nodes[it->second.node].keys.erase(key);
    }
    m_listings[key] = {record, node};
    m_nodes[node].keys.insert(key);
    recordChange(key);
    return true;
}

bool Directory::removeMissing(const NodeReport &report)
{
    std::set<std::string> present;
    for (const TargetRecord &it : report.targets) {
        present.insert(targetKey(it));
    }
    std::set<std::string> &keys = m_nodes[report.node].keys;
    bool changed = false;
    for (auto it = keys.begin(); it != keys.end();) {
        if (present.contains(*it)) {
            ++it;
            continue;
        }
        m_listings.erase(*it);
        recordChange(*it);
        it = keys.erase(it);
        changed = true;
    }
    return changed;
}

bool Directory::removeNode(const std::string &node)
{
    NodeReport nothing;
    nothing.node = node;
    const bool changed = removeMissing(nothing);
    m_nodes.erase(node);
    return changed;
}

void Directory::recordChange(const std::string &key)
{
    ++m_sequence;
    m_changes.push_back({m_sequence, key});
    if (m_changes.size() > MaxRetainedChanges) {
        m_changes.pop_front();
    }
}

bool DirectoryView::apply(const std::string &source, const DirectoryUpdate &update)
{
    Source &from = m_sources[source];
    std::set<std::string> keys(update.removed.begin(), update.removed.end());
    if (update.full) {
        for (const auto &it : from.records) {
            keys.insert(it.first);
        }
        from.records.clear();
    }
    for (const TargetRecord &it : update.records) {
        const std::string key = targetKey(it);
        from.records[key] = it;
        keys.insert(key);
    }
    for (const std::string &it : update.removed) {
        from.records.erase(it);
    }
    from.sequence = update.sequence;
    return updateNewest(keys);
}

bool DirectoryView::drop(const std::string &source)
{
    std::set<std::string> keys;
    const auto from = m_sources.find(source);
    if (from != m_sources.end()) {
        for (const auto &it : from->second.records) {
            keys.insert(it.first);
        }
        m_sources.erase(from);
    }
    return updateNewest(keys);
}

/// Recomputes the newest records of the given targets; returns whether any of them changed.
bool DirectoryView::updateNewest(const std::set<std::string> &keys)
{
    bool changed = false;
    for (const std::string &key : keys) {
        const TargetRecord *newest = nullptr;
        for (const auto &source : m_sources) {
            const auto it = source.second.records.find(key);
            if (it != source.second.records.end() && (newest == nullptr || isNewer(it->second, *newest))) {
                newest = &it->second;
            }
        }
        const auto known = m_newest.find(key);
        if (newest == nullptr) {
            changed = changed || known != m_newest.end();
            m_newest.erase(key);
        } else if (known == m_newest.end() || known->second != *newest) {
            changed = true;
            m_newest[key] = *newest;
        }
    }
    return changed;
}

std::uint64_t DirectoryView::sequenceOf(const std::string &source) const
{
    const auto it = m_sources.find(source);
    return it == m_sources.end() ? 0 : it->second.sequence;
}

std::vector<TargetRecord> DirectoryView::targets() const
{
    std::vector<TargetRecord> out;
    out.reserve(m_newest.size());
    for (const auto &it : m_newest) {
        out.push_back(it.second);
    }
    return out;
}

}
