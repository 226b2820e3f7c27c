/// How long a process waits for a connection to a control VM, attempt by attempt.
///
/// The load pattern: many VMs start at about the same time, and those that are not up yet drop packets without an
/// answer. The operating system sends a lost connection request again after a second, so an attempt that is given up
/// sooner and made anew finds the VM as soon as it is up. Attempts grow longer, so that a slow network is borne as
/// well.
#pragma once

#include "shallotrelay/base/clock.h"

namespace shallotrelay
{

/// Tells the time for the next attempt.
class ConnectPatience
{
public:
    /// Returns the time after which the next attempt is given up; it grows with each attempt since the last success.
    Duration next();

    /// Notes that a connection was made.
    void succeeded();

private:
    int m_failed = 0;
};

}
