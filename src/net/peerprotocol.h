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

/// Runs exchanges at another node, one at a time on each connection. Safe for use by several threads.
class PeerLink : public Backend
{
public:
    /// Takes the address of the other node.
    PeerLink(Address address, const Clock &clock, Duration stallTimeout);
    ~PeerLink() override;

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, AnswerSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

private:
    struct Impl;
    class Exchange;

    std::unique_ptr<Impl> m_impl;
};

/// Takes requests of other nodes.
class PeerServer
{
public:
    /// Finds the backend of a target beside this node, or returns nullptr.
    using FindTarget = std::function<std::shared_ptr<Backend>(const RequestHead &head)>;

    PeerServer(Runtime &runtime, const Clock &clock, Duration stallTimeout, FindTarget findTarget);
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
