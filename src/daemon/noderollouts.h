/// Roll-outs as a node takes part in them: reports to the leader how its target serves while a roll-out of the target's
/// service is in progress, and passes the leader's grants to the guard.
///
/// The guards follow the state of a roll-out by the bundle, to which addTo() adds it.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/localtargets.h"
#include "daemon/metrics.h"
#include "daemon/nodeservice.h"

#include <functional>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Reports samples and takes grants. Used on one event loop only.
class NodeRollouts : public NodeService
{
public:
    struct Options {
        std::string dataCentre; ///< Data centre of the node.
        std::string peerAddress; ///< Address at which the node receives datagrams.
    };

    /// Sends a datagram.
    using Send = std::function<void(const std::string &encoded, const Address &to)>;

    NodeRollouts(Options options, LocalTargets &local, EventLog &log, Metrics &metrics, Send send);

    /// Adds the last roll-out of each service to a bundle.
    static void addTo(Bundle *bundle, const std::vector<RolloutRecord> &rollouts);

    void applyIntent(const IntentUpdate &update, const Bundle &bundle) override;
    void tick(const std::string &leader, TimePoint now) override;
    bool receive(const Frame &datagram, TimePoint now) override;

private:
    void sendSamples(const RolloutTarget &target, const Address &leader);
    void send(RolloutSample *sample, GuardedTarget &guarded, const Address &leader);
    void updateMetrics(const RolloutTarget &target, const RolloutSample &sample);

    Options m_options;
    LocalTargets &m_local;
    EventLog &m_log;
    Metrics &m_metrics;
    Send m_send;
    std::vector<RolloutRecord> m_rollouts;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextSample;
};

}
