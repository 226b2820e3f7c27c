#include "daemon/replicarecovery.h"

#include "shallotrelay/intent/intentreplay.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Returns the identity of an initial voter; it depends on the address only, so that all seeds can derive it.
std::string initialIdentity(const std::string &address)
{
    return address + "#first";
}

/// Creates the identity for an empty disk, and the list of initial voters of a first start.
void createIdentity(const ReplicaRecoveryOptions &options, RecoveredReplica *recovery)
{
    const auto isSelf = [&](const ReplicaMember &it) { return it.address == options.self.address; };
    const bool seed = std::any_of(options.seeds.begin(), options.seeds.end(), isSelf);
    if (!options.firstStart || !seed) {
        Random random(options.seed);
        recovery->id = options.self.address + "#" + randomId(random);
        return;
    }
    recovery->id = initialIdentity(options.self.address);
    for (ReplicaMember it : options.seeds) {
        it.id = initialIdentity(it.address);
        recovery->disk.snapshot.members.push_back(it);
    }
}

/// Replays the entries known to be committed, so that only the others are kept; returns the size of the former.
absl::StatusOr<LogSize> replayCommitted(const ReplicaLog &log, ReplicaPersistentState *disk)
{
    auto replay = IntentReplay::begin(std::move(disk->snapshot));
    if (!replay.ok()) {
        return replay.status();
    }
    const absl::Status status = log.readEntries([&](ConsensusEntry entry) {
        if (entry.index <= disk->hardState.commit) {
            return replay->apply(entry);
        }
        disk->entries.push_back(std::move(entry));
        return absl::OkStatus();
    });
    if (!status.ok()) {
        return status;
    }
    disk->snapshot = replay->finish();
    return replay->applied();
}

}

absl::StatusOr<OpenedReplica> openReplica(const ReplicaRecoveryOptions &options, EventLog &log)
{
    RecoveredReplica recovery;
    auto opened = ReplicaLog::open(options.dataFolder, &recovery);
    if (!opened.ok()) {
        return opened.status();
    }
    OpenedReplica out;
    out.log = *std::move(opened);
    const bool fresh = recovery.id.empty();
    log.write(LogLevel::Info, "replica-log",
              LogFields()
                  .add("fresh", std::uint64_t(fresh ? 1 : 0))
                  .add("bytes", std::uint64_t(out.log->size()))
                  .add("snapshot", recovery.disk.snapshot.index)
                  .add("snapshot_bytes", std::uint64_t(recovery.disk.snapshot.data.size())));
    if (fresh) {
        createIdentity(options, &recovery);
        if (const absl::Status status = out.log->initialise(recovery.id, recovery.disk.snapshot); !status.ok()) {
            return status;
        }
    }
    const auto replayed = replayCommitted(*out.log, &recovery.disk);
    if (!replayed.ok()) {
        return replayed.status();
    }
    out.replayed = *replayed;
    out.id = std::move(recovery.id);
    out.disk = std::move(recovery.disk);
    log.write(LogLevel::Info, "replica-start",
              LogFields()
                  .add("id", out.id)
                  .add("fresh", std::uint64_t(fresh ? 1 : 0))
                  .add("term", out.disk.hardState.term)
                  .add("snapshot", out.disk.snapshot.index)
                  .add("replayed", std::uint64_t(out.replayed.entries))
                  .add("replayed_bytes", std::uint64_t(out.replayed.bytes))
                  .add("entries", std::uint64_t(out.disk.entries.size())));
    return out;
}

}
