/// The workspaces of a bundle by key.
///
/// Load pattern: thousands of keyed requests per second, while each change of the bundle adds, removes and moves keys.
/// Build one table from each revision of the bundle that has workspaces and replace the previous one as a whole.
///
///     KeyTable table(*bundle.workspaces, secret);
///     const Workspace *workspace = table.find(credential.key);
#pragma once

#include "shallotrelay/bundle/workspace.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace shallotrelay
{

/// Finds the workspace that holds a key. It stores keyed hashes, not the keys, and compares them in constant time.
class KeyTable
{
public:
    /// Secret of the keyed hash; use a random one for each process.
    using Secret = std::array<unsigned char, 32>;

    /// Creates a table without workspaces.
    KeyTable() = default;

    /// Creates the table of these workspaces, which checkWorkspaces() accepts.
    KeyTable(const std::vector<Workspace> &workspaces, const Secret &secret);

    /// Returns the workspace that holds the key, without its keys, or nullptr.
    const Workspace *find(std::string_view key) const;

    /// Returns the number of keys.
    std::size_t size() const;

private:
    using Digest = std::array<unsigned char, 16>;

    struct Entry {
        Digest digest;
        std::uint32_t workspace = 0; // index in m_workspaces
    };

    Digest digestOf(std::string_view key) const;

    Secret m_secret{};
    std::vector<Workspace> m_workspaces;
    std::vector<Entry> m_entries; // by the first bytes of the digest
};

}
