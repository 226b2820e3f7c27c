/// Durable storage of a consensus replica: its identity, term and vote, snapshot and log entries.
///
/// Records are appended and synced in batches, one batch at a time, so that a power failure can damage the last batch
/// only: all records before the first damaged one are valid, and the ones after it were never reported as synced. A
/// failed write is rolled back, so that the batch can be stored again once the disk accepts writes.
#pragma once

#include "shallotrelay/consensus/replica.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// The state read from a replica log when it is opened.
struct RecoveredReplica {
    std::string id; ///< Identity of the replica; empty if the file is new.
    ReplicaPersistentState disk; ///< Term, vote and snapshot. The entries are read by ReplicaLog::readEntries().
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
    /// Receives an entry of the log; an error ends the reading.
    using EntryHandler = std::function<absl::Status(ConsensusEntry entry)>;

    /// Creates the folder if necessary, and reads the log file if it exists; needs memory for the snapshot and one
    /// entry. Returns an error if the file cannot be opened or read.
    static absl::StatusOr<std::unique_ptr<ReplicaLog>> open(const std::string &folder, RecoveredReplica *recovery);

    ~ReplicaLog();

    ReplicaLog(const ReplicaLog &) = delete;
    ReplicaLog &operator=(const ReplicaLog &) = delete;

    /// Passes the entries after the snapshot that open() has found to the handler, in order and one at a time; call it
    /// before the first store(). Returns the error of the handler, or a DataLoss error if the file cannot be read.
    absl::Status readEntries(const EntryHandler &handler) const;

    /// Size of the log file in bytes.
    std::size_t size() const;

    /// Creates the file with an identity and the snapshot that lists the initial voters; once this returns OK, they
    /// survive a power failure.
    absl::Status initialise(const std::string &id, const ReplicaSnapshot &first);

    /// Stores a batch; once this returns OK, the batch survives a power failure. After an error the batch can be stored
    /// again.
    absl::Status store(const ReplicaBatch &batch);

private:
    /// Where a record is stored.
    struct RecordLocation {
        std::size_t offset = 0;
        std::size_t payloadBytes = 0;
    };

    explicit ReplicaLog(std::string folder);

    absl::Status recover(RecoveredReplica *recovery);
    bool scanRecord(std::uint8_t type, std::string_view payload, const RecordLocation &location,
                    RecoveredReplica *recovery);
    absl::Status append(const std::string &bytes);
    absl::Status replaceFile(const std::string &bytes);

    std::string m_folder;
    std::string m_path;
    std::string m_id;
    int m_fd = -1;
    std::size_t m_validBytes = 0; // size of the valid part of the file, in bytes
    std::vector<RecordLocation> m_recoveredEntries; // those after the recovered snapshot
};

}
