/// The connection of a node to one control VM: sends reports and claims, receives bundles, the operators' intent and
/// directory updates, and reconnects when the connection is lost.
///
/// Use one link for each control VM that a node follows.
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

/// Maintains the connection of a node to one control VM; it runs on one event loop of the runtime.
class ControlLink
{
public:
    struct Options {
        Address address; ///< Address of the control VM.
        Duration heartbeat{}; ///< Interval between reports; the link is dropped after three without a received frame.
        std::string node; ///< Name of the node.
        std::string dataCentre; ///< Data centre of the node.
        std::uint64_t incarnation = 0; ///< Increases with each start of the node.
        std::function<void()> onBundle; ///< Called after a bundle has been applied.
        std::function<void(PackedIntent intent)> onIntent{}; ///< Called for each update of the operators' intent.
        std::function<void(const ControlView &view)> onView{}; ///< Called for each list of control VMs.
        std::function<NodeWatch()> nodeWatch{}; ///< Returns the intent revision in effect at the node; set if the
                                                ///< control VMs replicate an intent.
    };

    ControlLink(Runtime &runtime, Options options, ServiceTable &services, LocalTargets &local, EventLog &log);
    ~ControlLink();

    /// Starts to connect, and to reconnect after each failure.
    void start();

    /// Sends a report as soon as possible instead of at the next heartbeat.
    void reportSoon();

    /// Stops the link: it sends nothing more and does not reconnect.
    void stop();

    /// Returns whether the link is up: a frame was received on the present connection.
    bool connected() const;

    /// Requests a claim to an idempotency key; returns none if the link is down or there is no response within 2 s.
    asio::awaitable<std::optional<ClaimAnswer>> claim(ClaimRequest request);

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
