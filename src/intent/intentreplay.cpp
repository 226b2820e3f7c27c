#include "shallotrelay/intent/intentreplay.h"

#include "wire/frame.h"

#include <fmt/format.h>

#include <utility>

namespace shallotrelay
{

absl::StatusOr<IntentReplay> IntentReplay::begin(ReplicaSnapshot snapshot)
{
    IntentReplay out;
    const std::string data = std::exchange(snapshot.data, {});
    out.m_position = std::move(snapshot);
    // The initial snapshot lists the first voters and has no data.
    if (!data.empty()) {
        const auto state = decodeMessage<IntentSnapshot>(data);
        if (!state.ok()) {
            return state.status();
        }
        out.m_ledger.restore(*state);
    }
    return out;
}

absl::Status IntentReplay::apply(const ConsensusEntry &entry)
{
    if (entry.index != m_position.index + 1) {
        return absl::InvalidArgumentError(fmt::format("log entry {} follows entry {}", entry.index, m_position.index));
    }
    // All replicas ignore an entry that they cannot decode, so that they stay identical.
    if (entry.kind == EntryKind::Members) {
        if (auto voters = decodeMessage<MemberList>(entry.data); voters.ok()) {
            m_position.members = std::move(voters->members);
        }
    }
    if (entry.kind == EntryKind::Command) {
        if (const auto order = decodeMessage<IntentOrder>(entry.data); order.ok()) {
            m_ledger.apply(*order, entry.index);
        }
    }
    m_position.index = entry.index;
    m_position.term = entry.term;
    ++m_applied.entries;
    m_applied.bytes += entry.data.size();
    return absl::OkStatus();
}

LogSize IntentReplay::applied() const
{
    return m_applied;
}

ReplicaSnapshot IntentReplay::finish() const
{
    ReplicaSnapshot out = m_position;
    if (out.index > 0) {
        out.data = encodePayload(m_ledger.snapshot());
    }
    return out;
}

}
