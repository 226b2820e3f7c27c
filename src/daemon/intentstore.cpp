#include "daemon/intentstore.h"

#include "net/messagelink.h"
#include "shallotrelay/storage/replicalog.h"
#include "wire/frame.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <thread>

namespace shallotrelay
{
namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(20);
/// Time between wishes to join.
constexpr Duration JoinInterval = std::chrono::milliseconds(200);
/// Silence of the leader after which a voter asks others whether it still is one.
constexpr Duration LostLeaderBound = std::chrono::milliseconds(1000);
/// Time without a leader after which the group counts as unable to elect one, and time between the lines that say so.
constexpr Duration NoQuorumBound = std::chrono::seconds(3);
constexpr Duration NoQuorumInterval = std::chrono::seconds(5);
/// Longest time for the decision on an order; callers try elsewhere after a second.
constexpr Duration DecisionBound = std::chrono::milliseconds(800);
/// Longest wait for a leader to be known.
constexpr Duration LeaderBound = std::chrono::milliseconds(500);
/// Pause between looks for a leader.
constexpr Duration LeaderPoll = std::chrono::milliseconds(20);
/// Pause before a failed write is tried again.
constexpr std::chrono::milliseconds DiskRetryDelay(100);
/// Entries behind the snapshot before a new one is taken.
constexpr std::size_t CompactEntries = 200;

/// Identity of a replica that takes part from the first start on; it is known to the others without asking.
std::string firstIdentity(const std::string &address)
{
    return address + "#first";
}

/// Adds later output to what waits for the disk.
void merge(ReplicaBatch *batch, ReplicaOutput &output)
{
    if (output.snapshot) {
        batch->snapshot = std::move(output.snapshot);
        batch->entries.clear();
    }
    if (output.hardState) {
        batch->hardState = output.hardState;
    }
    for (ConsensusEntry &it : output.entries) {
        batch->entries.push_back(std::move(it));
    }
}

}

struct IntentStore::Impl : std::enable_shared_from_this<IntentStore::Impl> {
    /// Something that waits for the replica, until it is settled or its time is over.
    struct Waiter {
        explicit Waiter(asio::io_context &loop)
            : timer(loop)
        {
        }

        void settle(bool good)
        {
            settled = true;
            succeeded = good;
            timer.cancel();
        }

        asio::steady_timer timer;
        std::uint64_t term = 0;
        bool settled = false;
        bool succeeded = false;
        IntentVerdict verdict = IntentVerdict::Superseded;
    };
    using WaiterPointer = std::shared_ptr<Waiter>;

    Impl(Runtime &r, const Clock &c, Options o, EventLog &l, Metrics &m)
        : loop(r.shard(0))
        , clock(c)
        , options(std::move(o))
        , log(l)
        , elections(m.counter("shallotrelay_elections_total", "Times that this control VM began to lead"))
        , syncs(m.counter("shallotrelay_log_syncs_total", "Batches synced to the replicated log"))
        , syncFailures(m.counter("shallotrelay_log_sync_failures_total", "Batches that the disk refused"))
        , syncSeconds(m.seconds("shallotrelay_log_sync_seconds", "Time to sync a batch of the replicated log"))
        , quorum(m.gauge("shallotrelay_quorum", "Whether this control VM is in touch with a leader of the group"))
        , disk(1)
    {
    }

    asio::io_context &loop;
    const Clock &clock;
    Options options;
    EventLog &log;
    prometheus::Counter &elections;
    prometheus::Counter &syncs;
    prometheus::Counter &syncFailures;
    prometheus::Histogram &syncSeconds;
    prometheus::Gauge &quorum;
    std::unique_ptr<ReplicaLog> file;
    std::unique_ptr<Replica> replica;
    IntentLedger state;
    ReplicaBatch batch;
    std::vector<ConsensusMessage> messagesAfterSync;
    bool storing = false;
    std::map<std::string, std::unique_ptr<MessageLink>> links;
    std::map<std::string, std::string> addressOf; // of replicas that sent a message, by identity
    std::map<std::uint64_t, WaiterPointer> orders; // by index
    std::map<std::uint64_t, WaiterPointer> reads; // by ticket
    std::uint64_t lastTicket = 0;
    bool submitting = false;
    std::set<WaiterPointer> turns;
    ReplicaRole loggedRole = ReplicaRole::Follower;
    std::uint64_t loggedTerm = 0;
    std::string seenView;
    TimePoint nextJoin;
    TimePoint leaderSeen;
    TimePoint nextQuorumNote;
    std::atomic<bool> stopped = false;
    asio::thread_pool disk; // last, so that it ends before what its work uses

    absl::Status open()
    {
        ReplicaRecovery recovery;
        auto opened = ReplicaLog::open(options.dataFolder, &recovery);
        if (!opened.ok()) {
            return opened.status();
        }
        file = *std::move(opened);
        const bool fresh = recovery.id.empty();
        if (fresh) {
            mint(&recovery);
            if (const absl::Status status = file->initialise(recovery.id, recovery.disk.snapshot); !status.ok()) {
                return status;
            }
        }
        options.self.id = recovery.id;
        ReplicaOptions replicaOptions;
        replicaOptions.self = options.self;
        log.write(LogLevel::Info, "replica-start",
                  LogFields()
                      .add("id", recovery.id)
                      .add("fresh", std::uint64_t(fresh ? 1 : 0))
                      .add("term", recovery.disk.hardState.term)
                      .add("snapshot", recovery.disk.snapshot.index)
                      .add("entries", std::uint64_t(recovery.disk.entries.size())));
        replica
            = std::make_unique<Replica>(replicaOptions, std::move(recovery.disk), Random(options.seed), clock.now());
        leaderSeen = clock.now();
        return absl::OkStatus();
    }

    /// Gives a new disk its identity. Only the seeds of the first start are voters without asking.
    void mint(ReplicaRecovery *recovery)
    {
        const auto isSelf = [&](const ReplicaMember &it) { return it.address == options.self.address; };
        const bool seed = std::any_of(options.seeds.begin(), options.seeds.end(), isSelf);
        if (!options.firstStart || !seed) {
            Random random(options.seed);
            recovery->id = options.self.address + "#" + randomId(random);
            return;
        }
        recovery->id = firstIdentity(options.self.address);
        for (ReplicaMember it : options.seeds) {
            it.id = firstIdentity(it.address);
            recovery->disk.snapshot.members.push_back(it);
        }
    }

    static asio::awaitable<void> tick(std::shared_ptr<Impl> self)
    {
        while (!self->stopped) {
            co_await sleepFor(TickInterval);
            const TimePoint now = self->clock.now();
            self->replica->tick(now);
            self->pump();
            self->askToJoin(now);
            self->noteQuorum(now);
        }
    }

    void askToJoin(TimePoint now)
    {
        if (replica->hasActiveLeader(now)) {
            leaderSeen = now;
        }
        const bool lost = !replica->isVoter() || now - leaderSeen > LostLeaderBound;
        if (!lost || now < nextJoin) {
            return;
        }
        nextJoin = now + JoinInterval;
        std::set<std::string> addresses;
        for (const ReplicaMember &it : options.seeds) {
            addresses.insert(it.address);
        }
        for (const ReplicaMember &it : replica->members()) {
            addresses.insert(it.address);
        }
        addresses.erase(options.self.address);
        const std::string frame = encodeFrame(JoinRequest{options.self, false});
        for (const std::string &it : addresses) {
            sendTo(it, frame);
        }
    }

    /// Says once in a while that the group cannot elect a leader, and whom it waits for.
    void noteQuorum(TimePoint now)
    {
        const bool lost = now - leaderSeen > NoQuorumBound;
        quorum.Set(lost ? 0 : 1);
        if (!lost || now < nextQuorumNote) {
            return;
        }
        nextQuorumNote = now + NoQuorumInterval;
        LogFields line;
        line.add("voters", std::uint64_t(replica->members().size())).add("term", replica->term());
        std::string missing;
        for (const std::string &it : replica->unreachableVoters(now)) {
            missing += (missing.empty() ? "" : " ") + it;
        }
        line.add("missing", missing).add("voter", std::uint64_t(replica->isVoter() ? 1 : 0));
        log.write(LogLevel::Warn, "no-quorum", line);
    }

    void sendTo(const std::string &address, std::string frame)
    {
        auto &link = links[address];
        if (!link) {
            const auto parsed = parseAddress(address);
            if (!parsed.ok()) {
                links.erase(address);
                log.write(LogLevel::Error, "replica-address", LogFields().add("address", address));
                return;
            }
            link = std::make_unique<MessageLink>(loop, *parsed);
        }
        link->send(std::move(frame));
    }

    void sendAll(const std::vector<ConsensusMessage> &messages)
    {
        for (const ConsensusMessage &it : messages) {
            const std::string address = findAddress(it.to);
            if (!address.empty()) {
                sendTo(address, encodeFrame(it));
            }
        }
    }

    std::string findAddress(const std::string &id) const
    {
        for (const ReplicaMember &it : replica->members()) {
            if (it.id == id) {
                return it.address;
            }
        }
        const auto known = addressOf.find(id);
        return known == addressOf.end() ? std::string() : known->second;
    }

    /// Does what the replica wants done.
    void pump()
    {
        ReplicaOutput output = replica->takeOutput();
        sendAll(output.immediateMessages);
        std::vector<ConsensusMessage> replies = std::move(output.messagesAfterSync);
        const bool stores = output.needsSync();
        const auto restored = std::move(output.restored);
        const std::vector<ConsensusEntry> committed = std::move(output.committed);
        if (stores || storing) {
            merge(&batch, output);
            messagesAfterSync.insert(messagesAfterSync.end(), replies.begin(), replies.end());
            startStoring();
        } else {
            sendAll(replies);
        }
        if (restored) {
            restore(*restored);
        }
        for (const ConsensusEntry &it : committed) {
            apply(it);
        }
        settleReads(output);
        for (const VoterChange &it : output.voterChanges) {
            log.write(
                LogLevel::Info, "voter-change",
                LogFields().add("id", it.id).add("change", it.added ? "added" : "removed").add("reason", it.reason));
        }
        noteRole();
        if (replica->retainedEntries() > CompactEntries && !committed.empty() && !storing) {
            replica->compact(committed.back().index, encodePayload(state.snapshot()));
            pump();
        }
    }

    void startStoring()
    {
        if (storing) {
            return;
        }
        storing = true;
        const LogPosition last = replica->lastPosition();
        auto work = [self = shared_from_this(), last, taken = std::exchange(batch, {}),
                     messages = std::exchange(messagesAfterSync, {})] {
            const bool stored = self->storeUntilDone(taken);
            asio::post(self->loop, [self, last, messages, stored] { self->finishStoring(last, messages, stored); });
        };
        asio::post(disk, std::move(work));
    }

    /// Runs on the thread of the disk; returns false only at the end of the process.
    bool storeUntilDone(const ReplicaBatch &taken)
    {
        bool logged = false;
        while (!stopped) {
            const TimePoint begun = clock.now();
            const absl::Status status = file->store(taken);
            if (status.ok()) {
                syncs.Increment();
                syncSeconds.Observe(toSeconds(clock.now() - begun));
                return true;
            }
            syncFailures.Increment();
            if (!logged) {
                log.write(LogLevel::Error, "disk", LogFields().add("error", std::string(status.message())));
                logged = true;
            }
            std::this_thread::sleep_for(DiskRetryDelay);
        }
        return false;
    }

    void finishStoring(const LogPosition &last, const std::vector<ConsensusMessage> &messages, bool stored)
    {
        storing = false;
        if (!stored) {
            return;
        }
        replica->markSynced(last, clock.now());
        sendAll(messages);
        pump();
        if (!storing && (batch.snapshot || batch.hardState || !batch.entries.empty() || !messagesAfterSync.empty())) {
            startStoring();
        }
    }

    void restore(const ReplicaSnapshot &snapshot)
    {
        const auto decoded = decodeMessage<IntentSnapshot>(snapshot.data);
        if (!decoded.ok()) {
            log.write(LogLevel::Error, "replica-snapshot",
                      LogFields().add("index", snapshot.index).add("error", std::string(decoded.status().message())));
            return;
        }
        state.restore(*decoded);
        log.write(LogLevel::Info, "intent-restored",
                  LogFields().add("revision", state.revision()).add("version", state.version()));
        options.onChange();
    }

    void apply(const ConsensusEntry &entry)
    {
        if (entry.kind == EntryKind::Members) {
            log.write(LogLevel::Info, "voters",
                      LogFields().add("index", entry.index).add("count", std::uint64_t(replica->members().size())));
            options.onChange();
        }
        if (entry.kind != EntryKind::Command) {
            return;
        }
        const auto order = decodeMessage<IntentOrder>(entry.data);
        if (!order.ok()) {
            log.write(LogLevel::Error, "intent", LogFields().add("index", entry.index).add("error", "unreadable"));
            return;
        }
        const IntentVerdict verdict = state.apply(*order, entry.index);
        log.write(LogLevel::Info, "intent",
                  LogFields()
                      .add("index", entry.index)
                      .add("verdict", toString(verdict))
                      .add("kind", toString(order->kind))
                      .add("version", order->version)
                      .add("base", order->basedOn)
                      .add("data_centre", order->dataCentre));
        const auto it = orders.find(entry.index);
        if (it != orders.end()) {
            it->second->verdict = verdict;
            it->second->settle(it->second->term == entry.term);
            orders.erase(it);
        }
        if (verdict == IntentVerdict::Accepted) {
            options.onChange();
        }
    }

    void settleReads(const ReplicaOutput &output)
    {
        const auto settle = [&](std::uint64_t ticket, bool good) {
            const auto it = reads.find(ticket);
            if (it != reads.end()) {
                it->second->settle(good);
                reads.erase(it);
            }
        };
        for (const std::uint64_t it : output.readsConfirmed) {
            settle(it, true);
        }
        for (const std::uint64_t it : output.readsFailed) {
            settle(it, false);
        }
    }

    void noteRole()
    {
        const std::string leader = replica->leader() ? replica->leader()->id : "";
        if (replica->role() != loggedRole || replica->term() != loggedTerm) {
            elections.Increment(replica->role() == ReplicaRole::Leader && loggedRole != ReplicaRole::Leader ? 1 : 0);
            loggedRole = replica->role();
            loggedTerm = replica->term();
            log.write(LogLevel::Info, "replica-role",
                      LogFields().add("role", toString(loggedRole)).add("term", loggedTerm).add("leader", leader));
        }
        if (replica->role() != ReplicaRole::Leader) {
            for (const auto &it : std::exchange(orders, {})) {
                it.second->settle(false);
            }
        }
    }

    asio::awaitable<bool> wait(WaiterPointer waiter, TimePoint until)
    {
        while (!waiter->settled && clock.now() < until) {
            waiter->timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(until - clock.now()));
            co_await waiter->timer.async_wait(AsTuple);
        }
        co_return waiter->settled && waiter->succeeded;
    }

    /// Waits until this replica leads or another leader is known; returns whether this one leads.
    asio::awaitable<bool> waitForLeader()
    {
        const TimePoint until = clock.now() + LeaderBound;
        while (clock.now() < until) {
            if (replica->role() == ReplicaRole::Leader) {
                co_return true;
            }
            if (replica->hasActiveLeader(clock.now()) && replica->leader()
                && !replica->leader()->operatorAddress.empty()) {
                co_return false;
            }
            co_await sleepFor(LeaderPoll);
        }
        co_return replica->role() == ReplicaRole::Leader;
    }

    std::string leaderAddress() const
    {
        const auto leader = replica->leader();
        return leader && leader->id != options.self.id ? leader->operatorAddress : std::string();
    }

    /// Returns whether this replica still led after the call began; what was acknowledged before it is applied then.
    asio::awaitable<bool> confirm(TimePoint until)
    {
        while (clock.now() < until) {
            const std::uint64_t ticket = ++lastTicket;
            const auto waiter = std::make_shared<Waiter>(loop);
            reads[ticket] = waiter;
            if (replica->requestRead(ticket, clock.now())) {
                pump();
                const bool good = co_await wait(waiter, until);
                reads.erase(ticket);
                co_return good;
            }
            reads.erase(ticket);
            if (replica->role() != ReplicaRole::Leader) {
                co_return false;
            }
            co_await sleepFor(LeaderPoll);
        }
        co_return false;
    }

    asio::awaitable<SubmitResult> submit(MakeOrder make)
    {
        SubmitResult result;
        const TimePoint until = clock.now() + DecisionBound;
        if (!co_await waitForLeader()) {
            result.leader = leaderAddress();
            result.outcome = result.leader.empty() ? StoreOutcome::Unknown : StoreOutcome::Elsewhere;
            co_return result;
        }
        if (!co_await takeTurn(until)) {
            co_return result;
        }
        result = co_await decide(make, until);
        passTurn();
        co_return result;
    }

    /// Orders are decided one after the other, so that each is made from the state that it is applied to.
    asio::awaitable<bool> takeTurn(TimePoint until)
    {
        while (submitting) {
            const auto turn = std::make_shared<Waiter>(loop);
            turns.insert(turn);
            const bool good = co_await wait(turn, until);
            turns.erase(turn);
            if (!good) {
                co_return false;
            }
        }
        submitting = true;
        co_return true;
    }

    void passTurn()
    {
        submitting = false;
        for (const WaiterPointer &it : turns) {
            it->settle(true);
        }
    }

    asio::awaitable<SubmitResult> decide(const MakeOrder &make, TimePoint until)
    {
        SubmitResult result;
        // A leader that was replaced in silence must not judge an order by an old state.
        if (!co_await confirm(until)) {
            co_return result;
        }
        const auto order = make(state);
        result.version = state.version();
        if (!order.ok()) {
            result.outcome = StoreOutcome::Invalid;
            result.reason = std::string(order.status().message());
            co_return result;
        }
        result.verdict = state.check(*order);
        if (result.verdict != IntentVerdict::Accepted) {
            result.outcome = StoreOutcome::Done;
            co_return result;
        }
        const auto place = replica->propose(encodePayload(*order), clock.now());
        if (!place) {
            co_return result;
        }
        const auto waiter = std::make_shared<Waiter>(loop);
        waiter->term = place->term;
        orders[place->index] = waiter;
        pump();
        const bool decided = co_await wait(waiter, until);
        orders.erase(place->index);
        if (decided) {
            result.outcome = StoreOutcome::Done;
            result.verdict = waiter->verdict;
            result.version = state.version();
        }
        co_return result;
    }

    asio::awaitable<ReadResult> read()
    {
        ReadResult result;
        if (!co_await waitForLeader()) {
            result.leader = leaderAddress();
            result.outcome = result.leader.empty() ? StoreOutcome::Unknown : StoreOutcome::Elsewhere;
            co_return result;
        }
        if (co_await confirm(clock.now() + DecisionBound)) {
            result.outcome = StoreOutcome::Done;
            result.state = state.update();
        }
        co_return result;
    }
};

IntentStore::IntentStore(Runtime &runtime, const Clock &clock, Options options, EventLog &log, Metrics &metrics)
    : m_impl(std::make_shared<Impl>(runtime, clock, std::move(options), log, metrics))
{
}

IntentStore::~IntentStore()
{
    m_impl->stopped = true;
    m_impl->disk.join();
}

absl::Status IntentStore::start()
{
    if (const absl::Status status = m_impl->open(); !status.ok()) {
        return status;
    }
    m_impl->pump();
    asio::co_spawn(m_impl->loop, Impl::tick(m_impl), asio::detached);
    return absl::OkStatus();
}

asio::awaitable<SubmitResult> IntentStore::submit(MakeOrder make)
{
    co_return co_await m_impl->submit(std::move(make));
}

asio::awaitable<ReadResult> IntentStore::read()
{
    co_return co_await m_impl->read();
}

void IntentStore::take(const ConsensusMessage &message)
{
    m_impl->addressOf[message.from] = message.fromAddress;
    m_impl->replica->receive(message, m_impl->clock.now());
    m_impl->pump();
}

void IntentStore::take(const JoinRequest &request)
{
    m_impl->addressOf[request.member.id] = request.member.address;
    const auto leader = m_impl->replica->join(request.member, m_impl->clock.now());
    m_impl->pump();
    if (leader && !request.passedOn) {
        m_impl->sendTo(*leader, encodeFrame(JoinRequest{request.member, true}));
    }
}

const IntentLedger &IntentStore::ledger() const
{
    return m_impl->state;
}

ControlView IntentStore::view() const
{
    ControlView out;
    out.current = m_impl->replica->hasActiveLeader(m_impl->clock.now());
    out.revision = m_impl->state.revision();
    for (const ReplicaMember &it : m_impl->replica->members()) {
        out.addresses.push_back(it.address);
    }
    std::sort(out.addresses.begin(), out.addresses.end());
    return out;
}

}
