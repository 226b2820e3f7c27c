/// A node of a cluster: door for callers, router, and guard of the one target beside it, with the state that control
/// VMs hold together.
///
/// How callers, the target and the operators' state are spoken of is left to hooks; an adapter fills them in.
#pragma once

#include "daemon/eventlog.h"
#include "net/door.h"
#include "net/guardedtarget.h"
#include "net/httpserver.h"
#include "shallotrelay/bundle/bundle.h"
#include "shallotrelay/membership/targettracker.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// What an adapter adds to a node.
struct ClusterHooks {
    /// Reads the operators' state.
    std::function<absl::StatusOr<Bundle>(const IntentUpdate &update)> parseIntent;
    /// Removes from a caller's fields those that only the system may set.
    std::function<void(std::vector<HeaderField> *fields)> cleanFields;
    /// Judges the head of a target's answer.
    std::function<AnswerCheck(const RequestHead &request, const ResponseHead &answer)> checkAnswer;
    /// Returns the fields that a request to a target gets from the system.
    std::function<std::vector<HeaderField>(const RequestHead &request)> targetFields;
    /// Asks the target at an address for its identity and state.
    std::function<asio::awaitable<absl::StatusOr<TargetProbe>>(Address address, std::string path)> probe;
};

/// What became of an announcement of the target.
enum class AnnouncementResult {
    Taken, ///< The guard follows it.
    Stale, ///< It is older than what is known.
};

/// One node's process of a cluster. Runs on the first event loop of the runtime.
class ClusterNode
{
public:
    struct Options {
        std::string name; ///< Name of the node.
        std::string dataCentre; ///< Data centre of its VM.
        std::string service; ///< Service of the target beside it, until the target says otherwise.
        Address target; ///< Where the target beside it takes requests.
        Address listen; ///< Where callers connect.
        Address peerListen; ///< Where other processes connect, and where beacons arrive.
        Address metricsListen; ///< Where metrics and health are served.
        std::vector<Address> seeds; ///< Where nodes find control VMs at the start.
        double retryRatio = 0; ///< Retries that all nodes share, as a share of a service's requests.
        double retrySlack = 0; ///< Retries that all nodes share beyond that share.
        double coldFactor
            = 1; ///< Starts a second that a cold target may get at most, relative to what its service states.
        double probesPerSecond = 0; ///< Probes a second that a target bears; 0 asks for its health alone.
        Duration grace{}; ///< Time between the stop signal and the kill.
        std::uint64_t seed = 0; ///< Seed of the random generator.
    };

    ClusterNode(Runtime &runtime, const Clock &clock, Options options, ClusterHooks hooks, EventLog &log);
    ~ClusterNode();

    /// Starts to listen.
    absl::Status start();

    /// Takes in what the target beside the node says of itself.
    AnnouncementResult announce(const TargetHeartbeat &heartbeat);

    /// Takes in that the target will end.
    void targetLeaves(const std::string &id);

    /// Returns whether the node can serve callers: it knows the operators' state and is not stopping.
    bool ready() const;

    /// Begins a planned stop.
    void beginStop();

    /// Returns whether the planned stop is over: nothing is in progress and callers have had time to go elsewhere.
    bool stopped() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
