#include "daemon/crashledgerexchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <iterator>

namespace shallotrelay
{
namespace
{

/// Number of nodes that are notified of a crash at once; the others notice it by the digest in beacons.
constexpr std::size_t NoticeFanOut = 64;
/// Minimum interval between two requests for the crash ledger of another node.
constexpr Duration MinFetchInterval = std::chrono::milliseconds(200);
/// Maximum interval between such requests while the responses contain nothing new.
constexpr Duration MaxFetchInterval = std::chrono::seconds(10);
/// Maximum bytes per second of crash ledger responses.
constexpr double LedgerBytesPerSecond = 1024;
/// Bytes of a crash ledger response for each crash of each request.
constexpr std::size_t LedgerItemBytes = 40;
/// Number of crash ledgers that a starting node requests before it is ready.
constexpr std::size_t StartupFetches = 3;
/// Interval at which a starting node looks for another node.
constexpr Duration StartupPollInterval = std::chrono::milliseconds(20);

}

CrashLedgerExchange::CrashLedgerExchange(const Clock &clock, Options options, ServiceTable &services,
                                         Containment &containment, BeaconSocket &beacons, EventLog &log, Random random)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_services(services)
    , m_containment(containment)
    , m_beacons(beacons)
    , m_log(log)
    , m_random(random)
    , m_startedAt(clock.now())
    , m_fetchInterval(MinFetchInterval)
{
}

void CrashLedgerExchange::recordDigest(std::uint64_t digest, const std::optional<Address> &from, asio::io_context &loop)
{
    if (digest == m_containment.digest() || m_clock.now() < m_nextFetch) {
        return;
    }
    m_nextFetch = m_clock.now() + m_fetchInterval;
    if (from) {
        asio::co_spawn(loop, fetch(shared_from_this(), *from), asio::detached);
    }
}

bool CrashLedgerExchange::initialFetchDone() const
{
    return m_initialFetchDone;
}

/// Requests the crash ledger of another node and merges it; returns whether the node responded.
///
/// The interval until the next request is proportional to the size of the response, and doubles while responses
/// contain nothing new.
asio::awaitable<bool> CrashLedgerExchange::fetch(std::shared_ptr<CrashLedgerExchange> self, Address from)
{
    const CrashLedgerRequest request{self->m_containment.digest()};
    const auto state = co_await fetchCrashLedger(from, request, self->m_options.peers);
    if (!state.ok()) {
        self->m_log.write(LogLevel::Info, "crash-ledger",
                          LogFields().add("from", from.text()).add("error", std::string(state.status().message())));
        co_return false;
    }
    const bool hasNewEntries = self->m_containment.merge(*state, from.text());
    std::size_t items = 0;
    for (const CrashEntry &it : state->entries) {
        items += it.items.size();
    }
    const Duration bandwidthInterval = fromSeconds(static_cast<double>(items * LedgerItemBytes) / LedgerBytesPerSecond);
    const Duration idleInterval = std::min(2 * self->m_fetchInterval, MaxFetchInterval);
    self->m_fetchInterval = std::max(bandwidthInterval, hasNewEntries ? MinFetchInterval : idleInterval);
    self->m_nextFetch = self->m_clock.now() + self->m_fetchInterval;
    co_return true;
}

asio::awaitable<void> CrashLedgerExchange::fetchInitial(std::shared_ptr<CrashLedgerExchange> self)
{
    std::size_t fetched = 0;
    while (fetched < StartupFetches && self->m_clock.now() - self->m_startedAt < self->m_options.startupTimeout) {
        self->updatePeerAddresses();
        if (self->m_peerAddresses.empty()) {
            co_await sleepFor(StartupPollInterval);
            continue;
        }
        const std::size_t index = randomBelow(self->m_random, self->m_peerAddresses.size());
        const Address from = self->m_peerAddresses[index];
        const bool responded = co_await fetch(self, from);
        self->m_initialFetchDone = self->m_initialFetchDone || responded;
        ++fetched;
    }
    self->m_initialFetchDone = true;
}

void CrashLedgerExchange::notifyNodes(const std::string &encoded)
{
    if (encoded.size() > MaxBeaconBytes) {
        // The notice lists more requests than fit into a datagram. The others notice the crash by the digest in the
        // beacons and fetch the ledger.
        return;
    }
    updatePeerAddresses();
    std::vector<Address> chosen;
    std::sample(m_peerAddresses.begin(), m_peerAddresses.end(), std::back_inserter(chosen), NoticeFanOut, m_random);
    for (const Address &it : chosen) {
        m_beacons.send(encoded, it);
    }
}

/// Updates the addresses of the other nodes if the list of peers has changed.
void CrashLedgerExchange::updatePeerAddresses()
{
    const auto list = m_services.peers();
    if (list == m_peerList) {
        return;
    }
    m_peerList = list;
    m_peerAddresses.clear();
    for (const std::string &it : *list) {
        const auto address = parseAddress(it);
        if (!address.ok()) {
            m_log.write(LogLevel::Warn, "peer",
                        LogFields().add("peer", it).add("error", std::string(address.status().message())));
        } else if (it != m_options.self) {
            m_peerAddresses.push_back(*address);
        }
    }
}

}
