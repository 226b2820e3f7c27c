/// Both ends of an exchange between nodes: the link that sends requests, and the server that takes them.
#pragma once

#include "net/exchange.h"
#include "net/neterror.h"
#include "net/runtime.h"

#include <functional>
#include <memory>
#include <string>

namespace shallotrelay
{

/// Times of exchanges between nodes.
struct PeerOptions {
    Duration stallTimeout = std::chrono::seconds(20); ///< Time without progress of a body.
    /// Time between signs of life while an answer is not ready; zero if others tell that a node lives.
    Duration lifeSignInterval = std::chrono::milliseconds(200);
    /// Time without a sign of life after which an exchange is given up; far more than the interval.
    Duration silenceBound = std::chrono::seconds(2);
    Duration connectTimeout = std::chrono::seconds(1); ///< Time for a connection to the other node.
};

/// Runs exchanges at another node, one at a time on each connection. Safe for use by several threads.
class PeerLink : public Backend
{
public:
    /// Takes the address of the other node.
    PeerLink(Address address, const Clock &clock, PeerOptions options);
    ~PeerLink() override;

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, AnswerSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

private:
    struct Impl;
    class Exchange;

    std::unique_ptr<Impl> m_impl;
};

/// Asks another node for what it remembers of crashes.
asio::awaitable<absl::StatusOr<CrashLedgerState>> fetchCrashLedger(Address address, CrashLedgerRequest request,
                                                                   PeerOptions options);

/// Takes requests of other nodes.
class PeerServer
{
public:
    /// Finds the backend of a target beside this node, or returns nullptr.
    using FindTarget = std::function<std::shared_ptr<Backend>(const RequestHead &head)>;
    /// Returns what this node remembers of crashes.
    using TellCrashes = std::function<CrashLedgerState()>;

    PeerServer(Runtime &runtime, const Clock &clock, PeerOptions options, FindTarget findTarget,
               TellCrashes tellCrashes = {});
    ~PeerServer();

    /// Starts to listen.
    absl::Status start(const Address &address);

    /// Returns the port that it listens on.
    std::uint16_t port() const;

    /// Accepts no more connections; exchanges in progress go on.
    void stopAccepting();

    /// Returns how many exchanges are in progress.
    std::size_t inProgress() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
