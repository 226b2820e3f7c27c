#include "daemon/rolloutcoordinator.h"

#include "shallotrelay/rollout/rolloutregister.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

LogFields fieldsOf(const RolloutRecord &record)
{
    return LogFields().add("service", record.service).add("version", record.version).add("rollout", record.id);
}

IntentOrder orderFor(const RolloutRecord &record, const RolloutStep &step)
{
    IntentOrder out;
    out.kind = step.kind == RolloutStep::Kind::Switch ? IntentKind::RolloutSwitch : IntentKind::RolloutEnd;
    out.rollout = record;
    out.rollout.state = step.state;
    return out;
}

std::string nameOf(const RolloutStep &step)
{
    if (step.kind == RolloutStep::Kind::Switch) {
        return "switch";
    }
    return step.state == RolloutState::Succeeded ? "succeed" : "roll-back";
}

}

RolloutCoordinator::RolloutCoordinator(const RolloutPolicy &policy, Hooks hooks, EventLog &log, Metrics &metrics)
    : m_policy(policy)
    , m_hooks(std::move(hooks))
    , m_log(log)
    , m_metrics(metrics)
{
}

void RolloutCoordinator::tick(bool leads, TimePoint now)
{
    const std::uint64_t term = leads ? m_hooks.term() : 0;
    if (term != m_term) {
        m_active.clear();
    }
    const std::vector<RolloutRecord> records = m_hooks.rollouts();
    noteRollouts(records, leads && term == m_term, now);
    m_term = term;
    m_hasTicked = true;
    if (!leads) {
        return;
    }
    for (const RolloutRecord &it : records) {
        if (isInProgress(it.state)) {
            Active &active = activeOf(it, now);
            active.record = it;
            advance(active, now);
        } else if (m_active.erase(it.id) != 0) {
            logEnd(it);
        }
    }
}

/// The leader at the time of the order needs no time of day to know the elapsed time.
void RolloutCoordinator::noteRollouts(const std::vector<RolloutRecord> &records, bool leads, TimePoint now)
{
    std::map<std::uint64_t, Sighting> sightings;
    for (const RolloutRecord &it : records) {
        if (!isInProgress(it.state)) {
            continue;
        }
        if (const auto known = m_sightings.find(it.id); known != m_sightings.end()) {
            sightings.insert(*known);
            continue;
        }
        const Duration duration = std::chrono::milliseconds(it.durationMs);
        const Duration elapsed = m_hooks.timeOfDay() - std::chrono::milliseconds(it.startedAtMs);
        const bool asLeader = leads && m_hasTicked;
        sightings[it.id]
            = {now, asLeader ? Duration::zero() : std::clamp(elapsed, Duration::zero(), duration), asLeader};
    }
    m_sightings = std::move(sightings);
}

RolloutCoordinator::Active &RolloutCoordinator::activeOf(const RolloutRecord &record, TimePoint now)
{
    if (const auto it = m_active.find(record.id); it != m_active.end()) {
        return it->second;
    }
    const Sighting &sighting = m_sightings.at(record.id);
    const bool isFirst = sighting.asLeader && sighting.at == now;
    const RolloutController::Start start{sighting.elapsed + (now - sighting.at), !isFirst};
    const RolloutController controller(record, m_policy, start, now);
    m_log.write(LogLevel::Info, isFirst ? "rollout-begin" : "rollout-take-over",
                fieldsOf(record)
                    .add("duration_s", record.durationMs / 1000.0)
                    .add("elapsed_s", toSeconds(start.elapsed))
                    .add("share", m_policy.share)
                    .add("slack", m_policy.slack));
    return m_active.emplace(record.id, Active{controller, record, controller.stage(), {}, {}, false}).first->second;
}

void RolloutCoordinator::advance(Active &active, TimePoint now)
{
    if (active.record.state == RolloutState::Switching) {
        active.controller.setSwitching(m_hooks.revision());
    }
    const RolloutStep step = active.controller.next(now);
    logProgress(active);
    updateMetrics(active, now);
    const bool isDone = step.kind == RolloutStep::Kind::Switch && active.record.state == RolloutState::Switching;
    if (step.kind != RolloutStep::Kind::None && !isDone && !active.isSubmitting) {
        logStep(active, step);
        submit(active, step);
    }
}

void RolloutCoordinator::submit(Active &active, const RolloutStep &step)
{
    active.isSubmitting = true;
    m_hooks.submit(orderFor(active.record, step), [this, id = active.record.id] {
        if (const auto it = m_active.find(id); it != m_active.end()) {
            it->second.isSubmitting = false;
        }
    });
}

bool RolloutCoordinator::receive(const Frame &datagram, bool leads, TimePoint now)
{
    if (datagram.type != RolloutSample::FrameType) {
        return false;
    }
    const auto sample = decodeAs<RolloutSample>(datagram);
    const auto it = leads && sample.ok() ? m_active.find(sample->rollout) : m_active.end();
    if (it == m_active.end()) {
        return true;
    }
    auto grant = it->second.controller.add(*sample, now);
    const auto address = parseAddress(sample->peerAddress);
    if (grant && address.ok()) {
        grant->term = m_term;
        m_hooks.send(encodeFrame(*grant), *address);
    }
    return true;
}

void RolloutCoordinator::logProgress(Active &active)
{
    const RolloutController &controller = active.controller;
    if (active.loggedStage != controller.stage()) {
        active.loggedStage = controller.stage();
        m_log.write(LogLevel::Info, "rollout-stage",
                    fieldsOf(active.record)
                        .add("stage", toString(controller.stage()))
                        .add("allowed", controller.allowed())
                        .add("limit", controller.limit()));
    }
    if (active.loggedFinding != controller.verdict().finding) {
        active.loggedFinding = controller.verdict().finding;
        m_log.write(LogLevel::Info, "rollout-verdict",
                    fieldsOf(active.record)
                        .add("verdict", toString(active.loggedFinding))
                        .add("figures", controller.describeVerdict()));
    }
}

void RolloutCoordinator::logStep(Active &active, const RolloutStep &step)
{
    if (active.loggedStep.kind == step.kind && active.loggedStep.state == step.state) {
        return;
    }
    active.loggedStep = step;
    m_log.write(LogLevel::Info, "rollout-step",
                fieldsOf(active.record).add("step", nameOf(step)).add("reason", step.reason));
}

void RolloutCoordinator::logEnd(const RolloutRecord &record)
{
    m_log.write(LogLevel::Info, "rollout-end",
                fieldsOf(record).add("state", record.state == RolloutState::Succeeded ? "succeeded" : "rolled-back"));
}

void RolloutCoordinator::updateMetrics(const Active &active, TimePoint now)
{
    const std::string &service = active.record.service;
    const auto set = [&](const std::string &name, const std::string &help, const std::string &version, double value) {
        m_metrics.gauge(name, help, {{"service", service}, {"version", version}}).Set(value);
    };
    double newStarts = 0;
    double allStarts = 0;
    for (const RolloutSide side : {RolloutSide::Old, RolloutSide::New}) {
        const RolloutVersionFigures figures = active.controller.figures(side, now);
        const std::string version = side == RolloutSide::New ? active.record.version : "";
        const auto starts = static_cast<double>(figures.starts);
        allStarts += starts;
        newStarts = starts;
        set("shallotrelay_rollout_starts", "Requests started since the order of the roll-out, old version unnamed",
            version, starts);
        set("shallotrelay_rollout_failures", "Failures counted since the order of the roll-out", version,
            static_cast<double>(figures.failures));
        set("shallotrelay_rollout_ready_slots", "Slots of targets that are ready", version, figures.readySlots);
    }
    set("shallotrelay_rollout_allowed", "Starts allowed to the new version", active.record.version,
        active.controller.allowed());
    set("shallotrelay_rollout_share", "Share of all starts at the new version", active.record.version,
        allStarts == 0 ? 0 : newStarts / allStarts);
}

}
