/// Keeps the crash ledger of a node in step with those of the other nodes: sends notices, and fetches a ledger that
/// differs.
///
/// Use one per node, on its event loop.
#pragma once

#include "daemon/containment.h"
#include "daemon/eventlog.h"
#include "daemon/servicetable.h"
#include "net/beaconsocket.h"
#include "net/peerprotocol.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Exchanges crash ledgers with other nodes.
class CrashLedgerExchange : public std::enable_shared_from_this<CrashLedgerExchange>
{
public:
    struct Options {
        std::string self; ///< Address at which this node accepts requests of other nodes.
        PeerOptions peers; ///< Timeouts of exchanges with other nodes.
        Duration startupTimeout{}; ///< Maximum time for which a starting node waits for the ledgers of others.
    };

    CrashLedgerExchange(const Clock &clock, Options options, ServiceTable &services, Containment &containment,
                        BeaconSocket &beacons, EventLog &log, Random random);

    /// Processes the digest in a beacon: fetches the ledger of the node at the address if it differs from the own one.
    void recordDigest(std::uint64_t digest, const std::optional<Address> &from, asio::io_context &loop);

    /// Returns whether the ledger of another node was merged after the start, or the wait for one is over.
    bool initialFetchDone() const;

    /// Merges the crash ledgers of a few other nodes before a starting node becomes ready.
    static asio::awaitable<void> fetchInitial(std::shared_ptr<CrashLedgerExchange> self);

    /// Sends a notice to the other nodes; in a large cluster, to a random sample of them.
    void notifyNodes(const std::string &encoded);

private:
    static asio::awaitable<bool> fetch(std::shared_ptr<CrashLedgerExchange> self, Address from);
    void updatePeerAddresses();

    const Clock &m_clock;
    Options m_options;
    ServiceTable &m_services;
    Containment &m_containment;
    BeaconSocket &m_beacons;
    EventLog &m_log;
    Random m_random;
    std::shared_ptr<const std::vector<std::string>> m_peerList; // the list that m_peerAddresses was built from
    std::vector<Address> m_peerAddresses; // of all other nodes
    TimePoint m_startedAt;
    bool m_initialFetchDone = false;
    TimePoint m_nextFetch;
    Duration m_fetchInterval;
};

}
