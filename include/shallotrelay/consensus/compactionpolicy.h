/// Decides when a replica replaces the committed entries of its log by a snapshot.
///
/// Load pattern: operators send many changes of a large state. Each entry carries the complete state after its change,
/// so the size of the log depends on the size of the entries far more than on their number.
///
///     if (isCompactionDue(replica.compactableLog())) { replica.compact(applied, snapshot); }
#pragma once

#include <cstddef>

namespace shallotrelay
{

/// Size of a part of the log.
struct LogSize {
    std::size_t entries = 0; ///< Number of entries.
    std::size_t bytes = 0; ///< Size of their data in bytes.
};

/// Limits of the committed entries that a replica retains after its snapshot.
struct CompactionLimits {
    /// Bounds the time to replay small entries at a start.
    std::size_t maxEntries = 200;
    /// Bounds memory, disk space and the time to read the log at a start; 1/16 of the 256 MiB of memory and of disk
    /// that a control VM has. The largest state, of 4 MiB, fits four times.
    std::size_t maxBytes = 16 * 1024 * 1024;
};

/// Returns whether committed entries of this size are to be replaced by a snapshot.
bool isCompactionDue(const LogSize &committed, const CompactionLimits &limits = {});

}
