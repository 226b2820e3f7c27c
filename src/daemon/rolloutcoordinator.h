/// The leader's task of carrying out roll-outs: it collects the samples of the nodes, sends grants and submits the next
/// steps.
///
/// It keeps one RolloutController for each roll-out in progress and creates it anew after a change of the leader. While
/// no roll-out is in progress it sends and logs nothing.
#pragma once

#include "cli/settingvalue.h"
#include "daemon/eventlog.h"
#include "daemon/leaderservice.h"
#include "daemon/metrics.h"
#include "shallotrelay/rollout/rolloutcontroller.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Carries out the roll-outs of a cluster; runs on the event loop of the store.
class RolloutCoordinator : public LeaderService
{
public:
    /// What the coordinator needs of the control VM.
    struct Hooks {
        std::function<std::vector<RolloutRecord>()> rollouts; ///< Returns the last roll-out of each service.
        std::function<std::uint64_t()> revision; ///< Returns the revision of the operators' state.
        std::function<std::uint64_t()> term; ///< Returns the term of the leader.
        std::function<Duration()> timeOfDay; ///< Returns the time since 1970.
        /// Submits an order, and calls the function once its outcome is known or it has timed out.
        std::function<void(IntentOrder order, std::function<void()> done)> submit;
        std::function<void(const std::string &encoded, const Address &to)> send; ///< Sends a datagram.
    };

    RolloutCoordinator(const RolloutPolicy &policy, Hooks hooks, EventLog &log, Metrics &metrics);

    void tick(bool leads, TimePoint now) override;
    bool receive(const Frame &datagram, bool leads, TimePoint now) override;

private:
    /// When this control VM learned of a roll-out.
    struct Sighting {
        TimePoint at;
        Duration elapsed{}; ///< Time since the order at that moment, by the time of day.
        bool asLeader = false; ///< Whether this control VM led already when the order took effect.
    };

    /// A roll-out that this control VM controls.
    struct Active {
        RolloutController controller;
        RolloutRecord record;
        RolloutStage loggedStage;
        RolloutFinding loggedFinding = RolloutFinding::Undecided;
        RolloutStep loggedStep;
        bool isSubmitting = false;
    };

    void noteRollouts(const std::vector<RolloutRecord> &records, bool leads, TimePoint now);
    Active &activeOf(const RolloutRecord &record, TimePoint now);
    void advance(Active &active, TimePoint now);
    void submit(Active &active, const RolloutStep &step);
    void logProgress(Active &active);
    void logStep(Active &active, const RolloutStep &step);
    void updateMetrics(const Active &active, TimePoint now);
    void logEnd(const RolloutRecord &record);

    RolloutPolicy m_policy;
    Hooks m_hooks;
    EventLog &m_log;
    Metrics &m_metrics;
    std::map<std::uint64_t, Sighting> m_sightings; // by id of the roll-out
    std::map<std::uint64_t, Active> m_active; // by id of the roll-out
    std::uint64_t m_term = 0; // in which this control VM led at the last tick, else 0
    bool m_hasTicked = false;
};

}
