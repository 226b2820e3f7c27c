/// The file of a replica: its identity, term and vote, snapshot and entries.
///
/// Records are appended and synced in batches, one batch at a time, so that after a loss of power only the last batch
/// is in doubt: everything up to the first damaged record is good, and what follows was never reported as synced. A
/// write that fails leaves the file as it was before, so that the batch can be tried again once the disk takes writes.
#pragma once

#include "shallotrelay/consensus/replica.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace shallotrelay
{

/// What a replica log holds when it is opened.
struct ReplicaRecovery {
    std::string id; ///< The identity; empty if the file is new.
    ReplicaPersistentState disk; ///< Term, vote, snapshot and entries.
};

/// The part of a ReplicaOutput that is stored.
struct ReplicaBatch {
    std::optional<ReplicaSnapshot> snapshot; ///< Replaces all that was stored before.
    std::optional<HardState> hardState; ///< Term and vote.
    std::vector<ConsensusEntry> entries; ///< An entry replaces those from its index on.
};

/// The synced file of a replica. Not thread-safe.
class ReplicaLog
{
public:
    /// Opens or creates the file in a folder and reads what it holds.
    static absl::StatusOr<std::unique_ptr<ReplicaLog>> open(const std::string &folder, ReplicaRecovery *recovery);

    ~ReplicaLog();

    ReplicaLog(const ReplicaLog &) = delete;
    ReplicaLog &operator=(const ReplicaLog &) = delete;

    /// Starts a new file with an identity and the first voters; OK means that it survives a loss of power.
    absl::Status begin(const std::string &id, const ReplicaSnapshot &first);

    /// Stores a batch; OK means that it survives a loss of power. After an error the batch can be stored again.
    absl::Status store(const ReplicaBatch &batch);

private:
    explicit ReplicaLog(std::string folder);

    absl::Status recover(ReplicaRecovery *recovery);
    absl::Status append(const std::string &bytes);
    absl::Status replaceFile(const std::string &bytes);

    std::string m_folder;
    std::string m_path;
    std::string m_id;
    int m_fd = -1;
    std::size_t m_size = 0; // bytes of the file that are good
};

}
