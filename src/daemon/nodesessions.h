/// The nodes that are connected to a control VM, and the directory of targets that they report.
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

/// A node that is connected, as the hooks see it.
struct NodeSession {
    std::map<std::string, std::uint64_t> sentRevisions; ///< Revision that was sent last, by firm.
    NodeWatch watch; ///< What the node told of the revision that it applies.
    TimePoint changeSeen; ///< When a change was noticed that the node does not apply yet.
    std::uint64_t seenRevision = 0; ///< The revision of that change.
    std::string sentView; ///< The list of control VMs that was sent last, encoded.
};

/// Takes reports of nodes and sends them what is new. Safe for use by several threads; the hooks run on any of them.
class NodeSessions
{
public:
    struct Options {
        Duration lease{}; ///< Time after which a node that does not report is dropped from the directory.
        Duration heartbeat{}; ///< Time between heartbeats to a node.
        std::uint32_t maxNodes = 0; ///< Most connections at once.
    };

    /// What a control VM adds to the sessions.
    struct Hooks {
        /// Takes a frame that is no report; false ends the connection.
        std::function<asio::awaitable<bool>(FrameStream &stream, NodeSession &session, const Frame &frame)> takeFrame;
        /// Queues what is new for a node besides the directory; returns when it wants to be asked again, zero if only
        /// at the next heartbeat.
        std::function<Duration(FrameStream &stream, NodeSession &session)> queueNews;
    };

    NodeSessions(Runtime &runtime, const Clock &clock, Options options, Hooks hooks);
    ~NodeSessions();

    /// Starts to listen.
    absl::Status start(const Address &address);

    /// Returns where it listens.
    const Address &address() const;

    /// Makes all sessions look for news.
    void wakeAll();

    /// Returns the last report of each connected node.
    std::vector<NodeReport> reports() const;

    /// Returns how many targets are listed.
    std::size_t targets() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
