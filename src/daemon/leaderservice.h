/// A task that only the leader of the control VMs performs, such as handing out shares of a limit to all nodes.
///
/// ClusterControl passes each of its services the time at a fixed interval and the datagrams that nodes send to the
/// leader.
#pragma once

#include "net/framestream.h"
#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// Runs on the event loop of the store.
class LeaderService
{
public:
    virtual ~LeaderService() = default;

    /// Called every 100 ms, also while another control VM leads.
    virtual void tick(bool leads, TimePoint now) = 0;

    /// Processes a datagram of a node; returns whether its type belongs to this service.
    virtual bool receive(const Frame &datagram, bool leads, TimePoint now) = 0;
};

}
