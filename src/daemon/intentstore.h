/// The operators' state on a control VM: a replica of the log, its disk, its links to the others, and the state
/// machine.
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

/// What became of an order or a read.
enum class StoreOutcome {
    Done, ///< It was decided.
    Elsewhere, ///< Another control VM leads.
    Unknown, ///< It may or may not take effect; nothing is known in time.
    Invalid, ///< The order could not be made.
};

/// The answer to an order.
struct SubmitResult {
    StoreOutcome outcome = StoreOutcome::Unknown; ///< Whether it was decided.
    IntentVerdict verdict = IntentVerdict::Superseded; ///< The decision.
    std::string leader; ///< Where the leader takes orders of operators, if another one leads.
    std::string reason; ///< Why it is invalid.
    std::uint64_t version = 0; ///< The version that is current.
};

/// The answer to a read.
struct ReadResult {
    StoreOutcome outcome = StoreOutcome::Unknown; ///< Whether it could be confirmed.
    std::string leader; ///< Where the leader takes orders of operators, if another one leads.
    IntentUpdate state; ///< The state, which is at least as new as all that was acknowledged before the read.
};

/// Holds the operators' state together with the other control VMs. Used on the first event loop of the runtime only.
class IntentStore
{
public:
    struct Options {
        ReplicaMember self; ///< Addresses of this replica; its identity is read from the disk or minted.
        std::vector<ReplicaMember> seeds; ///< Where other control VMs may be found; their identities are not known.
        bool firstStart = false; ///< Whether the whole system starts for the first time.
        std::string dataFolder; ///< Where the log is kept.
        std::uint64_t seed = 0; ///< Seed of the random generator.
        std::function<void()> onChange; ///< Called when the state, the leader or the voters changed.
    };

    /// Makes an order from the state that it is applied to; an error makes the order invalid.
    using MakeOrder = std::function<absl::StatusOr<IntentOrder>(const IntentLedger &ledger)>;

    IntentStore(Runtime &runtime, const Clock &clock, Options options, EventLog &log, Metrics &metrics);
    ~IntentStore();

    /// Opens the log and starts to take part.
    absl::Status start();

    /// Decides on an order.
    asio::awaitable<SubmitResult> submit(MakeOrder make);

    /// Reads the state.
    asio::awaitable<ReadResult> read();

    /// Takes in a message of another replica.
    void take(const ConsensusMessage &message);

    /// Takes in the wish of a replica to join.
    void take(const JoinRequest &request);

    /// Returns the state as far as this replica knows it.
    const IntentLedger &ledger() const;

    /// Returns the control VMs as far as this replica knows them.
    ControlView view() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
