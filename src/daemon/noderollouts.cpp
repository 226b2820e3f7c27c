#include "daemon/noderollouts.h"

#include "net/beaconsocket.h"
#include "wire/frame.h"

#include <algorithm>
#include <utility>

namespace shallotrelay
{
namespace
{

/// Interval between the samples of a target.
constexpr Duration SampleInterval = std::chrono::milliseconds(250);

}

NodeRollouts::NodeRollouts(Options options, LocalTargets &local, EventLog &log, Metrics &metrics, Send send)
    : m_options(std::move(options))
    , m_local(local)
    , m_log(log)
    , m_metrics(metrics)
    , m_send(std::move(send))
{
}

void NodeRollouts::addTo(Bundle *bundle, const std::vector<RolloutRecord> &rollouts)
{
    for (const RolloutRecord &it : rollouts) {
        const auto service = bundle->services.find(it.service);
        if (service != bundle->services.end()) {
            service->second.rollout = it;
        }
    }
}

void NodeRollouts::applyIntent(const IntentUpdate &update, const Bundle &)
{
    for (const RolloutRecord &it : update.rollouts) {
        if (std::find(m_rollouts.begin(), m_rollouts.end(), it) == m_rollouts.end()) {
            m_log.write(LogLevel::Info, "rollout",
                        LogFields()
                            .add("service", it.service)
                            .add("rollout", it.id)
                            .add("version", it.version)
                            .add("state", toString(it.state))
                            .add("revision", update.revision));
        }
    }
    m_rollouts = update.rollouts;
    // The leader waits for samples under this revision.
    m_nextSample = TimePoint{};
}

void NodeRollouts::tick(const std::string &leader, TimePoint now)
{
    if (m_rollouts.empty() || now < m_nextSample) {
        return;
    }
    m_nextSample = now + SampleInterval;
    const auto address = parseAddress(leader);
    if (!address.ok()) {
        return;
    }
    for (const RolloutTarget &it : m_local.rolloutTargets()) {
        sendSamples(it, *address);
    }
}

void NodeRollouts::sendSamples(const RolloutTarget &target, const Address &leader)
{
    RolloutSample sample;
    sample.service = target.service;
    sample.rollout = target.terms.rollout;
    sample.target = target.name;
    sample.version = target.version;
    sample.dataCentre = m_options.dataCentre;
    sample.peerAddress = m_options.peerAddress;
    sample.incarnation = target.terms.incarnation;
    sample.slots = target.slots;
    target.guarded->withGuard([&](Guard &guard, TimePoint now) {
        const LoadReport load = guard.load(now);
        sample.revision = load.revision;
        sample.ready = load.state == TargetState::Ready && !guard.cold(now);
        sample.open = load.inFlight + load.queued;
        sample.starts = guard.startAllowance().starts();
        sample.allowed = guard.startAllowance().allowed();
    });
    std::vector<RolloutRouteSample> routes = target.counts->routes();
    updateMetrics(target, sample);
    for (RolloutRouteSample &it : routes) {
        sample.routes.push_back(std::move(it));
        if (encodeFrame(sample).size() <= MaxBeaconBytes) {
            continue;
        }
        RolloutRouteSample last = std::move(sample.routes.back());
        sample.routes.pop_back();
        send(&sample, *target.guarded, leader);
        sample.routes.push_back(std::move(last));
    }
    send(&sample, *target.guarded, leader);
}

/// Sends a sample and empties the list of its routes.
void NodeRollouts::send(RolloutSample *sample, GuardedTarget &guarded, const Address &leader)
{
    sample->sequence = ++m_sequence;
    guarded.withGuard([&](Guard &guard, TimePoint now) { guard.startAllowance().recordSample(sample->sequence, now); });
    m_send(encodeFrame(*sample), leader);
    sample->routes.clear();
}

bool NodeRollouts::receive(const Frame &datagram, TimePoint)
{
    if (datagram.type != RolloutGrant::FrameType) {
        return false;
    }
    const auto grant = decodeMessage<RolloutGrant>(datagram.payload);
    if (!grant.ok()) {
        return true;
    }
    for (const RolloutTarget &it : m_local.rolloutTargets()) {
        if (it.service == grant->service && it.name == grant->target) {
            it.guarded->withGuard([&](Guard &guard, TimePoint) { guard.startAllowance().applyGrant(*grant); });
        }
    }
    return true;
}

void NodeRollouts::updateMetrics(const RolloutTarget &target, const RolloutSample &sample)
{
    const Metrics::Labels labels{{"version", target.version}};
    std::uint64_t failures = 0;
    for (const RolloutRouteSample &it : target.counts->routes()) {
        failures += it.failures;
    }
    m_metrics
        .gauge("shallotrelay_rollout_starts",
               "Requests that the guard of the local target started since the node learned of the roll-out", labels)
        .Set(static_cast<double>(sample.starts));
    m_metrics
        .gauge("shallotrelay_rollout_failures",
               "Requests that the local target failed since the node learned of the roll-out", labels)
        .Set(static_cast<double>(failures));
    const double left = sample.allowed > sample.starts ? static_cast<double>(sample.allowed - sample.starts) : 0;
    m_metrics
        .gauge("shallotrelay_rollout_allowance", "Starts that the last grant of the leader leaves to the local target",
               labels)
        .Set(left);
}

}
