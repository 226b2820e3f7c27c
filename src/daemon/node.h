/// The node daemon: door for callers, router, and guard of the targets beside it.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "net/runtime.h"
#include "shallotrelay/settings.h"

#include <memory>

namespace shallotrelay
{

/// One node. Start it once; it runs on the threads of the runtime, which must be stopped before it is destroyed.
class NodeDaemon
{
public:
    NodeDaemon(Runtime &runtime, const Clock &clock, NodeSettings settings, EventLog &log);
    ~NodeDaemon();

    /// Starts to listen and to connect to the control VMs.
    absl::Status start();

    /// Begins a planned stop: takes no new requests and lets those in progress finish.
    void drain();

    /// Returns whether nothing is in progress any more after drain().
    bool drained() const;

    /// Returns where callers connect.
    Address callerAddress() const;

    /// Returns where targets announce themselves.
    Address adminAddress() const;

    /// Returns whether the node applies a bundle of the firm with the revision or a higher one.
    bool applies(const std::string &firm, std::uint64_t revision) const;

    /// Returns how many targets of a service the node may choose from.
    std::size_t usableTargets(const std::string &firm, const std::string &service) const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

}
