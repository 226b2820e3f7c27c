/// A Raft replica: leader election with pre-vote and check quorum, log replication, membership changes and linearizable
/// reads.
///
/// Use it for state that must survive the loss of some VMs. The replica performs no I/O and reads no clock. Feed it
/// messages and the time, then call takeOutput() and process the output in this order: send `immediateMessages`, write
/// the snapshot, hard state and entries to disk and sync them, call markSynced(), send `messagesAfterSync`, and
/// apply the committed entries.
///
///     Replica replica(options, recovered, random, now);
///     replica.receive(message, now);
///     ReplicaOutput output = replica.takeOutput();
///
/// Membership changes add or remove one voter at a time (single-server changes, Raft dissertation, section 4.1). A
/// replica that asks to join is a learner until its log has caught up, and then becomes a voter. A voter whose address
/// is taken over by a voter of another identity has lost its disk and is removed. Other inactive voters, which may have
/// been replaced at another address, are removed if there are more than five voters, if a learner could not become a
/// voter otherwise, or if the failure of one more voter would lose the quorum.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/consensus/compactionpolicy.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// A position in the replicated log.
struct LogPosition {
    std::uint64_t index = 0; ///< Index of the entry, from 1.
    std::uint64_t term = 0; ///< Term of the entry.

    bool operator==(const LogPosition &other) const = default;
};

/// Role of a replica in the current term.
enum class ReplicaRole {
    Follower, ///< Follows a leader or waits for an election.
    PreCandidate, ///< Asks whether a majority would vote for it, without starting a new term.
    Candidate, ///< Requests votes in a new term.
    Leader, ///< Replicates its log to the other replicas.
};

/// Returns the name of a role, for logs.
const char *toString(ReplicaRole role);

/// Timeouts and limits of a replica.
struct ReplicaOptions {
    ReplicaMember self; ///< Identity and addresses of this replica.
    Duration minElectionTimeout = std::chrono::milliseconds(600); ///< Lower end of the randomised election timeout.
    Duration maxElectionTimeout = std::chrono::milliseconds(1000); ///< Upper end of the randomised election timeout.
    Duration heartbeat = std::chrono::milliseconds(80); ///< Interval between heartbeats of the leader.
    /// Time without a reply after which the leader may remove a voter to restore fault tolerance. It is shorter than
    /// the time after which the group must tolerate the next loss. A removed voter that returns with its disk joins
    /// again.
    Duration voterRemovalTimeout = std::chrono::milliseconds(2500);
    std::size_t maxBatchBytes = 256 * 1024; ///< Size of the entries, in bytes, at which no more are added to a message.
};

/// Persistent state that a replica recovers from its disk at start-up.
struct ReplicaPersistentState {
    HardState hardState; ///< Current term, vote and commit index.
    ReplicaSnapshot snapshot; ///< The latest snapshot; at index 0 it holds only the initial voters.
    std::vector<ConsensusEntry> entries; ///< The entries after the snapshot, without gaps.
};

/// A membership change that a leader has proposed.
struct VoterChange {
    std::string id; ///< Identity of the affected replica.
    bool added = false; ///< Whether the replica is added as a voter; otherwise it is removed.
    std::string reason; ///< Reason of the change, for logs.
};

/// Work for the user of a replica that has resulted from events.
struct ReplicaOutput {
    std::vector<ConsensusMessage> immediateMessages; ///< Messages to send immediately.
    std::optional<ReplicaSnapshot> snapshot; ///< To be persisted first; replaces the earlier snapshot and all entries.
    std::optional<HardState> hardState; ///< To be persisted.
    std::vector<ConsensusEntry> entries; ///< To be persisted; each entry overwrites those from its index on.
    std::vector<ConsensusMessage> messagesAfterSync; ///< Messages to send once the state above is synced to disk.
    std::optional<ReplicaSnapshot> restored; ///< Replaces the state of the state machine.
    std::vector<ConsensusEntry> committed; ///< To be applied to the state machine, in order.
    std::vector<std::uint64_t> readsConfirmed; ///< Reads that may be served from the applied state.
    std::vector<std::uint64_t> readsFailed; ///< Reads that failed because this replica lost its leadership.
    std::vector<VoterChange> voterChanges; ///< Membership changes proposed by this leader, to be logged.

    /// Whether the output contains state to persist.
    bool needsSync() const;
};

/// A Raft replica; not thread-safe.
class Replica
{
public:
    /// Starts as a follower with the recovered state and re-applies the entries known to be committed.
    Replica(ReplicaOptions options, ReplicaPersistentState disk, Random random, TimePoint now);

    /// Runs elections, heartbeats and membership changes that are due; call it about every 20 ms.
    void tick(TimePoint now);

    /// Processes a message of another replica.
    void receive(const ConsensusMessage &message, TimePoint now);

    /// Appends a command to the log; returns its position, or nothing if this replica is not the leader.
    std::optional<LogPosition> propose(std::string command, TimePoint now);

    /// Starts a leadership check for a linearizable read; takeOutput() reports the outcome under the given ID. Returns
    /// false if this replica is not the leader or has not committed an entry of its term yet.
    bool requestRead(std::uint64_t readId, TimePoint now);

    /// Processes the request of a replica to become a voter. Returns the address of the leader if that is another
    /// replica, so that the request can be forwarded: the joining replica may not know the address of the leader.
    std::optional<std::string> join(const ReplicaMember &member, TimePoint now);

    /// Reports that all entries up to a position are synced to disk.
    void markSynced(const LogPosition &last, TimePoint now);

    /// Replaces the log up to an applied index by a snapshot of the state machine at that index; does nothing if the
    /// index is not committed or already part of a snapshot.
    void compact(std::uint64_t index, std::string data);

    /// Returns the output accumulated since the last call and clears it.
    ReplicaOutput takeOutput();

    /// Returns the role of this replica.
    ReplicaRole role() const;

    /// Returns the current term.
    std::uint64_t term() const;

    /// Returns the leader of the current term, if it is known.
    std::optional<ReplicaMember> leader() const;

    /// Whether this replica is a voter.
    bool isVoter() const;

    /// Returns the identities of the other voters without a message to this replica within twice the maximum election
    /// timeout, which an election may be waiting for.
    std::vector<std::string> unreachableVoters(TimePoint now) const;

    /// Whether there is an active leader: within the maximum election timeout, a follower has received a message of its
    /// leader, or the leader has received replies of a majority.
    bool hasActiveLeader(TimePoint now) const;

    /// Returns the voters of the latest configuration in the log, committed or not.
    const std::vector<ReplicaMember> &members() const;

    /// Returns the commit index.
    std::uint64_t commit() const;

    /// Returns the size of the committed entries after the snapshot, which compact() would remove.
    LogSize compactableLog() const;

    /// Returns the position of the last log entry.
    LogPosition lastPosition() const;

private:
    struct Progress {
        ReplicaMember member;
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        std::uint64_t round = 0;
        TimePoint lastContact;
        TimePoint lastSnapshotSent;
        bool voter = false;
    };
    struct Read {
        std::uint64_t readId = 0;
        std::uint64_t round = 0;
    };
    struct MemberChange {
        std::uint64_t index = 0;
        std::vector<ReplicaMember> members;
    };

    void becomeFollower(std::uint64_t term, TimePoint now);
    void becomeLeader(TimePoint now);
    void startPreVote(TimePoint now);
    void startElection(TimePoint now);
    void requestVotes(ConsensusKind kind, std::uint64_t term);
    void resetElectionTimer(TimePoint now);
    void tickLeader(TimePoint now);
    void checkQuorum(TimePoint now);
    void proposeMemberChange(TimePoint now);
    std::optional<std::vector<ReplicaMember>> nextConfiguration(TimePoint now);
    std::vector<ReplicaMember> removeVoter(const std::string &id, std::string reason);
    std::size_t activeVoters(TimePoint now) const;
    const ReplicaMember *findReplacedVoter(TimePoint now) const;
    const Progress *longestInactiveVoter(Duration timeout, TimePoint now) const;
    void handleVoteRequest(const ConsensusMessage &message, TimePoint now);
    void handleVoteReply(const ConsensusMessage &message, TimePoint now);
    void handleLeaderMessage(const ConsensusMessage &message, TimePoint now);
    bool handleAppend(const ConsensusMessage &message, ConsensusMessage *reply);
    bool installSnapshot(const ConsensusMessage &message, ConsensusMessage *reply);
    void handleAppendReply(const ConsensusMessage &message, TimePoint now);
    void followLeader(const ConsensusMessage &message, TimePoint now);
    bool appendEntries(const std::vector<ConsensusEntry> &entries);
    LogPosition append(EntryKind kind, std::string data);
    void recordEntry(const ConsensusEntry &entry);
    void recordMembers(const ConsensusEntry &entry);
    void truncateFrom(std::uint64_t index);
    void broadcast(TimePoint now);
    void sendTo(Progress &progress, TimePoint now);
    void advanceCommit();
    void commitTo(std::uint64_t index);
    void confirmReads();
    void failReads();
    void refreshProgress(TimePoint now);
    ConsensusMessage message(ConsensusKind kind, const std::string &to) const;
    const ReplicaMember *findMember(const std::string &id) const;
    std::uint64_t lastIndex() const;
    std::uint64_t termAt(std::uint64_t index) const;
    const ConsensusEntry &entryAt(std::uint64_t index) const;
    std::size_t majority() const;

    ReplicaOptions m_options;
    Random m_random;
    HardState m_hardState;
    ReplicaSnapshot m_snapshot; // its data is in m_snapshotData
    std::string m_snapshotData;
    std::deque<ConsensusEntry> m_entries;
    std::vector<MemberChange> m_memberChanges; // the first one is the configuration of the snapshot
    ReplicaRole m_role = ReplicaRole::Follower;
    std::optional<ReplicaMember> m_leader;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_syncedIndex = 0;
    std::uint64_t m_round = 0;
    std::uint64_t m_termStartIndex = 0; // index of the no-op entry with which this leader began its term
    TimePoint m_electionDeadline;
    TimePoint m_heartbeatDeadline;
    TimePoint m_lastLeaderContact;
    TimePoint m_now;
    std::map<std::string, bool> m_votes;
    std::map<std::string, TimePoint> m_lastContact; // last message of each voter, by identity
    std::map<std::string, Progress> m_progress;
    std::vector<Read> m_reads;
    ReplicaOutput m_output;
};

}
