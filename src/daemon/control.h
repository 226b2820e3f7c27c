/// The control daemon: accepts bundles from operators, keeps the directory, and keeps every node up to date.
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

/// One control VM's process. Start it once; it runs on the threads of the runtime.
class ControlDaemon
{
public:
    ControlDaemon(Runtime &runtime, const Clock &clock, ControlSettings settings, EventLog &log);
    ~ControlDaemon();

    /// Opens the store and starts to listen; the trust policy is the text of the trust file.
    absl::Status start(const std::string &trustText);

    /// Returns where nodes connect.
    Address nodeAddress() const;

    /// Returns where operators connect.
    Address operatorAddress() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
