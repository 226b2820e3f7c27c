/// A part of a node that follows the operators' state and exchanges datagrams with the leader of the control VMs.
///
/// ClusterNode passes each of its services the state, the time at a fixed interval and the datagrams that it does not
/// process itself.
#pragma once

#include "net/framestream.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/bundle/bundle.h"
#include "shallotrelay/messages.h"

#include <string>

namespace shallotrelay
{

/// Runs on the event loop of the node.
class NodeService
{
public:
    virtual ~NodeService() = default;

    /// Applies a new revision of the operators' state and the bundle that was parsed from it.
    virtual void applyIntent(const IntentUpdate &update, const Bundle &bundle) = 0;

    /// Called every 20 ms with the address of the leader, which is empty if no leader is known.
    virtual void tick(const std::string &leader, TimePoint now) = 0;

    /// Processes a datagram; returns whether its type belongs to this service.
    virtual bool receive(const Frame &datagram, TimePoint now) = 0;
};

}
