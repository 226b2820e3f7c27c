#include "shallotrelay/consensus/replica.h"

#include "wire/frame.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Time before a snapshot that got no reply is sent again; it covers the transfer of the largest frame on a slow link.
constexpr Duration SnapshotRetry = std::chrono::milliseconds(1000);
/// A replica that wants to join and has been silent for this long is forgotten; it asks again each 200 ms while it
/// runs.
constexpr Duration JoinMemory = std::chrono::milliseconds(1000);
/// Fewer voters would not bear the loss of one.
constexpr std::size_t LeastVoters = 3;
/// So many voters bear the loss of two; a silent one beyond them only makes majorities larger.
constexpr std::size_t WholeGroup = 5;
/// Heartbeats without a reply after which a voter counts as silent.
constexpr int MissedHeartbeats = 4;

bool contains(const std::vector<ReplicaMember> &members, const std::string &id)
{
    return std::any_of(members.begin(), members.end(), [&](const ReplicaMember &it) { return it.id == id; });
}

std::vector<ReplicaMember> without(std::vector<ReplicaMember> members, const std::string &id)
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

bool ReplicaOutput::stores() const
{
    return snapshot || hardState || !entries.empty();
}

Replica::Replica(ReplicaOptions options, ReplicaDisk disk, Random random, TimePoint now)
    : m_options(std::move(options))
    , m_random(random)
    , m_hardState(std::move(disk.hardState))
    , m_snapshot(std::move(disk.snapshot))
    , m_entries(disk.entries.begin(), disk.entries.end())
    , m_now(now)
{
    m_snapshotData = std::exchange(m_snapshot.data, {});
    m_memberChanges.push_back({m_snapshot.index, m_snapshot.members});
    for (const ConsensusEntry &it : m_entries) {
        storeEntry(it);
    }
    m_commit = m_snapshot.index;
    m_stored = lastIndex();
    m_output = {};
    if (m_snapshot.index > 0) {
        m_output.restored = m_snapshot;
        m_output.restored->data = m_snapshotData;
    }
    // What was known to be committed is served at once, without waiting for a leader.
    commitTo(m_hardState.commit);
    m_output.hardState.reset();
    resetElectionTimer(now);
}

ReplicaOutput Replica::take()
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

std::vector<std::string> Replica::missingVoters(TimePoint now) const
{
    std::vector<std::string> out;
    for (const ReplicaMember &it : members()) {
        const auto heard = m_lastHeard.find(it.id);
        const bool recent = heard != m_lastHeard.end() && now - heard->second < 2 * m_options.electionHigh;
        if (it.id != m_options.self.id && !recent) {
            out.push_back(it.id);
        }
    }
    return out;
}

bool Replica::inTouch(TimePoint now) const
{
    if (m_role != ReplicaRole::Leader) {
        return m_leader.has_value() && now - m_leaderHeard < m_options.electionHigh;
    }
    return livingVoters(now) >= majority();
}

const std::vector<ReplicaMember> &Replica::members() const
{
    return m_memberChanges.back().members;
}

std::uint64_t Replica::commit() const
{
    return m_commit;
}

std::size_t Replica::keptEntries() const
{
    return m_entries.size();
}

LogPosition Replica::last() const
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
    const auto spread = static_cast<double>((m_options.electionHigh - m_options.electionLow).count());
    m_electionDue
        = now + m_options.electionLow + Duration(static_cast<Duration::rep>(spread * randomFraction(m_random)));
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
    if (now < m_electionDue) {
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
        // A vote for oneself must be on disk before others grant theirs.
        auto &queue = kind == ConsensusKind::Vote ? m_output.afterSync : m_output.now;
        queue.push_back(std::move(out));
    }
}

void Replica::becomeLeader(TimePoint now)
{
    m_role = ReplicaRole::Leader;
    m_leader = m_options.self;
    m_progress.clear();
    refreshProgress(now);
    m_termStart = append(EntryKind::Noop, {}).index;
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
            progress.next = lastIndex() + 1;
            progress.heard = now;
            progress.voter = true;
            m_progress[it.id] = progress;
        }
    }
}

void Replica::tickLeader(TimePoint now)
{
    stepDownIfAlone(now);
    if (m_role != ReplicaRole::Leader) {
        return;
    }
    std::erase_if(m_progress, [&](const auto &it) { return !it.second.voter && now - it.second.heard > JoinMemory; });
    changeMembers(now);
    if (now >= m_heartbeatDue) {
        broadcast(now);
    }
}

void Replica::stepDownIfAlone(TimePoint now)
{
    if (!inTouch(now)) {
        becomeFollower(m_hardState.term, now);
    }
}

void Replica::changeMembers(TimePoint now)
{
    const bool settled = m_commit >= m_termStart && m_commit >= m_memberChanges.back().index;
    if (!settled) {
        return;
    }
    const auto wanted = nextMembers(now);
    if (!wanted) {
        return;
    }
    append(EntryKind::Members, encodePayload(MemberList{*wanted}));
    refreshProgress(now);
    advanceCommit();
    broadcast(now);
}

std::optional<std::vector<ReplicaMember>> Replica::nextMembers(TimePoint now)
{
    const std::vector<ReplicaMember> &current = members();
    if (const ReplicaMember *lost = findReplaced(now)) {
        return removeVoter(lost->id, "its successor votes");
    }
    const Progress *gone = longestSilent(m_options.voterGone, now);
    for (const auto &joining : m_progress) {
        const Progress &progress = joining.second;
        if (progress.voter || progress.match < m_commit) {
            continue;
        }
        const std::size_t larger = current.size() + 1;
        if (livingVoters(now) + 1 >= larger / 2 + 1) {
            std::vector<ReplicaMember> out = current;
            out.push_back(progress.member);
            m_output.voterChanges.push_back({progress.member.id, true, "it has the log"});
            return out;
        }
        // The larger group could not commit anything until one of the silent voters has left it.
        if (gone != nullptr) {
            return removeVoter(gone->member.id, "beside it there is no majority for a successor");
        }
    }
    if (gone == nullptr) {
        return std::nullopt;
    }
    if (current.size() > WholeGroup) {
        return removeVoter(gone->member.id, "it is silent, and the others are enough");
    }
    const bool oneMoreStopsAll = livingVoters(now) <= majority();
    if (oneMoreStopsAll && current.size() > LeastVoters) {
        return removeVoter(gone->member.id, "it is silent, and without it the group bears another loss");
    }
    return std::nullopt;
}

std::vector<ReplicaMember> Replica::removeVoter(const std::string &id, std::string reason)
{
    m_output.voterChanges.push_back({id, false, std::move(reason)});
    return without(members(), id);
}

/// Returns how many voters are known to run: this one and those that answered within the election time.
std::size_t Replica::livingVoters(TimePoint now) const
{
    std::size_t out = isVoter() ? 1 : 0;
    for (const auto &it : m_progress) {
        out += it.second.voter && now - it.second.heard < m_options.electionHigh ? 1 : 0;
    }
    return out;
}

/// Returns a silent voter at whose address another one votes, which shows that its disk is lost, or nullptr.
const ReplicaMember *Replica::findReplaced(TimePoint now) const
{
    const Duration silence = MissedHeartbeats * m_options.heartbeat;
    const auto silent = [&](const std::string &id) {
        const auto progress = m_progress.find(id);
        return progress != m_progress.end() && now - progress->second.heard > silence;
    };
    for (const ReplicaMember &it : members()) {
        const bool succeeded = std::any_of(members().begin(), members().end(), [&](const ReplicaMember &other) {
            return other.id != it.id && other.address == it.address && !silent(other.id);
        });
        if (succeeded && silent(it.id)) {
            return &it;
        }
    }
    return nullptr;
}

/// Returns the voter that has been silent for longest, or nullptr if none has for the bound.
const Replica::Progress *Replica::longestSilent(Duration bound, TimePoint now) const
{
    const Progress *out = nullptr;
    for (const auto &it : m_progress) {
        const bool silent = it.second.voter && now - it.second.heard > bound;
        if (silent && (out == nullptr || it.second.heard < out->heard)) {
            out = &it.second;
        }
    }
    return out;
}

std::optional<std::string> Replica::join(const ReplicaMember &member, TimePoint now)
{
    m_now = now;
    if (m_role != ReplicaRole::Leader) {
        return m_leader && inTouch(now) ? std::optional(m_leader->address) : std::nullopt;
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
    progress.next = lastIndex() + 1;
    progress.heard = now;
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

bool Replica::requestRead(std::uint64_t ticket, TimePoint now)
{
    m_now = now;
    if (m_role != ReplicaRole::Leader || m_commit < m_termStart) {
        return false;
    }
    broadcast(now);
    m_reads.push_back({ticket, m_round});
    confirmReads();
    return true;
}

void Replica::stored(const LogPosition &last, TimePoint now)
{
    m_now = now;
    // An entry that was replaced meanwhile does not count.
    if (termAt(last.index) == last.term && last.index <= lastIndex()) {
        m_stored = std::max(m_stored, last.index);
    }
    if (m_role == ReplicaRole::Leader) {
        advanceCommit();
    }
}

void Replica::compact(std::uint64_t index, std::string data)
{
    if (index <= m_snapshot.index || index > m_commit) {
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
    storeEntry(m_entries.back());
    return {entry.index, entry.term};
}

/// Notes what a new entry of the log changes and has it stored.
void Replica::storeEntry(const ConsensusEntry &entry)
{
    m_output.entries.push_back(entry);
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
    m_stored = std::min(m_stored, index - 1);
}

void Replica::broadcast(TimePoint now)
{
    ++m_round;
    m_heartbeatDue = now + m_options.heartbeat;
    for (auto &it : m_progress) {
        sendTo(it.second, now);
    }
}

void Replica::sendTo(Progress &progress, TimePoint now)
{
    if (progress.next <= m_snapshot.index) {
        if (now - progress.snapshotSent < SnapshotRetry) {
            return;
        }
        progress.snapshotSent = now;
        ConsensusMessage out = message(ConsensusKind::Snapshot, progress.member.id);
        out.commit = m_commit;
        out.round = m_round;
        ReplicaSnapshot snapshot = m_snapshot;
        snapshot.data = m_snapshotData;
        out.snapshot = encodePayload(snapshot);
        m_output.now.push_back(std::move(out));
        return;
    }
    ConsensusMessage out = message(ConsensusKind::Append, progress.member.id);
    out.index = progress.next - 1;
    out.logTerm = termAt(out.index);
    out.commit = m_commit;
    out.round = m_round;
    std::size_t bytes = 0;
    while (progress.next <= lastIndex() && bytes < m_options.maxBatchBytes) {
        out.entries.push_back(entryAt(progress.next));
        bytes += out.entries.back().data.size();
        ++progress.next;
    }
    m_output.now.push_back(std::move(out));
}

void Replica::receive(const ConsensusMessage &in, TimePoint now)
{
    m_now = now;
    if (in.to != m_options.self.id || in.from == m_options.self.id) {
        return;
    }
    if (findMember(in.from) != nullptr) {
        m_lastHeard[in.from] = now;
    }
    const bool asksOnly = in.kind == ConsensusKind::PreVote || (in.kind == ConsensusKind::PreVoteReply && in.granted);
    const bool disturbs = in.kind == ConsensusKind::Vote && m_leader && now - m_leaderHeard < m_options.electionLow;
    if (in.term > m_hardState.term && !asksOnly && !disturbs) {
        becomeFollower(in.term, now);
    }
    switch (in.kind) {
    case ConsensusKind::PreVote:
    case ConsensusKind::Vote:
        takeVoteRequest(in, now);
        break;
    case ConsensusKind::PreVoteReply:
    case ConsensusKind::VoteReply:
        takeVoteReply(in, now);
        break;
    case ConsensusKind::Append:
    case ConsensusKind::Snapshot:
        takeFromLeader(in, now);
        break;
    case ConsensusKind::AppendReply:
        takeAppendReply(in, now);
        break;
    }
}

void Replica::takeVoteRequest(const ConsensusMessage &in, TimePoint now)
{
    const bool preVote = in.kind == ConsensusKind::PreVote;
    const LogPosition own = last();
    const bool upToDate = in.logTerm > own.term || (in.logTerm == own.term && in.index >= own.index);
    const bool leaderAlive = m_role == ReplicaRole::Leader || (m_leader && now - m_leaderHeard < m_options.electionLow);
    const bool mayVote = preVote
                             ? in.term > m_hardState.term
                             : in.term == m_hardState.term && (m_hardState.vote.empty() || m_hardState.vote == in.from);
    ConsensusMessage out = message(preVote ? ConsensusKind::PreVoteReply : ConsensusKind::VoteReply, in.from);
    out.granted = upToDate && mayVote && !leaderAlive && isVoter();
    if (preVote && out.granted) {
        out.term = in.term;
    }
    if (!preVote && out.granted) {
        m_hardState.vote = in.from;
        m_output.hardState = m_hardState;
        resetElectionTimer(now);
    }
    m_output.afterSync.push_back(std::move(out));
}

void Replica::takeVoteReply(const ConsensusMessage &in, TimePoint now)
{
    const bool preVote = in.kind == ConsensusKind::PreVoteReply;
    const ReplicaRole wanted = preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    const std::uint64_t asked = preVote ? m_hardState.term + 1 : m_hardState.term;
    if (m_role != wanted || !in.granted || in.term != asked || findMember(in.from) == nullptr) {
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
    m_leaderHeard = now;
    resetElectionTimer(now);
    const ReplicaMember *known = findMember(in.from);
    if (known != nullptr) {
        m_leader = *known;
    } else if (!m_leader || m_leader->id != in.from) {
        m_leader = ReplicaMember{in.from, in.fromAddress, ""};
    }
}

void Replica::takeFromLeader(const ConsensusMessage &in, TimePoint now)
{
    ConsensusMessage out = message(ConsensusKind::AppendReply, in.from);
    out.round = in.round;
    if (in.term >= m_hardState.term) {
        followLeader(in, now);
        const bool append = in.kind == ConsensusKind::Append;
        const bool readable = append ? takeAppend(in, &out) : takeSnapshot(in, &out);
        if (!readable) {
            return;
        }
    }
    m_output.afterSync.push_back(std::move(out));
}

/// Takes entries in and fills the reply.
bool Replica::takeAppend(const ConsensusMessage &in, ConsensusMessage *reply)
{
    const bool known = in.index < m_snapshot.index || (in.index <= lastIndex() && termAt(in.index) == in.logTerm);
    if (!known) {
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
        if (it.index <= m_commit || it.index > lastIndex() + 1) {
            return false;
        }
        truncateFrom(it.index);
        m_entries.push_back(it);
        storeEntry(it);
    }
    return true;
}

/// Takes a snapshot in and fills the reply; false if it cannot be read.
bool Replica::takeSnapshot(const ConsensusMessage &in, ConsensusMessage *reply)
{
    const auto snapshot = decodeMessage<ReplicaSnapshot>(in.snapshot);
    if (!snapshot.ok()) {
        return false;
    }
    if (snapshot->index > m_commit) {
        m_entries.clear();
        m_output.entries.clear();
        m_output.committed.clear();
        m_snapshot = *snapshot;
        m_snapshotData = std::exchange(m_snapshot.data, {});
        m_memberChanges = {{m_snapshot.index, m_snapshot.members}};
        m_commit = m_snapshot.index;
        m_stored = m_snapshot.index;
        m_output.snapshot = *snapshot;
        m_output.hardState = m_hardState;
        m_output.restored = *snapshot;
    }
    reply->granted = true;
    reply->index = snapshot->index;
    return true;
}

void Replica::takeAppendReply(const ConsensusMessage &in, TimePoint now)
{
    const auto it = m_progress.find(in.from);
    if (m_role != ReplicaRole::Leader || in.term != m_hardState.term || it == m_progress.end()) {
        return;
    }
    Progress &progress = it->second;
    progress.heard = now;
    progress.round = std::max(progress.round, in.round);
    confirmReads();
    if (!in.granted) {
        progress.next = std::max<std::uint64_t>(progress.match + 1, std::min(progress.next, in.index + 1));
        sendTo(progress, now);
        return;
    }
    progress.match = std::max(progress.match, in.index);
    progress.next = std::max(progress.next, progress.match + 1);
    if (progress.voter) {
        advanceCommit();
    }
    if (m_role == ReplicaRole::Leader && progress.next <= lastIndex()) {
        sendTo(progress, now);
    }
}

void Replica::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const ReplicaMember &it : members()) {
        const auto progress = m_progress.find(it.id);
        const bool self = it.id == m_options.self.id;
        matches.push_back(self ? m_stored : progress == m_progress.end() ? 0 : progress->second.match);
    }
    if (matches.size() < majority()) {
        return;
    }
    std::sort(matches.rbegin(), matches.rend());
    const std::uint64_t index = matches[majority() - 1];
    if (index <= m_commit || termAt(index) != m_hardState.term) {
        return;
    }
    commitTo(index);
    confirmReads();
    // A leader that is no voter any more has done its duty once its removal is committed.
    if (!isVoter() && m_commit >= m_memberChanges.back().index) {
        becomeFollower(m_hardState.term, m_now);
        return;
    }
    // Followers learn of the commit at once, so that they apply it without waiting for the next heartbeat.
    broadcast(m_now);
}

void Replica::commitTo(std::uint64_t index)
{
    const std::uint64_t bound = std::min(index, lastIndex());
    while (m_commit < bound) {
        ++m_commit;
        m_output.committed.push_back(entryAt(m_commit));
        if (entryAt(m_commit).kind == EntryKind::Command) {
            m_hardState.commit = m_commit;
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
            m_output.readsConfirmed.push_back(it.ticket);
        }
        return done;
    });
}

void Replica::failReads()
{
    for (const Read &it : m_reads) {
        m_output.readsFailed.push_back(it.ticket);
    }
    m_reads.clear();
}

}
