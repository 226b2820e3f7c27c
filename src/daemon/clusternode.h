/// The node process of a cluster: the HTTP front end for callers, the router, and the guard of the one target on the
/// same VM. The control VMs replicate the operators' intent (routes and services) and send it to every node.
///
/// Use it where one operator owns all services and each VM runs one target; NodeDaemon serves several firms and any
/// number of local targets. The formats of the intent, of caller headers and of target responses are not known here:
/// an adapter supplies them as hooks.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/heartbeatintake.h"
#include "net/guardedtarget.h"
#include "net/httpfrontend.h"
#include "net/httpserver.h"
#include "shallotrelay/bundle/bundle.h"
#include "shallotrelay/membership/targettracker.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// The format-specific functions that an adapter supplies to a node.
struct ClusterNodeHooks {
    /// Parses the operators' intent; returns an error if it is malformed.
    std::function<absl::StatusOr<Bundle>(const IntentUpdate &update)> parseIntent;
    /// Removes the header fields that only the system may set from a caller's request.
    std::function<void(std::vector<HeaderField> *fields)> removeReservedFields;
    /// Classifies the head of a target's response.
    std::function<ResponseCheck(const RequestHead &request, const ResponseHead &response)> checkResponse;
    /// Returns the header fields that the system adds to a request to a target.
    std::function<std::vector<HeaderField>(const RequestHead &request)> targetFields;
    /// Requests the identity and state of the target at an address; returns an error if it gives no usable response.
    std::function<asio::awaitable<absl::StatusOr<TargetProbe>>(Address address, std::string path)> probe;
};

/// One node of a cluster. Runs on the first event loop of the runtime.
class ClusterNode
{
public:
    struct Options {
        std::string name; ///< Name of the node.
        std::string dataCentre; ///< Data centre of its VM.
        std::string service; ///< Service of the local target; heartbeats of other services are refused.
        Address target; ///< Where the local target accepts requests.
        Address listen; ///< Where callers connect.
        Address peerListen; ///< Where other processes of the system connect, and where datagrams such as load beacons
                            ///< arrive.
        Address metricsListen; ///< Where metrics and health are served.
        std::vector<Address> seeds; ///< Control VMs that the node connects to at startup.
        double retryRatio = 0; ///< Retry budget of the whole cluster, as a fraction of the requests to a service.
        double retrySlack = 0; ///< Retries that the whole cluster may send beyond that fraction.
        double coldFactor
            = 1; ///< Maximum starts per second at a cold target, as a multiple of the rate that its service states.
        Duration remoteMegabyteCost{}; ///< Time of a caller that a megabyte between data centres is worth.
        double linkMbps = 0; ///< Bandwidth of the VM's link in Mbit/s; 0 if it is not limited.
        double probesPerSecond = 0; ///< Maximum probes per second of the local target; 0 allows health probes only.
        bool failClosed = false; ///< Whether known keys are refused while the node is out of touch with control.
        Duration revokeTime = std::chrono::seconds(5); ///< Time after which such a node accepts no key.
        Duration grace{}; ///< Time between the stop signal and the kill of the process.
        std::uint64_t seed = 0; ///< Seed of the random number generator.
    };

    ClusterNode(Runtime &runtime, const Clock &clock, Options options, ClusterNodeHooks hooks, EventLog &log);
    ~ClusterNode();

    /// Starts to listen on all addresses; returns the first error if one of them cannot be used.
    absl::Status start();

    /// Processes a heartbeat for the local target; returns whether it takes effect.
    AnnouncementResult announce(const TargetHeartbeat &heartbeat);

    /// Notes that the local target with this id is about to exit and accepts no new requests.
    void noteTargetLeaving(const std::string &id);

    /// Returns whether the node can serve callers: it has applied the operators' intent, has heard of its target or
    /// waited long enough for it, and is not stopping.
    bool ready() const;

    /// Begins a planned stop: requests in flight may complete.
    void beginStop();

    /// Returns whether the planned stop is over: callers had time to switch to other nodes, and either no request is in
    /// flight or the kill is imminent.
    bool stopped() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
