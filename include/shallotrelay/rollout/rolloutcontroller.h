/// Decides on the stages of a roll-out: how many requests the targets of the new version may start, when the old
/// version stops to get requests, and how the roll-out ends.
///
/// Load pattern: a service under full load receives a new version that may be bad in any way, within a time limit that
/// may be as short as 12 s, while nodes restart and freeze, datagrams are lost and the leader changes. Few targets
/// serve as canaries, each loaded like one of the old version, until the evidence is good and faults that show later
/// had time to show. Then all targets of the new version receive a growing share, still within the bound of exposure,
/// and the load moves once they have enough slots. A bad version is rolled back at any stage.
///
///     RolloutController controller(record, policy, {elapsed, takesOver}, now);
///     const auto grant = controller.add(sample, now); // send it to the node, if there is one
///     const RolloutStep step = controller.next(now); // submit it as an order
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"
#include "shallotrelay/rollout/canarybudget.h"
#include "shallotrelay/rollout/rolloutjudge.h"
#include "shallotrelay/rollout/rolloutpolicy.h"
#include "shallotrelay/rollout/rollouttotals.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace shallotrelay
{

/// The stage of a roll-out.
enum class RolloutStage {
    Settling, ///< A new leader listens before it grants anything.
    Canary, ///< Few targets of the new version receive requests.
    Ramp, ///< All targets of the new version receive a growing share.
    Switching, ///< Targets of the old version finish their requests.
};

/// Returns the stage in lower case, for logs.
std::string toString(RolloutStage stage);

/// The next step of a roll-out.
struct RolloutStep {
    /// Types of steps.
    enum class Kind {
        None, ///< Nothing to do.
        Switch, ///< Withdraw the old version.
        End, ///< End the roll-out.
    };

    Kind kind = Kind::None; ///< Type of the step.
    RolloutState state = RolloutState::Running; ///< How the roll-out ends.
    std::string reason; ///< The figures that decided, for logs.
};

/// Figures of one version in a roll-out.
struct RolloutVersionFigures {
    std::uint64_t starts = 0; ///< Number of requests that targets started.
    std::uint64_t failures = 0; ///< Number of failures that were counted.
    std::size_t targets = 0; ///< Number of targets that report.
    std::uint32_t readySlots = 0; ///< Sum of the slots of targets that are ready.
    std::uint32_t open = 0; ///< Number of requests that run or are queued.
};

/// Controls one roll-out on the leader; not thread-safe.
class RolloutController
{
public:
    /// How the leader came to control the roll-out.
    struct Start {
        Duration elapsed{}; ///< Time since the order.
        bool takesOver = false; ///< Whether another leader may have granted starts before.
    };

    RolloutController(RolloutRecord record, const RolloutPolicy &policy, Start start, TimePoint now);

    /// Processes a sample of a node; returns the grant to send to it, if any, without the term of the leader.
    std::optional<RolloutGrant> add(const RolloutSample &sample, TimePoint now);

    /// Records that the switch is in effect as of a revision of the operators' state.
    void setSwitching(std::uint64_t revision);

    /// Returns the step to take; it is repeated until it has taken effect. Call it every 100 ms.
    RolloutStep next(TimePoint now);

    /// Returns the current stage.
    RolloutStage stage() const;

    /// Returns the verdict on the new version so far.
    const RolloutVerdict &verdict() const;

    /// Returns the figures of a version.
    RolloutVersionFigures figures(RolloutSide side, TimePoint now) const;

    /// Returns the number of starts allowed to the new version so far.
    double allowed() const;

    /// Returns the number of starts that the bound of exposure permits now.
    double limit() const;

    /// Returns the verdict and its figures as text, for logs.
    std::string describeVerdict() const;

private:
    struct Target {
        RolloutSide side = RolloutSide::Old;
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t starts = 0;
        std::uint32_t slots = 0;
        std::uint32_t open = 0;
        bool isReady = false;
        int drainedReports = 0;
        TimePoint lastHeard;
        std::map<std::string, RolloutCounts> counted; // by route
    };

    void update(Target &target, const RolloutSample &sample, TimePoint now);
    void judge(Target &target, const RolloutSample &sample);
    std::optional<RolloutGrant> grantFor(const Target &target, const RolloutSample &sample);
    std::uint64_t stepFor(const Target &target) const;
    double room() const;
    double burst() const;
    double canaryMost();
    double otherMost() const;
    void noteTick(TimePoint now);
    void endInterval(TimePoint now);
    void measureOldLoad(TimePoint now);
    void chooseCanaries(TimePoint now);
    void updateStage(TimePoint now);
    RolloutStep decideSwitch(TimePoint now) const;
    RolloutStep decideEnd() const;
    RolloutStep rollBack(const std::string &why) const;
    bool hasCapacity(TimePoint now) const;
    bool isDrained(TimePoint now) const;
    bool lacksResponses() const;
    bool expectsResponses() const;
    bool awaitsResponses(TimePoint now) const;
    bool isPresent(const Target &target, TimePoint now) const;
    double progress(TimePoint now) const;
    double boundPart() const;

    RolloutRecord m_record;
    RolloutPolicy m_policy;
    bool m_takesOver;
    TimePoint m_startedAt; // of the order
    TimePoint m_listeningSince;
    TimePoint m_lastTick;
    TimePoint m_intervalStart;
    TimePoint m_lastHeard;
    Duration m_interval;
    RolloutStage m_stage;
    double m_rampPart = 0;
    std::uint64_t m_switchRevision = 0;
    TimePoint m_switchedAt;
    std::optional<TimePoint> m_excessSince; // since when there are many bad responses
    RolloutJudge m_judge;
    RolloutTotals m_totals;
    CanaryBudget m_budget;
    std::map<std::string, Target> m_targets;
    std::set<std::string> m_canaries;
    std::size_t m_extraCanaries = 0;
    int m_narrowIntervals = 0; // in which the evidence came from too few targets
    double m_canarySlots = 0; // largest number of slots of a target of the new version
    bool m_isBurst = false;
    std::uint64_t m_oldStarts = 0; // of the old version in the current interval
    std::uint64_t m_oldFailures = 0;
    std::uint64_t m_newFailures = 0;
    double m_oldStartsPerSlot = 0; // per second
    double m_startsPerSecond = 0; // of both versions
    double m_peakOpen = 0; // of the old version
};

}
