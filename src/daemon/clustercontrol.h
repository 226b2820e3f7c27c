/// One of several control VMs that hold the operators' state together, and the directory of the nodes.
///
/// How operators speak is a hook: it gets each request on the operators' address and uses store() to answer it.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/intentstore.h"
#include "net/httpserver.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// One control VM's process of a cluster. Runs on the first event loop of the runtime.
class ClusterControl
{
public:
    struct Options {
        std::string name; ///< Name of this control VM.
        Address listen; ///< Where other processes connect.
        Address operatorListen; ///< Where operators connect.
        Address metricsListen; ///< Where metrics and health are served.
        std::vector<Address> seeds; ///< Operators' addresses of the control VMs at the start.
        bool firstStart = false; ///< Whether the whole system starts for the first time.
        std::string dataFolder; ///< Where the operators' state is kept.
        std::uint64_t seed = 0; ///< Seed of the random generator.
    };

    /// Answers a request of an operator.
    using OnOrder = std::function<asio::awaitable<HttpReply>(IntentStore &store, HttpRequest request)>;

    ClusterControl(Runtime &runtime, const Clock &clock, Options options, OnOrder onOrder, EventLog &log);
    ~ClusterControl();

    /// Opens the store and starts to listen.
    absl::Status start();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
