/// Replicated store of the operators' state on a control VM: the Raft replica, its log on disk, its links to the other
/// replicas and the state machine.
///
/// Use it in the process of a control VM: pass it the messages of the other replicas, and submit and read through it.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "net/neterror.h"
#include "net/runtime.h"
#include "shallotrelay/consensus/replica.h"
#include "shallotrelay/intent/intentledger.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Outcome of an order or a read.
enum class StoreOutcome {
    Done, ///< The order was decided, or the read was confirmed.
    NotLeader, ///< Another control VM is the leader.
    Unknown, ///< No decision before the timeout; an order may or may not take effect.
    Invalid, ///< The order could not be created from the current state.
};

/// The result of an order.
struct SubmitResult {
    StoreOutcome outcome = StoreOutcome::Unknown; ///< Whether the order was decided.
    IntentVerdict verdict = IntentVerdict::Superseded; ///< The verdict; valid if the outcome is Done.
    std::string leader; ///< Operators' address of the leader, if it is another control VM.
    std::string reason; ///< Why the order is invalid.
    std::uint64_t version = 0; ///< The current version.
};

/// The result of a read.
struct ReadResult {
    StoreOutcome outcome = StoreOutcome::Unknown; ///< Whether the read was confirmed.
    std::string leader; ///< Operators' address of the leader, if it is another control VM.
    IntentUpdate state; ///< The state; it includes all orders that were acknowledged before the read.
};

/// Replicates the operators' state among the control VMs; use it on the first event loop of the runtime only.
class IntentStore
{
public:
    struct Options {
        ReplicaMember self; ///< Addresses of this replica; its identity is read from the disk or created.
        std::vector<ReplicaMember> seeds; ///< Addresses of the initial control VMs; their identities are not needed.
        bool firstStart = false; ///< Whether the system is started for the first time.
        std::string dataFolder; ///< Folder of the replicated log.
        std::uint64_t seed = 0; ///< Seed of the random generator.
        std::function<void()> onChange; ///< Called after a change of the state or the voters.
    };

    /// Creates an order from the state to which it will be applied; an error makes the order invalid.
    using OrderFactory = std::function<absl::StatusOr<IntentOrder>(const IntentLedger &ledger)>;

    IntentStore(Runtime &runtime, const Clock &clock, Options options, EventLog &log, Metrics &metrics);
    ~IntentStore();

    /// Opens the log and starts the replica; fails if the log cannot be opened or initialised.
    absl::Status start();

    /// Replicates an order and returns its verdict; only the leader decides on orders.
    asio::awaitable<SubmitResult> submit(OrderFactory makeOrder);

    /// Returns the state of a linearizable read; only the leader confirms reads.
    asio::awaitable<ReadResult> read();

    /// Processes a message of another replica.
    void receive(const ConsensusMessage &message);

    /// Processes the request of a replica to join; a follower forwards it to the leader once.
    void receive(const JoinRequest &request);

    /// Returns the state that this replica has applied; it may be stale.
    const IntentLedger &ledger() const;

    /// Returns the control VMs and the revision as known to this replica; they may be stale.
    ControlView view() const;

    /// Whether this replica leads and has heard from a majority within the maximum election timeout.
    bool leads() const;

    /// Returns the current term of this replica.
    std::uint64_t term() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
