/// The control daemon: accepts bundles from operators, maintains the directory of targets and sends both to all nodes.
///
/// Use it on the single control VM of a system; see ClusterControl for several control VMs.
#pragma once

#include "daemon/bundlestore.h"
#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "net/httpserver.h"
#include "net/runtime.h"
#include "shallotrelay/membership/directory.h"
#include "shallotrelay/settings.h"

#include <memory>

namespace shallotrelay
{

/// The process of the control VM; call start() once. It runs on the threads of the runtime.
class ControlDaemon
{
public:
    ControlDaemon(Runtime &runtime, const Clock &clock, ControlSettings settings, EventLog &log);
    ~ControlDaemon();

    /// Opens the stores and starts to listen. `trustText` is the content of the trust file; fails if it is invalid, or
    /// if a store or an address cannot be opened.
    absl::Status start(const std::string &trustText);

    /// Returns the address for nodes.
    Address nodeAddress() const;

    /// Returns the address for operators.
    Address operatorAddress() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
