/// Opens the replicated log of a control VM and replays its committed entries, or creates the log.
///
/// Use it once at the start of a control VM, before the replica is created.
#pragma once

#include "daemon/eventlog.h"
#include "shallotrelay/consensus/compactionpolicy.h"
#include "shallotrelay/consensus/replica.h"
#include "shallotrelay/storage/replicalog.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// What a replica needs to create its log.
struct ReplicaRecoveryOptions {
    ReplicaMember self; ///< Addresses of the replica; its identity is read from the disk or created.
    std::vector<ReplicaMember> seeds; ///< Addresses of the initial control VMs.
    bool firstStart = false; ///< Whether the system is started for the first time.
    std::string dataFolder; ///< Folder of the log.
    std::uint64_t seed = 0; ///< Seed of the random generator.
};

/// A log that is open, and the state of the replica that it holds.
struct OpenedReplica {
    std::unique_ptr<ReplicaLog> log; ///< The log, ready for store().
    std::string id; ///< Identity of the replica.
    ReplicaPersistentState disk; ///< The snapshot at the last entry known to be committed, and the entries after it.
    LogSize replayed; ///< Size of the committed entries that the snapshot replaces in memory but not in the file.
};

/// Opens the log, or creates it with an identity. Only the seeds of the first start are initial voters; others have to
/// join. Returns an error if the log cannot be read, created or decoded.
absl::StatusOr<OpenedReplica> openReplica(const ReplicaRecoveryOptions &options, EventLog &log);

}
