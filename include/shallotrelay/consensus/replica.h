/// One replica of the replicated log: elections, replication, membership and confirmed reads, after Raft.
///
/// Use it for state that must survive the loss of some VMs. The replica does no I/O and reads no clock. Feed it
/// messages and the time, then take() the output and handle it in this order: send the messages of `now`, store and
/// sync what is new, call stored(), send the messages of `afterSync`, and apply the committed entries.
///
///     Replica replica(options, recovered, random, now);
///     replica.receive(message, now);
///     ReplicaOutput output = replica.take();
///
/// Changes of the voters follow the one-at-a-time rule of the Raft dissertation (section 4.1): a replica asks to join,
/// is brought up to date, and becomes a voter; a voter whose address shows up under another identity has lost its disk
/// and is removed first; a voter that has been silent is removed when a replica waits to take its place, and after a
/// long silence in any case, since it may have been replaced at another address.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// A place in the replicated log.
struct LogPosition {
    std::uint64_t index = 0; ///< Number of the entry, from 1.
    std::uint64_t term = 0; ///< Term of the entry.

    bool operator==(const LogPosition &other) const = default;
};

/// Whether a replica leads.
enum class ReplicaRole {
    Follower, ///< It follows a leader, or waits for one.
    PreCandidate, ///< It asks whether others would vote for it.
    Candidate, ///< It asks for votes.
    Leader, ///< It leads.
};

/// Returns the name of a role for logs.
const char *toString(ReplicaRole role);

/// Times and bounds of a replica.
struct ReplicaOptions {
    ReplicaMember self; ///< Its identity and addresses.
    Duration electionLow = std::chrono::milliseconds(600); ///< Shortest silence of the leader before an election.
    Duration electionHigh = std::chrono::milliseconds(1000); ///< Longest silence of the leader before an election.
    Duration heartbeat = std::chrono::milliseconds(80); ///< Time between messages of a leader.
    /// Silence after which a voter is removed if the group is better off without it; shorter than the time after which
    /// the next loss is to be borne. One that comes back with its disk joins again.
    Duration voterGone = std::chrono::milliseconds(2500);
    std::size_t maxBatchBytes = 256 * 1024; ///< Most bytes of entries in one message.
};

/// What a replica finds on its disk when it starts.
struct ReplicaDisk {
    HardState hardState; ///< Term and vote.
    ReplicaSnapshot snapshot; ///< The newest snapshot; index 0 holds the first voters only.
    std::vector<ConsensusEntry> entries; ///< The entries behind the snapshot, without gaps.
};

/// A change of the voters that a leader has begun.
struct VoterChange {
    std::string id; ///< Identity of the replica.
    bool added = false; ///< Whether it becomes a voter or stops being one.
    std::string reason; ///< Why, for logs.
};

/// What the user of a replica does after an event.
struct ReplicaOutput {
    std::vector<ConsensusMessage> now; ///< Messages that may go at once.
    std::optional<ReplicaSnapshot> snapshot; ///< To be stored first; replaces all that was stored before.
    std::optional<HardState> hardState; ///< To be stored.
    std::vector<ConsensusEntry> entries; ///< To be stored; an entry replaces those from its index on.
    std::vector<ConsensusMessage> afterSync; ///< Messages that go once all of the above is synced.
    std::optional<ReplicaSnapshot> restored; ///< Replaces the state machine.
    std::vector<ConsensusEntry> committed; ///< To be applied, in order.
    std::vector<std::uint64_t> readsConfirmed; ///< Reads that may be answered from the applied state.
    std::vector<std::uint64_t> readsFailed; ///< Reads that this replica cannot answer.
    std::vector<VoterChange> voterChanges; ///< Changes of the voters that this leader has begun, to be logged.

    /// Returns whether there is something to store.
    bool stores() const;
};

/// A replica of the log. Not thread-safe.
class Replica
{
public:
    Replica(ReplicaOptions options, ReplicaDisk disk, Random random, TimePoint now);

    /// Lets time pass: elections, heartbeats, changes of the voters. Call it about each 20 ms.
    void tick(TimePoint now);

    /// Takes in a message of another replica.
    void receive(const ConsensusMessage &message, TimePoint now);

    /// Appends a command; returns its place, or none if this replica does not lead.
    std::optional<LogPosition> propose(std::string command, TimePoint now);

    /// Asks to confirm that this replica still leads; the answer comes with take(). False if it does not lead.
    bool requestRead(std::uint64_t ticket, TimePoint now);

    /// Takes in the wish of a replica to become a voter. Returns the address of the leader if that is another replica,
    /// so that the wish can be passed on: the one that asks may know none of the voters that lead.
    std::optional<std::string> join(const ReplicaMember &member, TimePoint now);

    /// Notes that all entries up to a place are synced.
    void stored(const LogPosition &last, TimePoint now);

    /// Drops the entries up to an applied one in favour of the state machine as of that entry.
    void compact(std::uint64_t index, std::string data);

    /// Returns the output of the events so far and forgets it.
    ReplicaOutput take();

    /// Returns its role.
    ReplicaRole role() const;

    /// Returns the term.
    std::uint64_t term() const;

    /// Returns the leader, if one is known.
    std::optional<ReplicaMember> leader() const;

    /// Returns whether this replica is a voter.
    bool isVoter() const;

    /// Returns the other voters that this replica has not heard of for a while: those that an election waits for.
    std::vector<std::string> missingVoters(TimePoint now) const;

    /// Returns whether it heard from a leader, or as a leader from a majority, within the election time.
    bool inTouch(TimePoint now) const;

    /// Returns the voters.
    const std::vector<ReplicaMember> &members() const;

    /// Returns the last committed index.
    std::uint64_t commit() const;

    /// Returns how many entries are kept behind the snapshot.
    std::size_t keptEntries() const;

    /// Returns the last entry.
    LogPosition last() const;

private:
    struct Progress {
        ReplicaMember member;
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        std::uint64_t round = 0;
        TimePoint heard;
        TimePoint snapshotSent;
        bool voter = false;
    };
    struct Read {
        std::uint64_t ticket = 0;
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
    void stepDownIfAlone(TimePoint now);
    void changeMembers(TimePoint now);
    std::optional<std::vector<ReplicaMember>> nextMembers(TimePoint now);
    std::vector<ReplicaMember> removeVoter(const std::string &id, std::string reason);
    std::size_t livingVoters(TimePoint now) const;
    const ReplicaMember *findReplaced(TimePoint now) const;
    const Progress *longestSilent(Duration bound, TimePoint now) const;
    void takeVoteRequest(const ConsensusMessage &message, TimePoint now);
    void takeVoteReply(const ConsensusMessage &message, TimePoint now);
    void takeFromLeader(const ConsensusMessage &message, TimePoint now);
    bool takeAppend(const ConsensusMessage &message, ConsensusMessage *reply);
    bool takeSnapshot(const ConsensusMessage &message, ConsensusMessage *reply);
    void takeAppendReply(const ConsensusMessage &message, TimePoint now);
    void followLeader(const ConsensusMessage &message, TimePoint now);
    bool appendEntries(const std::vector<ConsensusEntry> &entries);
    LogPosition append(EntryKind kind, std::string data);
    void storeEntry(const ConsensusEntry &entry);
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
    ReplicaSnapshot m_snapshot; // without its data, which the state machine holds
    std::string m_snapshotData;
    std::deque<ConsensusEntry> m_entries;
    std::vector<MemberChange> m_memberChanges; // the first one is that of the snapshot
    ReplicaRole m_role = ReplicaRole::Follower;
    std::optional<ReplicaMember> m_leader;
    std::uint64_t m_commit = 0;
    std::uint64_t m_stored = 0;
    std::uint64_t m_round = 0;
    std::uint64_t m_termStart = 0; // index of the entry that opened the term of this leader
    TimePoint m_electionDue;
    TimePoint m_heartbeatDue;
    TimePoint m_leaderHeard;
    TimePoint m_now;
    std::map<std::string, bool> m_votes;
    std::map<std::string, TimePoint> m_lastHeard; // of voters, by identity
    std::map<std::string, Progress> m_progress;
    std::vector<Read> m_reads;
    ReplicaOutput m_output;
};

}
