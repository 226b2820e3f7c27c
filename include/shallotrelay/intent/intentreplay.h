/// Replays the committed entries of a log onto the snapshot before them, one entry at a time.
///
/// Load pattern: all control VMs start again at once with logs of many large states. Recovery then needs memory for a
/// few states, whatever the size of the log.
///
///     auto replay = IntentReplay::begin(recoveredSnapshot);
///     for (const ConsensusEntry &it : committedEntries) { replay->apply(it); }
///     ReplicaSnapshot snapshot = replay->finish();
#pragma once

#include "shallotrelay/consensus/compactionpolicy.h"
#include "shallotrelay/intent/intentledger.h"
#include "shallotrelay/messages.h"

#include <absl/status/statusor.h>

namespace shallotrelay
{

/// Turns a snapshot and the committed entries after it into the snapshot at the last of these entries.
class IntentReplay
{
public:
    /// Starts at a snapshot. Returns an InvalidArgument error if its data cannot be decoded.
    static absl::StatusOr<IntentReplay> begin(ReplicaSnapshot snapshot);

    /// Applies the next entry; ignores the data of an entry that cannot be decoded. Returns an InvalidArgument error if
    /// the entry does not follow the last one.
    absl::Status apply(const ConsensusEntry &entry);

    /// Returns the size of the entries applied so far.
    LogSize applied() const;

    /// Returns the snapshot at the last applied entry.
    ReplicaSnapshot finish() const;

private:
    IntentReplay() = default;

    IntentLedger m_ledger;
    ReplicaSnapshot m_position; // without its data, which the ledger holds
    LogSize m_applied;
};

}
