/// The link of a node to one control VM: sends reports, takes bundles and directory updates, and reconnects.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/localtargets.h"
#include "daemon/servicetable.h"
#include "net/runtime.h"

#include <functional>
#include <memory>
#include <optional>

namespace shallotrelay
{

/// Keeps one node in touch with one control VM.
class ControlLink
{
public:
    struct Options {
        Address address; ///< The control VM.
        Duration heartbeat{}; ///< Time between reports.
        std::string node; ///< Name of the node.
        std::string dataCentre; ///< Data centre of the node.
        std::uint64_t incarnation = 0; ///< Rises each time that the node starts.
        std::function<void()> onBundle; ///< Called after a bundle was applied.
        std::function<void(const IntentUpdate &update)> onIntent{}; ///< Called for each state of the operators.
        std::function<void(const ControlView &view)> onView{}; ///< Called for each list of the control VMs.
        std::function<NodeWatch()> watch{}; ///< Tells which state the node applies; set if control VMs form a cluster.
    };

    ControlLink(Runtime &runtime, Options options, ServiceTable &services, LocalTargets &local, EventLog &log);
    ~ControlLink();

    /// Starts to connect.
    void start();

    /// Sends a report soon instead of at the next heartbeat.
    void reportSoon();

    /// Ends the link.
    void stop();

    /// Returns whether the control VM answers.
    bool connected() const;

    /// Asks for a claim to an idempotency key; returns none if there is no answer in time.
    asio::awaitable<std::optional<ClaimAnswer>> claim(ClaimRequest request);

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
