#include "shallotrelay/workspace/keytable.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <numeric>

namespace shallotrelay
{
namespace
{

template<typename Bytes>
std::uint64_t prefixOf(const Bytes &digest)
{
    std::uint64_t out = 0;
    std::memcpy(&out, digest.data(), sizeof out);
    return out;
}

}

KeyTable::KeyTable(const std::vector<Workspace> &workspaces, const Secret &secret)
    : m_secret(secret)
{
    const auto addKeys = [](std::size_t sum, const Workspace &it) { return sum + it.keys.size(); };
    m_entries.reserve(std::accumulate(workspaces.begin(), workspaces.end(), std::size_t(0), addKeys));
    m_workspaces.reserve(workspaces.size());
    for (const Workspace &it : workspaces) {
        const auto index = static_cast<std::uint32_t>(m_workspaces.size());
        m_workspaces.push_back({it.name, {}, it.priority, it.requestsPerSecond, it.burst});
        for (const std::string &key : it.keys) {
            m_entries.push_back({digestOf(key), index});
        }
    }
    std::sort(m_entries.begin(), m_entries.end(),
              [](const Entry &a, const Entry &b) { return prefixOf(a.digest) < prefixOf(b.digest); });
}

const Workspace *KeyTable::find(std::string_view key) const
{
    if (m_entries.empty()) {
        return nullptr;
    }
    const Digest digest = digestOf(key);
    const std::uint64_t prefix = prefixOf(digest);
    auto it = std::lower_bound(m_entries.begin(), m_entries.end(), prefix,
                               [](const Entry &entry, std::uint64_t value) { return prefixOf(entry.digest) < value; });
    for (; it != m_entries.end() && prefixOf(it->digest) == prefix; ++it) {
        if (sodium_memcmp(it->digest.data(), digest.data(), digest.size()) == 0) {
            return &m_workspaces[it->workspace];
        }
    }
    return nullptr;
}

std::size_t KeyTable::size() const
{
    return m_entries.size();
}

KeyTable::Digest KeyTable::digestOf(std::string_view key) const
{
    Digest out{};
    crypto_generichash(out.data(), out.size(), reinterpret_cast<const unsigned char *>(key.data()), key.size(),
                       m_secret.data(), m_secret.size());
    return out;
}

}
