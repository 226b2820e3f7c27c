/// Durable storage of a consensus replica: its identity, term and vote, snapshot and log entries.
///
/// Records are appended and synced in batches, one batch at a time, so that a power failure can damage the last batch
/// only: all records before the first damaged one are valid, and the ones after it were never reported as synced. A
/// failed write is rolled back, so that the batch can be stored again once the disk accepts writes.
#pragma once

#include "shallotrelay/consensus/replica.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace shallotrelay
{

/// The state read from a replica log when it is opened.
struct ReplicaRecovery {
    std::string id; ///< Identity of the replica; empty if the file is new.
    ReplicaPersistentState disk; ///< Term, vote, snapshot and entries.
};

/// The part of a ReplicaOutput that must be stored durably.
struct ReplicaBatch {
    std::optional<ReplicaSnapshot> snapshot; ///< Replaces everything stored before except the identity.
    std::optional<HardState> hardState; ///< Term and vote.
    std::vector<ConsensusEntry> entries; ///< Each entry replaces the stored entries from its index on.
};

/// The log file of a consensus replica. Not thread-safe.
class ReplicaLog
{
public:
    /// Creates the folder if necessary, and reads the log file if it exists. Returns an error if the file cannot be
    /// opened or read.
    static absl::StatusOr<std::unique_ptr<ReplicaLog>> open(const std::string &folder, ReplicaRecovery *recovery);

    ~ReplicaLog();

    ReplicaLog(const ReplicaLog &) = delete;
    ReplicaLog &operator=(const ReplicaLog &) = delete;

    /// Creates the file with an identity and the snapshot that lists the initial voters; once this returns OK, they
    /// survive a power failure.
    absl::Status initialise(const std::string &id, const ReplicaSnapshot &first);

    /// Stores a batch; once this returns OK, the batch survives a power failure. After an error the batch can be stored
    /// again.
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
    std::size_t m_validBytes = 0; // size of the valid part of the file, in bytes
};

}
