#include "shallotrelay/consensus/replica.h"

#include "wire/frame.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Time after which a snapshot without a reply is sent again; allows for the transfer of the largest frame on a slow
/// link.
constexpr Duration SnapshotResendInterval = std::chrono::milliseconds(1000);
/// Time without a reply after which the leader drops a learner; a running replica asks to join every 200 ms.
constexpr Duration LearnerTimeout = std::chrono::milliseconds(1000);
/// Smallest group that tolerates the loss of one voter.
constexpr std::size_t MinVoters = 3;
/// Smallest group that tolerates the loss of two voters; an inactive voter beyond it only enlarges the quorum.
constexpr std::size_t DesiredVoters = 5;
/// Heartbeats without a reply after which a voter counts as inactive.
constexpr int MaxMissedHeartbeats = 4;

bool contains(const std::vector<ReplicaMember> &members, const std::string &id)
{
    return std::any_of(members.begin(), members.end(), [&](const ReplicaMember &it) { return it.id == id; });
}

std::vector<ReplicaMember> withoutMember(std::vector<ReplicaMember> members, const std::string &id)
{
    std::erase_if(members, [&](const ReplicaMember &it) { return it.id == id; });
    return members;
}

}

const char *toString(ReplicaRole role)
{
    switch (role) {
    case ReplicaRole::Follower:
        return "follower";
    case ReplicaRole::PreCandidate:
        return "pre-candidate";
    case ReplicaRole::Candidate:
        return "candidate";
    case ReplicaRole::Leader:
        return "leader";
    }
    return "invalid";
}

bool ReplicaOutput::needsSync() const
{
    return snapshot || hardState || !entries.empty();
}

Replica::Replica(ReplicaOptions options, ReplicaPersistentState disk, Random random, TimePoint now)
    : m_options(std::move(options))
    , m_random(random)
    , m_hardState(std::move(disk.hardState))
    , m_snapshot(std::move(disk.snapshot))
    , m_entries(std::make_move_iterator(disk.entries.begin()), std::make_move_iterator(disk.entries.end()))
    , m_now(now)
{
    m_snapshotData = std::exchange(m_snapshot.data, {});
    m_memberChanges.push_back({m_snapshot.index, m_snapshot.members});
    for (const ConsensusEntry &it : m_entries) {
        recordMembers(it);
    }
    m_commitIndex = m_snapshot.index;
    m_syncedIndex = lastIndex();
    if (m_snapshot.index > 0) {
        m_output.restored = m_snapshot;
        m_output.restored->data = m_snapshotData;
    }
    // Entries known to be committed are applied immediately, before a leader is elected.
    commitTo(m_hardState.commit);
    m_output.hardState.reset();
    resetElectionTimer(now);
}

ReplicaOutput Replica::takeOutput()
{
    return std::exchange(m_output, {});
}

ReplicaRole Replica::role() const
{
    return m_role;
}

std::uint64_t Replica::term() const
{
    return m_hardState.term;
}

std::optional<ReplicaMember> Replica::leader() const
{
    return m_leader;
}

bool Replica::isVoter() const
{
    return findMember(m_options.self.id) != nullptr;
}

std::vector<std::string> Replica::unreachableVoters(TimePoint now) const
{
    std::vector<std::string> out;
    for (const ReplicaMember &it : members()) {
        const auto contact = m_lastContact.find(it.id);
        const bool recent = contact != m_lastContact.end() && now - contact->second < 2 * m_options.maxElectionTimeout;
        if (it.id != m_options.self.id && !recent) {
            out.push_back(it.id);
        }
    }
    return out;
}

bool Replica::hasActiveLeader(TimePoint now) const
{
    if (m_role != ReplicaRole::Leader) {
        return m_leader.has_value() && now - m_lastLeaderContact < m_options.maxElectionTimeout;
    }
    return activeVoters(now) >= majority();
}

const std::vector<ReplicaMember> &Replica::members() const
{
    return m_memberChanges.back().members;
}

std::uint64_t Replica::commit() const
{
    return m_commitIndex;
}

LogSize Replica::compactableLog() const
{
    LogSize out{m_commitIndex - m_snapshot.index, 0};
    for (std::size_t i = 0; i < out.entries; ++i) {
        out.bytes += m_entries[i].data.size();
    }
    return out;
}

LogPosition Replica::lastPosition() const
{
    return {lastIndex(), termAt(lastIndex())};
}

const ReplicaMember *Replica::findMember(const std::string &id) const
{
    for (const ReplicaMember &it : members()) {
        if (it.id == id) {
            return &it;
        }
    }
    return nullptr;
}

std::uint64_t Replica::lastIndex() const
{
    return m_snapshot.index + m_entries.size();
}

std::uint64_t Replica::termAt(std::uint64_t index) const
{
    if (index == m_snapshot.index) {
        return m_snapshot.term;
    }
    return index < m_snapshot.index || index > lastIndex() ? 0 : entryAt(index).term;
}

const ConsensusEntry &Replica::entryAt(std::uint64_t index) const
{
    return m_entries[index - m_snapshot.index - 1];
}

std::size_t Replica::majority() const
{
    return members().size() / 2 + 1;
}

ConsensusMessage Replica::message(ConsensusKind kind, const std::string &to) const
{
    ConsensusMessage out;
    out.kind = kind;
    out.from = m_options.self.id;
    out.to = to;
    out.fromAddress = m_options.self.address;
    out.term = m_hardState.term;
    return out;
}

void Replica::resetElectionTimer(TimePoint now)
{
    const auto spread = static_cast<double>((m_options.maxElectionTimeout - m_options.minElectionTimeout).count());
    m_electionDeadline
        = now + m_options.minElectionTimeout + Duration(static_cast<Duration::rep>(spread * randomFraction(m_random)));
}

void Replica::becomeFollower(std::uint64_t term, TimePoint now)
{
    if (term > m_hardState.term) {
        m_hardState = {term, "", m_hardState.commit};
        m_output.hardState = m_hardState;
        m_leader.reset();
    }
    if (m_role == ReplicaRole::Leader) {
        m_leader.reset();
        failReads();
        resetElectionTimer(now);
    }
    m_role = ReplicaRole::Follower;
    m_progress.clear();
}

void Replica::tick(TimePoint now)
{
    m_now = now;
    if (m_role == ReplicaRole::Leader) {
        tickLeader(now);
        return;
    }
    if (now < m_electionDeadline) {
        return;
    }
    m_leader.reset();
    if (isVoter()) {
        startPreVote(now);
    } else {
        resetElectionTimer(now);
    }
}

void Replica::startPreVote(TimePoint now)
{
    m_role = ReplicaRole::PreCandidate;
    resetElectionTimer(now);
    m_votes = {{m_options.self.id, true}};
    if (m_votes.size() >= majority()) {
        startElection(now);
        return;
    }
    requestVotes(ConsensusKind::PreVote, m_hardState.term + 1);
}

void Replica::startElection(TimePoint now)
{
    m_role = ReplicaRole::Candidate;
    m_hardState = {m_hardState.term + 1, m_options.self.id, m_hardState.commit};
    m_output.hardState = m_hardState;
    resetElectionTimer(now);
    m_votes = {{m_options.self.id, true}};
    if (m_votes.size() >= majority()) {
        becomeLeader(now);
        return;
    }
    requestVotes(ConsensusKind::Vote, m_hardState.term);
}

void Replica::requestVotes(ConsensusKind kind, std::uint64_t term)
{
    for (const ReplicaMember &it : members()) {
        if (it.id == m_options.self.id) {
            continue;
        }
        ConsensusMessage out = message(kind, it.id);
        out.term = term;
        out.index = lastIndex();
        out.logTerm = termAt(lastIndex());
        // The candidate must persist its own vote before it requests the votes of others.
        auto &queue = kind == ConsensusKind::Vote ? m_output.messagesAfterSync : m_output.immediateMessages;
        queue.push_back(std::move(out));
    }
}

void Replica::becomeLeader(TimePoint now)
{
    m_role = ReplicaRole::Leader;
    m_leader = m_options.self;
    m_progress.clear();
    refreshProgress(now);
    m_termStartIndex = append(EntryKind::Noop, {}).index;
    advanceCommit();
    broadcast(now);
}

void Replica::refreshProgress(TimePoint now)
{
    for (auto &it : m_progress) {
        it.second.voter = findMember(it.first) != nullptr;
    }
    for (const ReplicaMember &it : members()) {
        if (it.id != m_options.self.id && !m_progress.contains(it.id)) {
            Progress progress;
            progress.member = it;
            progress.nextIndex = lastIndex() + 1;
            progress.lastContact = now;
            progress.voter = true;
            m_progress[it.id] = progress;
        }
    }
}

void Replica::tickLeader(TimePoint now)
{
    checkQuorum(now);
    if (m_role != ReplicaRole::Leader) {
        return;
    }
    std::erase_if(m_progress,
                  [&](const auto &it) { return !it.second.voter && now - it.second.lastContact > LearnerTimeout; });
    proposeMemberChange(now);
    if (now >= m_heartbeatDeadline) {
        broadcast(now);
    }
}

void Replica::checkQuorum(TimePoint now)
{
    if (!hasActiveLeader(now)) {
        becomeFollower(m_hardState.term, now);
    }
}

void Replica::proposeMemberChange(TimePoint now)
{
    const bool settled = m_commitIndex >= m_termStartIndex && m_commitIndex >= m_memberChanges.back().index;
    if (!settled) {
        return;
    }
    const auto next = nextConfiguration(now);
    if (!next) {
        return;
    }
    append(EntryKind::Members, encodePayload(MemberList{*next}));
    refreshProgress(now);
    advanceCommit();
    broadcast(now);
}

std::optional<std::vector<ReplicaMember>> Replica::nextConfiguration(TimePoint now)
{
    const std::vector<ReplicaMember> &current = members();
    if (const ReplicaMember *replacedVoter = findReplacedVoter(now)) {
        return removeVoter(replacedVoter->id, "another voter has taken over its address");
    }
    const Progress *inactive = longestInactiveVoter(m_options.voterRemovalTimeout, now);
    for (const auto &joining : m_progress) {
        const Progress &progress = joining.second;
        if (progress.voter || progress.matchIndex < m_commitIndex) {
            continue;
        }
        const std::size_t larger = current.size() + 1;
        if (activeVoters(now) + 1 >= larger / 2 + 1) {
            std::vector<ReplicaMember> out = current;
            out.push_back(progress.member);
            m_output.voterChanges.push_back({progress.member.id, true, "its log has caught up"});
            return out;
        }
        // The enlarged group would have no quorum until one of the inactive voters is removed.
        if (inactive != nullptr) {
            return removeVoter(inactive->member.id, "inactive, and without its removal a learner cannot be added");
        }
    }
    if (inactive == nullptr) {
        return std::nullopt;
    }
    if (current.size() > DesiredVoters) {
        return removeVoter(inactive->member.id, "inactive, and the group has more voters than it needs");
    }
    const bool nextFailureLosesQuorum = activeVoters(now) <= majority();
    if (nextFailureLosesQuorum && current.size() > MinVoters) {
        return removeVoter(inactive->member.id, "inactive, and the loss of one more voter would lose the quorum");
    }
    return std::nullopt;
}

std::vector<ReplicaMember> Replica::removeVoter(const std::string &id, std::string reason)
{
    m_output.voterChanges.push_back({id, false, std::move(reason)});
    return withoutMember(members(), id);
}

/// Returns the number of active voters: this replica and those that replied within the maximum election timeout.
std::size_t Replica::activeVoters(TimePoint now) const
{
    std::size_t out = isVoter() ? 1 : 0;
    for (const auto &it : m_progress) {
        out += it.second.voter && now - it.second.lastContact < m_options.maxElectionTimeout ? 1 : 0;
    }
    return out;
}

/// Returns an inactive voter whose address is used by another active voter, which shows that its disk was lost, or
/// nullptr.
const ReplicaMember *Replica::findReplacedVoter(TimePoint now) const
{
    const Duration timeout = MaxMissedHeartbeats * m_options.heartbeat;
    const auto inactive = [&](const std::string &id) {
        const auto progress = m_progress.find(id);
        return progress != m_progress.end() && now - progress->second.lastContact > timeout;
    };
    for (const ReplicaMember &it : members()) {
        const bool replaced = std::any_of(members().begin(), members().end(), [&](const ReplicaMember &other) {
            return other.id != it.id && other.address == it.address && !inactive(other.id);
        });
        if (replaced && inactive(it.id)) {
            return &it;
        }
    }
    return nullptr;
}

/// Returns the voter with the oldest contact, or nullptr if all replied within the timeout.
const Replica::Progress *Replica::longestInactiveVoter(Duration timeout, TimePoint now) const
{
    const Progress *out = nullptr;
    for (const auto &it : m_progress) {
        const bool inactive = it.second.voter && now - it.second.lastContact > timeout;
        if (inactive && (out == nullptr || it.second.lastContact < out->lastContact)) {
            out = &it.second;
        }
    }
    return out;
}

std::optional<std::string> Replica::join(const ReplicaMember &member, TimePoint now)
{
    m_now = now;
    if (m_role != ReplicaRole::Leader) {
        return m_leader && hasActiveLeader(now) ? std::optional(m_leader->address) : std::nullopt;
    }
    if (contains(members(), member.id) || member.id.empty()) {
        return std::nullopt;
    }
    const auto known = m_progress.find(member.id);
    if (known != m_progress.end()) {
        return std::nullopt;
    }
    Progress progress;
    progress.member = member;
    progress.nextIndex = lastIndex() + 1;
    progress.lastContact = now;
    m_progress[member.id] = progress;
    sendTo(m_progress[member.id], now);
    return std::nullopt;
}

std::optional<LogPosition> Replica::propose(std::string command, TimePoint now)
{
    m_now = now;
    if (m_role != ReplicaRole::Leader) {
        return std::nullopt;
    }
    const LogPosition out = append(EntryKind::Command, std::move(command));
    advanceCommit();
    broadcast(now);
    return out;
}

bool Replica::requestRead(std::uint64_t readId, TimePoint now)
{
    m_now = now;
    if (m_role != ReplicaRole::Leader || m_commitIndex < m_termStartIndex) {
        return false;
    }
    broadcast(now);
    m_reads.push_back({readId, m_round});
    confirmReads();
    return true;
}

void Replica::markSynced(const LogPosition &last, TimePoint now)
{
    m_now = now;
    // Ignores an entry that was overwritten while it was being synced.
    if (termAt(last.index) == last.term && last.index <= lastIndex()) {
        m_syncedIndex = std::max(m_syncedIndex, last.index);
    }
    if (m_role == ReplicaRole::Leader) {
        advanceCommit();
    }
}

void Replica::compact(std::uint64_t index, std::string data)
{
    if (index <= m_snapshot.index || index > m_commitIndex) {
        return;
    }
    const std::uint64_t term = termAt(index);
    MemberChange latest = m_memberChanges.front();
    std::vector<MemberChange> later;
    for (const MemberChange &it : m_memberChanges) {
        if (it.index <= index) {
            latest = it;
        } else {
            later.push_back(it);
        }
    }
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_snapshot.index));
    m_snapshot.index = index;
    m_snapshot.term = term;
    m_snapshot.members = latest.members;
    m_snapshotData = std::move(data);
    latest.index = index;
    m_memberChanges = {latest};
    m_memberChanges.insert(m_memberChanges.end(), later.begin(), later.end());
    m_output.snapshot = m_snapshot;
    m_output.snapshot->data = m_snapshotData;
    m_output.hardState = m_hardState;
    m_output.entries.assign(m_entries.begin(), m_entries.end());
}

LogPosition Replica::append(EntryKind kind, std::string data)
{
    ConsensusEntry entry;
    entry.index = lastIndex() + 1;
    entry.term = m_hardState.term;
    entry.kind = kind;
    entry.data = std::move(data);
    m_entries.push_back(entry);
    recordEntry(m_entries.back());
    return {entry.index, entry.term};
}

/// Queues a new log entry for persistence and puts its configuration into effect, if it has one.
void Replica::recordEntry(const ConsensusEntry &entry)
{
    m_output.entries.push_back(entry);
    recordMembers(entry);
}

void Replica::recordMembers(const ConsensusEntry &entry)
{
    if (entry.kind != EntryKind::Members) {
        return;
    }
    const auto list = decodeMessage<MemberList>(entry.data);
    if (list.ok()) {
        m_memberChanges.push_back({entry.index, list->members});
    }
}

void Replica::truncateFrom(std::uint64_t index)
{
    while (lastIndex() >= index) {
        m_entries.pop_back();
    }
    std::erase_if(m_output.entries, [&](const ConsensusEntry &it) { return it.index >= index; });
    while (m_memberChanges.size() > 1 && m_memberChanges.back().index >= index) {
        m_memberChanges.pop_back();
    }
    m_syncedIndex = std::min(m_syncedIndex, index - 1);
}

void Replica::broadcast(TimePoint now)
{
    ++m_round;
    m_heartbeatDeadline = now + m_options.heartbeat;
    for (auto &it : m_progress) {
        sendTo(it.second, now);
    }
}

void Replica::sendTo(Progress &progress, TimePoint now)
{
    if (progress.nextIndex <= m_snapshot.index) {
        if (now - progress.lastSnapshotSent < SnapshotResendInterval) {
            return;
        }
        progress.lastSnapshotSent = now;
        ConsensusMessage out = message(ConsensusKind::Snapshot, progress.member.id);
        out.commit = m_commitIndex;
        out.round = m_round;
        ReplicaSnapshot snapshot = m_snapshot;
        snapshot.data = m_snapshotData;
        out.snapshot = encodePayload(snapshot);
        m_output.immediateMessages.push_back(std::move(out));
        return;
    }
    ConsensusMessage out = message(ConsensusKind::Append, progress.member.id);
    out.index = progress.nextIndex - 1;
    out.logTerm = termAt(out.index);
    out.commit = m_commitIndex;
    out.round = m_round;
    std::size_t bytes = 0;
    while (progress.nextIndex <= lastIndex() && bytes < m_options.maxBatchBytes) {
        out.entries.push_back(entryAt(progress.nextIndex));
        bytes += out.entries.back().data.size();
        ++progress.nextIndex;
    }
    m_output.immediateMessages.push_back(std::move(out));
}

void Replica::receive(const ConsensusMessage &in, TimePoint now)
{
    m_now = now;
    if (in.to != m_options.self.id || in.from == m_options.self.id) {
        return;
    }
    if (findMember(in.from) != nullptr) {
        m_lastContact[in.from] = now;
    }
    const bool isProspectiveTerm
        = in.kind == ConsensusKind::PreVote || (in.kind == ConsensusKind::PreVoteReply && in.granted);
    const bool disruptive
        = in.kind == ConsensusKind::Vote && m_leader && now - m_lastLeaderContact < m_options.minElectionTimeout;
    if (in.term > m_hardState.term && !isProspectiveTerm && !disruptive) {
        becomeFollower(in.term, now);
    }
    switch (in.kind) {
    case ConsensusKind::PreVote:
    case ConsensusKind::Vote:
        handleVoteRequest(in, now);
        break;
    case ConsensusKind::PreVoteReply:
    case ConsensusKind::VoteReply:
        handleVoteReply(in, now);
        break;
    case ConsensusKind::Append:
    case ConsensusKind::Snapshot:
        handleLeaderMessage(in, now);
        break;
    case ConsensusKind::AppendReply:
        handleAppendReply(in, now);
        break;
    }
}

void Replica::handleVoteRequest(const ConsensusMessage &in, TimePoint now)
{
    const bool preVote = in.kind == ConsensusKind::PreVote;
    const LogPosition own = lastPosition();
    const bool upToDate = in.logTerm > own.term || (in.logTerm == own.term && in.index >= own.index);
    const bool leaderActive
        = m_role == ReplicaRole::Leader || (m_leader && now - m_lastLeaderContact < m_options.minElectionTimeout);
    const bool mayVote = preVote
                             ? in.term > m_hardState.term
                             : in.term == m_hardState.term && (m_hardState.vote.empty() || m_hardState.vote == in.from);
    ConsensusMessage out = message(preVote ? ConsensusKind::PreVoteReply : ConsensusKind::VoteReply, in.from);
    out.granted = upToDate && mayVote && !leaderActive && isVoter();
    if (preVote && out.granted) {
        out.term = in.term;
    }
    if (!preVote && out.granted) {
        m_hardState.vote = in.from;
        m_output.hardState = m_hardState;
        resetElectionTimer(now);
    }
    m_output.messagesAfterSync.push_back(std::move(out));
}

void Replica::handleVoteReply(const ConsensusMessage &in, TimePoint now)
{
    const bool preVote = in.kind == ConsensusKind::PreVoteReply;
    const ReplicaRole expectedRole = preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    const std::uint64_t expectedTerm = preVote ? m_hardState.term + 1 : m_hardState.term;
    if (m_role != expectedRole || !in.granted || in.term != expectedTerm || findMember(in.from) == nullptr) {
        return;
    }
    m_votes[in.from] = true;
    if (m_votes.size() < majority()) {
        return;
    }
    if (preVote) {
        startElection(now);
    } else {
        becomeLeader(now);
    }
}

void Replica::followLeader(const ConsensusMessage &in, TimePoint now)
{
    if (m_role != ReplicaRole::Follower) {
        becomeFollower(in.term, now);
    }
    m_lastLeaderContact = now;
    resetElectionTimer(now);
    const ReplicaMember *known = findMember(in.from);
    if (known != nullptr) {
        m_leader = *known;
    } else if (!m_leader || m_leader->id != in.from) {
        m_leader = ReplicaMember{in.from, in.fromAddress, ""};
    }
}

void Replica::handleLeaderMessage(const ConsensusMessage &in, TimePoint now)
{
    ConsensusMessage out = message(ConsensusKind::AppendReply, in.from);
    out.round = in.round;
    if (in.term >= m_hardState.term) {
        followLeader(in, now);
        const bool append = in.kind == ConsensusKind::Append;
        const bool readable = append ? handleAppend(in, &out) : installSnapshot(in, &out);
        if (!readable) {
            return;
        }
    }
    m_output.messagesAfterSync.push_back(std::move(out));
}

/// Appends the entries of a leader if the log matches, and fills the reply.
bool Replica::handleAppend(const ConsensusMessage &in, ConsensusMessage *reply)
{
    const bool matches = in.index < m_snapshot.index || (in.index <= lastIndex() && termAt(in.index) == in.logTerm);
    if (!matches) {
        reply->index = std::min(lastIndex(), in.index - 1);
        return true;
    }
    reply->granted = appendEntries(in.entries);
    reply->index = std::max(in.index + in.entries.size(), m_snapshot.index);
    if (reply->granted) {
        commitTo(std::min(in.commit, reply->index));
    }
    return true;
}

bool Replica::appendEntries(const std::vector<ConsensusEntry> &entries)
{
    for (const ConsensusEntry &it : entries) {
        if (it.index <= m_snapshot.index) {
            continue;
        }
        if (it.index <= lastIndex() && termAt(it.index) == it.term) {
            continue;
        }
        if (it.index <= m_commitIndex || it.index > lastIndex() + 1) {
            return false;
        }
        truncateFrom(it.index);
        m_entries.push_back(it);
        recordEntry(it);
    }
    return true;
}

/// Installs a snapshot and fills the reply; returns false if the snapshot cannot be decoded.
bool Replica::installSnapshot(const ConsensusMessage &in, ConsensusMessage *reply)
{
    const auto snapshot = decodeMessage<ReplicaSnapshot>(in.snapshot);
    if (!snapshot.ok()) {
        return false;
    }
    if (snapshot->index > m_commitIndex) {
        m_entries.clear();
        m_output.entries.clear();
        m_output.committed.clear();
        m_snapshot = *snapshot;
        m_snapshotData = std::exchange(m_snapshot.data, {});
        m_memberChanges = {{m_snapshot.index, m_snapshot.members}};
        m_commitIndex = m_snapshot.index;
        m_syncedIndex = m_snapshot.index;
        m_output.snapshot = *snapshot;
        m_output.hardState = m_hardState;
        m_output.restored = *snapshot;
    }
    reply->granted = true;
    reply->index = snapshot->index;
    return true;
}

void Replica::handleAppendReply(const ConsensusMessage &in, TimePoint now)
{
    const auto it = m_progress.find(in.from);
    if (m_role != ReplicaRole::Leader || in.term != m_hardState.term || it == m_progress.end()) {
        return;
    }
    Progress &progress = it->second;
    progress.lastContact = now;
    progress.round = std::max(progress.round, in.round);
    confirmReads();
    if (!in.granted) {
        progress.nextIndex
            = std::max<std::uint64_t>(progress.matchIndex + 1, std::min(progress.nextIndex, in.index + 1));
        sendTo(progress, now);
        return;
    }
    progress.matchIndex = std::max(progress.matchIndex, in.index);
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    if (progress.voter) {
        advanceCommit();
    }
    if (m_role == ReplicaRole::Leader && progress.nextIndex <= lastIndex()) {
        sendTo(progress, now);
    }
}

void Replica::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const ReplicaMember &it : members()) {
        const auto progress = m_progress.find(it.id);
        const bool self = it.id == m_options.self.id;
        matches.push_back(self ? m_syncedIndex : progress == m_progress.end() ? 0 : progress->second.matchIndex);
    }
    if (matches.size() < majority()) {
        return;
    }
    std::sort(matches.rbegin(), matches.rend());
    const std::uint64_t index = matches[majority() - 1];
    if (index <= m_commitIndex || termAt(index) != m_hardState.term) {
        return;
    }
    commitTo(index);
    confirmReads();
    // A leader that has been removed steps down once its removal is committed.
    if (!isVoter() && m_commitIndex >= m_memberChanges.back().index) {
        becomeFollower(m_hardState.term, m_now);
        return;
    }
    // Sends the new commit index immediately, so that followers need not wait for the next heartbeat to apply it.
    broadcast(m_now);
}

void Replica::commitTo(std::uint64_t index)
{
    const std::uint64_t lastToCommit = std::min(index, lastIndex());
    while (m_commitIndex < lastToCommit) {
        ++m_commitIndex;
        m_output.committed.push_back(entryAt(m_commitIndex));
        if (entryAt(m_commitIndex).kind == EntryKind::Command) {
            m_hardState.commit = m_commitIndex;
            m_output.hardState = m_hardState;
        }
    }
}

void Replica::confirmReads()
{
    const auto confirmed = [&](const Read &read) {
        std::size_t n = isVoter() ? 1 : 0;
        for (const auto &it : m_progress) {
            n += it.second.voter && it.second.round >= read.round ? 1 : 0;
        }
        return n >= majority();
    };
    std::erase_if(m_reads, [&](const Read &it) {
        const bool done = confirmed(it);
        if (done) {
            m_output.readsConfirmed.push_back(it.readId);
        }
        return done;
    });
}

void Replica::failReads()
{
    for (const Read &it : m_reads) {
        m_output.readsFailed.push_back(it.readId);
    }
    m_reads.clear();
}

}
