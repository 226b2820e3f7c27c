/// Connections of nodes to a control VM, and the directory of the targets that the nodes report.
///
/// Use it in a control daemon, which adds its own messages through hooks.
#pragma once

#include "net/framestream.h"
#include "net/runtime.h"
#include "shallotrelay/membership/directory.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// State of the connection of a node that the hooks use.
struct NodeSession {
    std::map<std::string, std::uint64_t> sentRevisions; ///< Last revision sent, by firm.
    NodeWatch watch; ///< The revision that the node reported as applied, and whether this control VM is its first one.
    TimePoint pendingSince; ///< When pendingRevision was first found.
    std::uint64_t pendingRevision = 0; ///< The last revision that was found not yet applied by the node.
    std::string sentView; ///< The last list of control VMs sent, encoded.
};

/// Receives reports of nodes and sends updates to them. Thread-safe; the hooks may run on any thread of the runtime.
class NodeSessions
{
public:
    struct Options {
        /// Time without a report after which a node is removed from the directory; also the read timeout of a
        /// connection.
        Duration lease{};
        Duration heartbeat{}; ///< Interval between heartbeats to a node.
        std::uint32_t maxNodes = 0; ///< Limit of concurrent connections; further ones are closed.
    };

    /// Message handling that a control daemon adds to the sessions.
    struct Hooks {
        /// Handles a frame other than a report; false closes the connection.
        std::function<asio::awaitable<bool>(FrameStream &stream, NodeSession &session, const Frame &frame)> handleFrame;
        /// Queues updates for a node other than those of the directory; returns the delay until the next call, zero for
        /// the next heartbeat.
        std::function<Duration(FrameStream &stream, NodeSession &session)> queueUpdates;
    };

    NodeSessions(Runtime &runtime, const Clock &clock, Options options, Hooks hooks);
    ~NodeSessions();

    /// Starts to listen; fails if the address cannot be opened.
    absl::Status start(const Address &address);

    /// Returns the address on which connections are accepted.
    const Address &address() const;

    /// Wakes all sessions to check for updates.
    void wakeAll();

    /// Returns the last report of each connected node.
    std::vector<NodeReport> reports() const;

    /// Returns the number of targets in the directory.
    std::size_t targetCount() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
