/// Replicated state machine of the state that operators want: it decides which operator orders take effect.
///
/// Use it on each replica of the log. All replicas apply the same orders in log order and reach the same verdicts. The
/// ledger does not parse documents; validate the document of an order before proposing the order.
///
///     IntentLedger ledger;
///     IntentVerdict verdict = ledger.apply(order, index);
#pragma once

#include "shallotrelay/intent/intentverdict.h"
#include "shallotrelay/messages.h"
#include "shallotrelay/rollout/rolloutregister.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace shallotrelay
{

/// Maximum size of a document, in bytes. A frame of MaxFramePayloadBytes (4 MiB) carries it to other control VMs and to
/// nodes, with the digests of all accepted orders in a snapshot.
inline constexpr std::size_t MaxDocumentBytes = 3 * 1024 * 1024;

/// Applies operator orders to the desired state; not thread-safe.
class IntentLedger
{
public:
    /// Applies the order at an index of the log and returns its verdict; only an accepted order changes the state.
    IntentVerdict apply(const IntentOrder &order, std::uint64_t index);

    /// Returns the verdict that apply() would return, without changing the state.
    IntentVerdict check(const IntentOrder &order) const;

    /// Whether a document with this version and digest was accepted before.
    bool accepted(std::uint64_t version, const std::string &digest) const;

    /// Returns the log index of the last accepted order, 0 if there was none.
    std::uint64_t revision() const;

    /// Returns the version of the current document, 0 if there is none.
    std::uint64_t version() const;

    /// Returns the current document, empty if there is none.
    const std::string &document() const;

    /// Returns the last roll-out of each service.
    const RolloutRegister &rollouts() const;

    /// Returns the current state in the form that is sent to nodes.
    IntentUpdate update() const;

    /// Returns the complete state of the ledger for a snapshot.
    IntentSnapshot snapshot() const;

    /// Replaces the complete state of the ledger by that of a snapshot.
    void restore(const IntentSnapshot &snapshot);

private:
    std::uint64_t m_revision = 0;
    std::uint64_t m_version = 0;
    std::string m_document;
    std::set<std::string> m_outOfService;
    RolloutRegister m_rollouts;
    std::map<std::uint64_t, std::string> m_accepted; // digests of accepted documents by version
};

}
