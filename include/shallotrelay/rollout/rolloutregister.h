/// The roll-outs of a cluster as part of the replicated state: which orders take effect and which steps may follow.
///
/// Load pattern: operators send an order again and again to different control VMs, and a leader that was replaced
/// proposes a step that its successor has already taken. Each order and step takes effect once, and an end is final.
///
///     RolloutRegister rollouts;
///     if (rollouts.check(order) == IntentVerdict::Accepted) { rollouts.apply(order, index); }
#pragma once

#include "shallotrelay/intent/intentverdict.h"
#include "shallotrelay/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Returns whether an order of this kind concerns a roll-out.
bool isRolloutOrder(IntentKind kind);

/// Returns whether targets of both versions run: the roll-out has not ended.
bool isInProgress(RolloutState state);

/// Keeps the last roll-out of each service; not thread-safe.
class RolloutRegister
{
public:
    /// Returns the verdict on an order that concerns a roll-out, without changing the state.
    IntentVerdict check(const IntentOrder &order) const;

    /// Applies an accepted order at an index of the log.
    void apply(const IntentOrder &order, std::uint64_t index);

    /// Returns the last roll-out of a service, or nullptr if it had none.
    const RolloutRecord *find(const std::string &service) const;

    /// Returns the last roll-out of each service.
    std::vector<RolloutRecord> records() const;

    /// Replaces all roll-outs.
    void restore(const std::vector<RolloutRecord> &records);

private:
    IntentVerdict checkStart(const RolloutRecord &rollout) const;

    std::map<std::string, RolloutRecord> m_rollouts; // by service
};

}
