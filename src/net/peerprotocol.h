/// Provides both ends of exchanges between nodes: PeerLink sends requests to a peer, PeerServer accepts them.
#pragma once

#include "net/exchange.h"
#include "net/neterror.h"
#include "net/runtime.h"

#include <functional>
#include <memory>
#include <string>

namespace shallotrelay
{

/// Timeouts of exchanges between nodes.
struct PeerOptions {
    Duration stallTimeout = std::chrono::seconds(20); ///< Time without progress after which a body transfer fails.
    /// Interval of keep-alive frames before the response; zero sends none, if peer failures are detected elsewhere.
    Duration keepAliveInterval = std::chrono::milliseconds(200);
    /// Time without any frame after which an exchange fails; a large multiple of the keep-alive interval.
    Duration silenceTimeout = std::chrono::seconds(2);
    Duration connectTimeout = std::chrono::seconds(1); ///< Time limit for a connection attempt to the peer.
};

/// Runs exchanges at a peer, one at a time on each connection. Thread-safe.
class PeerLink : public Backend
{
public:
    /// Creates a link to the peer at the address; connections are opened on demand.
    PeerLink(Address address, const Clock &clock, PeerOptions options);
    ~PeerLink() override;

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

private:
    struct Impl;
    class Exchange;

    std::unique_ptr<Impl> m_impl;
};

/// Requests the crash ledger of the peer at the address.
asio::awaitable<absl::StatusOr<CrashLedgerState>> fetchCrashLedger(Address address, CrashLedgerRequest request,
                                                                   PeerOptions options);

/// Accepts requests from peers and runs them at targets of this node.
class PeerServer
{
public:
    /// Returns the backend of a target of this node, or nullptr if there is none.
    using FindTarget = std::function<std::shared_ptr<Backend>(const RequestHead &head)>;
    /// Returns the crash ledger of this node.
    using ReadCrashLedger = std::function<CrashLedgerState()>;

    PeerServer(Runtime &runtime, const Clock &clock, PeerOptions options, FindTarget findTarget,
               ReadCrashLedger readCrashLedger = {});
    ~PeerServer();

    /// Starts to listen on the address.
    absl::Status start(const Address &address);

    /// Returns the port on which the server listens.
    std::uint16_t port() const;

    /// Stops accepting connections; exchanges in progress continue.
    void stopAccepting();

    /// Returns the number of exchanges in progress.
    std::size_t inProgress() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
