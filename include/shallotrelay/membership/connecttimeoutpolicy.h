/// Timeouts for connecting to a control VM, which grow with repeated attempts.
///
/// When many VMs start at about the same time, those that are not up yet drop packets without a reply. The operating
/// system retransmits a lost connection request only after one second, so an attempt that times out sooner and is
/// repeated reaches the VM as soon as it is up. Timeouts grow so that connections over a slow network succeed as well.
#pragma once

#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// Computes the timeout of each connection attempt.
class ConnectTimeoutPolicy
{
public:
    /// Returns the timeout of the next attempt, which grows with the number of attempts since the last success.
    Duration nextTimeout();

    /// Resets the timeout after a connection was established.
    void reset();

private:
    int m_attempts = 0;
};

}
