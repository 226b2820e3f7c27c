/// The operators' desired state as a state machine: which orders take effect, and which were taken before.
///
/// Each replica of the log applies the same orders in the same order and comes to the same verdicts. The ledger never
/// looks into a document; whoever makes an order checks its document first.
///
///     IntentLedger ledger;
///     IntentVerdict verdict = ledger.apply(order, index);
#pragma once

#include "shallotrelay/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace shallotrelay
{

/// What became of an order.
enum class IntentVerdict {
    Accepted, ///< It is part of the state.
    Repeated, ///< The same order was accepted before.
    Superseded, ///< Another version than the one it builds on is current.
    Outdated, ///< Its version is not above the current one.
};

/// Returns the name of a verdict for logs.
const char *toString(IntentVerdict verdict);

/// Applies the operators' orders.
class IntentLedger
{
public:
    /// Applies an order at its place in the log; a refused order changes nothing.
    IntentVerdict apply(const IntentOrder &order, std::uint64_t index);

    /// Returns the verdict that apply() would come to, without applying anything.
    IntentVerdict check(const IntentOrder &order) const;

    /// Returns whether a state with this digest was accepted before.
    bool accepted(std::uint64_t version, const std::string &digest) const;

    /// Returns the index of the order that changed the state last, 0 if there was none.
    std::uint64_t revision() const;

    /// Returns the current version, 0 if there is no state.
    std::uint64_t version() const;

    /// Returns the current document, empty if there is no state.
    const std::string &document() const;

    /// Returns what nodes apply.
    IntentUpdate update() const;

    /// Returns all of it for a snapshot.
    IntentSnapshot snapshot() const;

    /// Replaces all of it by a snapshot.
    void restore(const IntentSnapshot &snapshot);

private:
    std::uint64_t m_revision = 0;
    std::uint64_t m_version = 0;
    std::string m_document;
    std::set<std::string> m_outOfService;
    std::map<std::uint64_t, std::string> m_accepted; // digests by version
};

}
