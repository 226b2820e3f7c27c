#include "daemon/intentstore.h"

#include "daemon/replicarecovery.h"
#include "net/messagelink.h"
#include "shallotrelay/consensus/compactionpolicy.h"
#include "shallotrelay/storage/replicalog.h"
#include "wire/frame.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <fmt/format.h>

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
/// Interval between join requests.
constexpr Duration JoinInterval = std::chrono::milliseconds(200);
/// Time without an active leader after which a voter sends join requests, because it may have been removed.
constexpr Duration LeaderLossTimeout = std::chrono::milliseconds(1000);
/// Time without an active leader after which the loss of the quorum is reported.
constexpr Duration NoQuorumTimeout = std::chrono::seconds(3);
/// Interval between log lines about a lost quorum.
constexpr Duration NoQuorumLogInterval = std::chrono::seconds(5);
/// Timeout of an order or read; shorter than the second after which operators' clients switch to another control VM.
constexpr Duration DecisionTimeout = std::chrono::milliseconds(800);
/// Timeout of the wait for a known leader.
constexpr Duration LeaderWaitTimeout = std::chrono::milliseconds(500);
/// Interval between checks for a leader.
constexpr Duration LeaderPollInterval = std::chrono::milliseconds(20);
/// Delay before a failed disk write is retried.
constexpr std::chrono::milliseconds DiskRetryDelay(100);

/// Appends the persistent part of a later output to a batch that has not been written yet.
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
    /// An operation that waits until it is completed or its deadline passes.
    struct Waiter {
        explicit Waiter(asio::io_context &loop)
            : timer(loop)
        {
        }

        void complete(bool success)
        {
            completed = true;
            succeeded = success;
            timer.cancel();
        }

        asio::steady_timer timer;
        std::uint64_t term = 0;
        bool completed = false;
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
        , retainedBytes(m.gauge("shallotrelay_log_retained_bytes", "Bytes of committed log entries after the snapshot"))
        , quorum(m.gauge("shallotrelay_quorum", "Whether this control VM is in touch with a leader of the group"))
        , diskThread(1)
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
    prometheus::Gauge &retainedBytes;
    prometheus::Gauge &quorum;
    std::unique_ptr<ReplicaLog> logFile;
    std::unique_ptr<Replica> replica;
    IntentLedger state;
    std::uint64_t appliedIndex = 0; // log index up to which the state includes the entries
    ReplicaBatch batch;
    std::vector<ConsensusMessage> messagesAfterSync;
    bool writing = false;
    std::map<std::string, std::unique_ptr<MessageLink>> links;
    std::map<std::string, std::string> peerAddresses; // of replicas that have sent a message; by identity
    std::map<std::uint64_t, WaiterPointer> pendingOrders; // by log index
    std::map<std::uint64_t, WaiterPointer> pendingReads; // by ticket
    std::uint64_t lastReadTicket = 0;
    bool submitting = false;
    std::set<WaiterPointer> submitWaiters;
    ReplicaRole loggedRole = ReplicaRole::Follower;
    std::uint64_t loggedTerm = 0;
    std::string seenView;
    TimePoint nextJoin;
    TimePoint leaderLastSeen;
    TimePoint nextQuorumLog;
    std::atomic<bool> stopped = false;
    asio::thread_pool diskThread; // declared last, so that it is joined before the members that its tasks use

    absl::Status open()
    {
        auto opened
            = openReplica({options.self, options.seeds, options.firstStart, options.dataFolder, options.seed}, log);
        if (!opened.ok()) {
            return opened.status();
        }
        logFile = std::move(opened->log);
        options.self.id = opened->id;
        ReplicaOptions replicaOptions;
        replicaOptions.self = options.self;
        if (isCompactionDue(opened->replayed)) {
            batch = {opened->disk.snapshot, opened->disk.hardState, opened->disk.entries};
        }
        replica = std::make_unique<Replica>(replicaOptions, std::move(opened->disk), Random(options.seed), clock.now());
        leaderLastSeen = clock.now();
        return absl::OkStatus();
    }

    static asio::awaitable<void> tick(std::shared_ptr<Impl> self)
    {
        while (!self->stopped) {
            co_await sleepFor(TickInterval);
            const TimePoint now = self->clock.now();
            self->replica->tick(now);
            self->processOutput();
            self->requestJoin(now);
            self->reportQuorum(now);
        }
    }

    void requestJoin(TimePoint now)
    {
        if (replica->hasActiveLeader(now)) {
            leaderLastSeen = now;
        }
        const bool lost = !replica->isVoter() || now - leaderLastSeen > LeaderLossTimeout;
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

    /// Updates the quorum metric, and logs a lost quorum and the unreachable voters at intervals.
    void reportQuorum(TimePoint now)
    {
        const bool lost = now - leaderLastSeen > NoQuorumTimeout;
        quorum.Set(lost ? 0 : 1);
        if (!lost || now < nextQuorumLog) {
            return;
        }
        nextQuorumLog = now + NoQuorumLogInterval;
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
        const auto known = peerAddresses.find(id);
        return known == peerAddresses.end() ? std::string() : known->second;
    }

    /// Processes the output of the replica: sends messages, writes to disk and applies committed entries.
    void processOutput()
    {
        ReplicaOutput output = replica->takeOutput();
        sendAll(output.immediateMessages);
        std::vector<ConsensusMessage> afterSync = std::move(output.messagesAfterSync);
        const bool needsSync = output.needsSync();
        const auto restored = std::move(output.restored);
        const std::vector<ConsensusEntry> committed = std::move(output.committed);
        if (needsSync || writing) {
            merge(&batch, output);
            messagesAfterSync.insert(messagesAfterSync.end(), afterSync.begin(), afterSync.end());
            startWrite();
        } else {
            sendAll(afterSync);
        }
        if (restored) {
            restore(*restored);
        }
        for (const ConsensusEntry &it : committed) {
            apply(it);
        }
        completeReads(output);
        for (const VoterChange &it : output.voterChanges) {
            log.write(
                LogLevel::Info, "voter-change",
                LogFields().add("id", it.id).add("change", it.added ? "added" : "removed").add("reason", it.reason));
        }
        handleRoleChange();
        compactIfDue();
    }

    void compactIfDue()
    {
        const LogSize size = replica->compactableLog();
        retainedBytes.Set(static_cast<double>(size.bytes));
        if (!isCompactionDue(size) || appliedIndex != replica->commit()) {
            return;
        }
        std::string snapshot = encodePayload(state.snapshot());
        log.write(LogLevel::Info, "log-compacted",
                  LogFields()
                      .add("index", appliedIndex)
                      .add("entries", std::uint64_t(size.entries))
                      .add("bytes", std::uint64_t(size.bytes))
                      .add("snapshot_bytes", std::uint64_t(snapshot.size())));
        replica->compact(appliedIndex, std::move(snapshot));
        processOutput();
    }

    void startWrite()
    {
        if (writing) {
            return;
        }
        writing = true;
        const LogPosition last = replica->lastPosition();
        auto work = [self = shared_from_this(), last, pendingBatch = std::exchange(batch, {}),
                     messages = std::exchange(messagesAfterSync, {})] {
            const bool stored = self->writeWithRetry(pendingBatch);
            asio::post(self->loop, [self, last, messages, stored] { self->finishWrite(last, messages, stored); });
        };
        asio::post(diskThread, std::move(work));
    }

    /// Writes a batch, with retries until it succeeds; returns false only on shutdown. Runs on the disk thread.
    bool writeWithRetry(const ReplicaBatch &pendingBatch)
    {
        bool logged = false;
        while (!stopped) {
            const TimePoint started = clock.now();
            const absl::Status status = logFile->store(pendingBatch);
            if (status.ok()) {
                syncs.Increment();
                syncSeconds.Observe(toSeconds(clock.now() - started));
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

    void finishWrite(const LogPosition &last, const std::vector<ConsensusMessage> &messages, bool stored)
    {
        writing = false;
        if (!stored) {
            return;
        }
        replica->markSynced(last, clock.now());
        sendAll(messages);
        processOutput();
        if (!writing && (batch.snapshot || batch.hardState || !batch.entries.empty() || !messagesAfterSync.empty())) {
            startWrite();
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
        appliedIndex = snapshot.index;
        log.write(LogLevel::Info, "intent-restored",
                  LogFields().add("revision", state.revision()).add("version", state.version()));
        options.onChange();
    }

    void apply(const ConsensusEntry &entry)
    {
        appliedIndex = entry.index;
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
        const auto it = pendingOrders.find(entry.index);
        if (it != pendingOrders.end()) {
            it->second->verdict = verdict;
            it->second->complete(it->second->term == entry.term);
            pendingOrders.erase(it);
        }
        if (verdict == IntentVerdict::Accepted) {
            options.onChange();
        }
    }

    void completeReads(const ReplicaOutput &output)
    {
        const auto complete = [&](std::uint64_t ticket, bool success) {
            const auto it = pendingReads.find(ticket);
            if (it != pendingReads.end()) {
                it->second->complete(success);
                pendingReads.erase(it);
            }
        };
        for (const std::uint64_t it : output.readsConfirmed) {
            complete(it, true);
        }
        for (const std::uint64_t it : output.readsFailed) {
            complete(it, false);
        }
    }

    void handleRoleChange()
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
            for (const auto &it : std::exchange(pendingOrders, {})) {
                it.second->complete(false);
            }
        }
    }

    asio::awaitable<bool> waitFor(WaiterPointer waiter, TimePoint deadline)
    {
        while (!waiter->completed && clock.now() < deadline) {
            waiter->timer.expires_after(
                std::chrono::duration_cast<asio::steady_timer::duration>(deadline - clock.now()));
            co_await waiter->timer.async_wait(AsTuple);
        }
        co_return waiter->completed && waiter->succeeded;
    }

    /// Waits until this replica is the leader, knows an active one or times out; returns whether it is the leader.
    asio::awaitable<bool> waitForLeader()
    {
        const TimePoint deadline = clock.now() + LeaderWaitTimeout;
        while (clock.now() < deadline) {
            if (replica->role() == ReplicaRole::Leader) {
                co_return true;
            }
            if (replica->hasActiveLeader(clock.now()) && replica->leader()
                && !replica->leader()->operatorAddress.empty()) {
                co_return false;
            }
            co_await sleepFor(LeaderPollInterval);
        }
        co_return replica->role() == ReplicaRole::Leader;
    }

    std::string leaderAddress() const
    {
        const auto leader = replica->leader();
        return leader && leader->id != options.self.id ? leader->operatorAddress : std::string();
    }

    /// Confirms with a quorum that this replica was still the leader after the call started. On success, all orders
    /// that were acknowledged before the call are applied.
    asio::awaitable<bool> confirmLeadership(TimePoint deadline)
    {
        while (clock.now() < deadline) {
            const std::uint64_t ticket = ++lastReadTicket;
            const auto waiter = std::make_shared<Waiter>(loop);
            pendingReads[ticket] = waiter;
            if (replica->requestRead(ticket, clock.now())) {
                processOutput();
                const bool success = co_await waitFor(waiter, deadline);
                pendingReads.erase(ticket);
                co_return success;
            }
            pendingReads.erase(ticket);
            if (replica->role() != ReplicaRole::Leader) {
                co_return false;
            }
            co_await sleepFor(LeaderPollInterval);
        }
        co_return false;
    }

    asio::awaitable<SubmitResult> submit(OrderFactory makeOrder)
    {
        SubmitResult result;
        const TimePoint deadline = clock.now() + DecisionTimeout;
        if (!co_await waitForLeader()) {
            result.leader = leaderAddress();
            result.outcome = result.leader.empty() ? StoreOutcome::Unknown : StoreOutcome::NotLeader;
            co_return result;
        }
        if (!co_await lockSubmission(deadline)) {
            co_return result;
        }
        result = co_await decide(makeOrder, deadline);
        unlockSubmission();
        co_return result;
    }

    /// Acquires the submission lock. Orders are decided one at a time, so that each is created from the state to which
    /// it is applied.
    asio::awaitable<bool> lockSubmission(TimePoint deadline)
    {
        while (submitting) {
            const auto waiter = std::make_shared<Waiter>(loop);
            submitWaiters.insert(waiter);
            const bool success = co_await waitFor(waiter, deadline);
            submitWaiters.erase(waiter);
            if (!success) {
                co_return false;
            }
        }
        submitting = true;
        co_return true;
    }

    void unlockSubmission()
    {
        submitting = false;
        for (const WaiterPointer &it : submitWaiters) {
            it->complete(true);
        }
    }

    asio::awaitable<SubmitResult> decide(const OrderFactory &makeOrder, TimePoint deadline)
    {
        SubmitResult result;
        // A leader that was replaced without noticing it must not decide on an order by a stale state.
        if (!co_await confirmLeadership(deadline)) {
            co_return result;
        }
        const auto order = makeOrder(state);
        result.version = state.version();
        if (!order.ok()) {
            result.outcome = StoreOutcome::Invalid;
            result.reason = std::string(order.status().message());
            co_return result;
        }
        if (order->document.size() > MaxDocumentBytes) {
            result.outcome = StoreOutcome::Invalid;
            result.reason = fmt::format("the state would have {} bytes; the limit is {} bytes", order->document.size(),
                                        MaxDocumentBytes);
            co_return result;
        }
        result.verdict = state.check(*order);
        if (result.verdict != IntentVerdict::Accepted) {
            result.outcome = StoreOutcome::Done;
            co_return result;
        }
        const auto position = replica->propose(encodePayload(*order), clock.now());
        if (!position) {
            co_return result;
        }
        const auto waiter = std::make_shared<Waiter>(loop);
        waiter->term = position->term;
        pendingOrders[position->index] = waiter;
        processOutput();
        const bool decided = co_await waitFor(waiter, deadline);
        pendingOrders.erase(position->index);
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
            result.outcome = result.leader.empty() ? StoreOutcome::Unknown : StoreOutcome::NotLeader;
            co_return result;
        }
        if (co_await confirmLeadership(clock.now() + DecisionTimeout)) {
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
    m_impl->diskThread.join();
}

absl::Status IntentStore::start()
{
    if (const absl::Status status = m_impl->open(); !status.ok()) {
        return status;
    }
    m_impl->processOutput();
    asio::co_spawn(m_impl->loop, Impl::tick(m_impl), asio::detached);
    return absl::OkStatus();
}

asio::awaitable<SubmitResult> IntentStore::submit(OrderFactory makeOrder)
{
    co_return co_await m_impl->submit(std::move(makeOrder));
}

asio::awaitable<ReadResult> IntentStore::read()
{
    co_return co_await m_impl->read();
}

void IntentStore::receive(const ConsensusMessage &message)
{
    m_impl->peerAddresses[message.from] = message.fromAddress;
    m_impl->replica->receive(message, m_impl->clock.now());
    m_impl->processOutput();
}

void IntentStore::receive(const JoinRequest &request)
{
    m_impl->peerAddresses[request.member.id] = request.member.address;
    const auto leader = m_impl->replica->join(request.member, m_impl->clock.now());
    m_impl->processOutput();
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
    if (const auto leader = m_impl->replica->leader(); leader && out.current) {
        out.leader = leader->address;
    }
    for (const ReplicaMember &it : m_impl->replica->members()) {
        out.addresses.push_back(it.address);
    }
    std::sort(out.addresses.begin(), out.addresses.end());
    return out;
}

bool IntentStore::leads() const
{
    return m_impl->replica->role() == ReplicaRole::Leader && m_impl->replica->hasActiveLeader(m_impl->clock.now());
}

std::uint64_t IntentStore::term() const
{
    return m_impl->replica->term();
}

}
