/// The node daemon: the HTTP front end for callers, the router, and the guards of the targets on the same VM.
///
/// Use it where targets announce themselves over HTTP and control VMs distribute signed bundles of several firms.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "net/runtime.h"
#include "shallotrelay/settings.h"

#include <memory>

namespace shallotrelay
{

/// One node. Call start() once; the node runs on the threads of the runtime, which must be stopped before the node is
/// destroyed.
class NodeDaemon
{
public:
    NodeDaemon(Runtime &runtime, const Clock &clock, NodeSettings settings, EventLog &log);
    ~NodeDaemon();

    /// Starts to listen and to connect to the control VMs; returns an error if an address cannot be used.
    absl::Status start();

    /// Begins a planned stop: refuses new requests and lets those in flight complete.
    void drain();

    /// Returns whether drain() was called and no request is in flight any more.
    bool drained() const;

    /// Returns the address on which callers connect.
    Address callerAddress() const;

    /// Returns the address on which targets announce themselves and operators query the node.
    Address adminAddress() const;

    /// Returns whether the node applies a bundle of the firm of at least this revision.
    bool applies(const std::string &firm, std::uint64_t revision) const;

    /// Returns how many targets of a service the router can choose from; 0 if the service is unknown.
    std::size_t usableTargets(const std::string &firm, const std::string &service) const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

}
