/// The control daemon for clusters: one of several control VMs that replicate the operators' state, with a directory of
/// the nodes.
///
/// Use it where the state must survive the loss of control VMs. The protocol of the operators is defined by a handler,
/// which gets each request on the operators' address together with the store.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/intentstore.h"
#include "daemon/rolloutapi.h"
#include "net/httpserver.h"
#include "shallotrelay/bundle/bundle.h"
#include "shallotrelay/rollout/rolloutpolicy.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// The process of a control VM of a cluster; runs on the first event loop of the runtime.
class ClusterControl
{
public:
    struct Options {
        std::string name; ///< Name of this control VM, for logs.
        Address listen; ///< Address for nodes and other control VMs.
        Address operatorListen; ///< Address for operators.
        Address metricsListen; ///< Address for metrics and health checks.
        std::vector<Address> seeds; ///< Operators' addresses of the initial control VMs.
        bool firstStart = false; ///< Whether the system is started for the first time.
        std::string dataFolder; ///< Folder of the operators' state.
        /// Returns whether a document of the operators' state has the service.
        std::function<bool(const std::string &document, const std::string &service)> hasService;
        /// Parses the operators' state, for the quotas of workspaces; without it, none are kept.
        std::function<absl::StatusOr<Bundle>(const IntentUpdate &update)> parseState;
        std::uint64_t seed = 0; ///< Seed of the random generator.
        RolloutPolicy rollouts{}; ///< Bounds of roll-outs; a share of 0 takes no orders of roll-outs.
    };

    /// Handles a request of an operator and returns the response. Requests to RolloutApi::handle() are not passed to
    /// it.
    using OperatorHandler
        = std::function<asio::awaitable<HttpResponse>(IntentStore &store, RolloutApi &rollouts, HttpRequest request)>;

    ClusterControl(Runtime &runtime, const Clock &clock, Options options, OperatorHandler operatorHandler,
                   EventLog &log);
    ~ClusterControl();

    /// Opens the store and starts to listen; fails if the store or an address cannot be opened.
    absl::Status start();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
