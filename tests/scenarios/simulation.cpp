#include "scenarios/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

namespace shallotrelay
{
namespace
{

constexpr Duration LocalLatency = 50us;
constexpr Duration SameDataCentreLatency = 300us;
constexpr Duration SilenceTimeout = 2s;
constexpr Duration FailFastTime = 1ms;
constexpr Duration RestartTime = 200ms;
constexpr Duration ColdTime = 2s;
constexpr Duration ColdRamp = 500ms;
constexpr Duration ResetDelay = 100us;
constexpr Duration TickInterval = 10ms;
constexpr Duration MaxPropagationDelay = 100ms;
constexpr Duration MaxTakeOutTime = 4s;
constexpr Duration MaxQueueWait = 1s;
constexpr double WorkSigma = 0.5;
constexpr std::uint32_t MaxNaiveAttempts = 3;
constexpr Duration WarmUp = 60s;

/// Simulated target and its guard. Its fields are the actual state, which nodes learn with a delay.
struct FakeTarget {
    std::string name;
    std::string dataCentre;
    std::size_t node = 0;
    double slowFactor = 1;
    bool failsFast = false;
    bool down = false;
    bool leaving = false;
    TimePoint coldUntil;
    std::uint64_t boot = 1;
    std::set<std::uint64_t> running;
    Guard guard;
    bool outOfServiceByBundle = false;
    TimePoint outOfServiceSince = TimePoint::max();
};

/// Simulated node with its own, possibly outdated, view of the targets.
struct FakeNode {
    std::string name;
    std::string dataCentre;
    ServiceRouter router;
    RetryBudget budget;
    Random random;
    std::set<std::string> outOfService;
    std::set<std::string> leaving;
};

enum class CallOutcome { Succeeded, NotRun, Unknown, Failed };

struct Call {
    std::uint64_t id = 0;
    bool nonIdempotent = false;
    std::size_t node = 0;
    double work = 0; // service time at a healthy target, in seconds
    TimePoint sent;
    TimePoint deadline;
    bool completed = false;
    std::uint32_t starts = 0;
    std::uint32_t naiveAttempts = 0;
    Execution execution = Execution::NotRun;
    std::unique_ptr<CallPlan> plan;
};

/// One attempt of a call at a target.
struct Attempt {
    std::uint64_t id = 0;
    Call *call = nullptr;
    FakeTarget *target = nullptr;
    TimePoint begun;
    bool ended = false;
    bool mayQueue = false;
    TimePoint started;
};

struct Event {
    TimePoint when;
    std::uint64_t sequence = 0;
    std::function<void()> action;

    bool operator<(const Event &other) const
    {
        return std::tie(when, sequence) > std::tie(other.when, other.sequence);
    }
};

}

const char *toString(SimulationPolicy policy)
{
    switch (policy) {
    case SimulationPolicy::Ours:
        return "ours";
    case SimulationPolicy::NoQueue:
        return "no_queue";
    case SimulationPolicy::PowerOfTwo:
        return "power_of_two";
    case SimulationPolicy::NoHealth:
        return "no_health";
    case SimulationPolicy::Naive:
        return "naive";
    case SimulationPolicy::Oracle:
        return "oracle";
    }
    return "invalid";
}

SimulationOptions tiparSimulation()
{
    return {};
}

SimulationOptions consorcioSimulation()
{
    SimulationOptions options;
    options.service = "fichas";
    options.dataCentres = {"recife-a", "recife-b", "fortaleza", "salvador"};
    options.targetCount = 7;
    options.slots = 17;
    options.callerLatency = 1ms;
    return options;
}

struct Simulation::Impl {
    explicit Impl(SimulationOptions o)
        : options(std::move(o))
        , random(options.seed)
        , arrivals(options.seed + 1)
        , now(TimePoint(WarmUp))
        , start(now)
    {
        for (std::uint32_t i = 0; i < options.targetCount; ++i) {
            addTarget(i);
        }
        for (auto &it : nodes) {
            refreshRouter(*it);
        }
        for (auto &it : targets) {
            // All targets completed their cold start before the run.
            it->guard.setPolicy(policyOf(*it), now - WarmUp);
            announce(*it, now - WarmUp);
        }
    }

    bool usesGuards() const
    {
        return options.policy != SimulationPolicy::Naive && options.policy != SimulationPolicy::Oracle;
    }

    void addTarget(std::uint32_t index)
    {
        auto target = std::make_unique<FakeTarget>();
        target->name = fmt::format("{}-{}", options.service, index + 1);
        target->dataCentre = options.dataCentres[index % options.dataCentres.size()];
        target->node = index;
        target->coldUntil = start;
        RouterOptions router;
        router.dataCentre = target->dataCentre;
        router.useFailures = options.policy != SimulationPolicy::NoHealth;
        router.useLatency = options.policy != SimulationPolicy::NoHealth;
        router.strategy = options.policy == SimulationPolicy::PowerOfTwo ? RoutingStrategy::PowerOfTwo
                                                                         : RoutingStrategy::WeightedFreeSlots;
        constexpr std::uint32_t RetryPercent = 10;
        nodes.push_back(std::make_unique<FakeNode>(FakeNode{fmt::format("node-{}", index + 1),
                                                            target->dataCentre,
                                                            ServiceRouter(router),
                                                            RetryBudget(RetryPercent),
                                                            Random(options.seed * 1000 + index),
                                                            {},
                                                            {}}));
        byName[target->name] = target.get();
        targets.push_back(std::move(target));
    }

    GuardPolicy policyOf(const FakeTarget &target)
    {
        GuardPolicy policy;
        policy.served = !target.outOfServiceByBundle;
        policy.slots = options.slots;
        policy.connections = 20 * options.slots;
        policy.coldSlots = options.coldSlots;
        policy.coldRamp = ColdRamp;
        policy.queueLength = options.policy == SimulationPolicy::NoQueue ? 0 : 2 * options.slots;
        policy.queueWait = MaxQueueWait;
        policy.revision = ++revision;
        return policy;
    }

    bool cold(const FakeTarget &target) const
    {
        return now < target.coldUntil;
    }

    std::uint32_t capacityOf(const FakeTarget &target) const
    {
        return cold(target) ? options.coldSlots : options.slots;
    }

    void announce(FakeTarget &target, TimePoint when)
    {
        const TargetState state
            = target.leaving ? TargetState::Leaving : (cold(target) ? TargetState::Cold : TargetState::Ready);
        applyRelease(target, target.guard.announced(
                                 {std::to_string(target.boot), state, options.slots, 20 * options.slots}, when));
    }

    void refreshRouter(FakeNode &node)
    {
        std::vector<RouterTarget> list;
        for (const auto &it : targets) {
            RouterTarget target;
            target.name = it->name;
            target.dataCentre = it->dataCentre;
            target.limit = options.slots;
            target.inService = !node.outOfService.contains(it->dataCentre);
            target.state = node.leaving.contains(it->name) ? TargetState::Leaving : TargetState::Ready;
            list.push_back(target);
        }
        node.router.setTargets(list, now);
    }

    void scheduleAfter(Duration span, std::function<void()> action)
    {
        events.push({now + span, ++sequence, std::move(action)});
    }

    Duration linkLatency(std::size_t from, std::size_t to) const
    {
        if (from == to) {
            return LocalLatency;
        }
        return nodes[from]->dataCentre == nodes[to]->dataCentre ? SameDataCentreLatency : options.dataCentreLatency;
    }

    /// Delivers a message between nodes unless the link is partitioned.
    void send(std::size_t from, std::size_t to, std::function<void()> action)
    {
        if (!partitionedLinks.contains({nodes[from]->name, nodes[to]->name})) {
            scheduleAfter(linkLatency(from, to), std::move(action));
        }
    }

    void arrive()
    {
        if (now - start >= options.duration) {
            return;
        }
        const double rate
            = loadFactor * options.load * options.slots * options.targetCount / toSeconds(options.meanWork);
        const double gap = std::exponential_distribution<double>(rate)(arrivals);
        scheduleAfter(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this] { arrive(); });
        auto call = std::make_unique<Call>();
        call->id = calls.size();
        call->nonIdempotent = randomFraction(arrivals) < options.nonIdempotentShare;
        call->node = randomBelow(arrivals, nodes.size());
        const double mu = std::log(toSeconds(options.meanWork)) - WorkSigma * WorkSigma / 2;
        call->work = std::lognormal_distribution<double>(mu, WorkSigma)(arrivals);
        call->sent = now;
        call->deadline = now + options.callerLatency + options.deadline;
        call->plan = std::make_unique<CallPlan>(CallRules{.repeatable = !call->nonIdempotent});
        Call *it = call.get();
        calls.push_back(std::move(call));
        countInSecond(results.callsBySecond, it->sent);
        scheduleAfter(options.callerLatency, [this, it] { arriveAtNode(*it); });
        scheduleAfter(options.callerLatency + options.deadline, [this, it] {
            complete(*it, it->execution == Execution::NotRun ? CallOutcome::NotRun : CallOutcome::Unknown);
        });
    }

    void countInSecond(std::vector<std::uint64_t> &counts, TimePoint when)
    {
        const auto second = static_cast<std::size_t>(toSeconds(when - start));
        counts.resize(std::max(counts.size(), second + 1));
        ++counts[second];
    }

    void arriveAtNode(Call &call)
    {
        if (options.policy == SimulationPolicy::Oracle) {
            oracleQueue.push_back(&call);
            assignOracleQueue();
        } else if (options.policy == SimulationPolicy::Naive) {
            startNaiveAttempt(call);
        } else {
            startNextAttempt(call);
        }
    }

    Attempt &newAttempt(Call &call, FakeTarget &target)
    {
        attempts.push_back(std::make_unique<Attempt>());
        Attempt &it = *attempts.back();
        it.id = attempts.size();
        it.call = &call;
        it.target = &target;
        it.begun = now;
        return it;
    }

    void startNextAttempt(Call &call)
    {
        FakeNode &node = *nodes[call.node];
        const auto planned = call.plan->next(node.router, node.budget, node.random, now);
        if (!planned) {
            complete(call, call.execution == Execution::NotRun ? CallOutcome::NotRun : CallOutcome::Unknown);
            return;
        }
        Attempt &it = newAttempt(call, *byName.at(planned->choice.target));
        it.mayQueue = planned->mayQueue;
        call.execution = Execution::Unknown;
        send(call.node, it.target->node, [this, &it] { offer(it); });
        abandonWhenPartitioned(it);
    }

    /// Abandons an attempt as soon as a periodic check finds the link from the target's node to the calling node
    /// partitioned.
    void abandonWhenPartitioned(Attempt &it)
    {
        scheduleAfter(SilenceTimeout, [this, &it] {
            if (it.ended || it.call->completed) {
                return;
            }
            const bool silent = partitionedLinks.contains({nodes[it.target->node]->name, nodes[it.call->node]->name});
            if (silent) {
                finishAttempt(it, Execution::Unknown, 502, true, std::nullopt);
            } else {
                abandonWhenPartitioned(it);
            }
        });
    }

    void offer(Attempt &it)
    {
        FakeTarget &target = *it.target;
        if (it.call->completed) {
            return;
        }
        const GuardOfferResult result = target.guard.offer({it.id, it.call->deadline, it.mayQueue}, now);
        if (result.kind == GuardOfferResult::Kind::Admitted) {
            sendToTarget(it);
        } else if (result.kind == GuardOfferResult::Kind::Queued) {
            queued[it.id] = &it;
        } else {
            sendResponse(it, Execution::NotRun, 503, false);
        }
    }

    void applyRelease(FakeTarget &, const GuardRelease &released)
    {
        for (const GuardTicket ticket : released.admitted) {
            sendToTarget(*queued.at(ticket));
            queued.erase(ticket);
        }
        for (const GuardTicket ticket : released.expired) {
            sendResponse(*queued.at(ticket), Execution::NotRun, 503, false);
            queued.erase(ticket);
        }
    }

    /// Sends a request that the guard admitted to the target.
    void sendToTarget(Attempt &it)
    {
        FakeTarget &target = *it.target;
        if (target.down) {
            target.guard.suspectRestart(now);
            applyRelease(target, target.guard.finished(it.id, {true, false, {}}, now));
            sendResponse(it, Execution::NotRun, 503, true);
            return;
        }
        startExecution(it);
    }

    /// Starts the execution of a request at the target.
    void startExecution(Attempt &it)
    {
        FakeTarget &target = *it.target;
        ++results.starts;
        ++results.startsByTarget[target.name];
        ++it.call->starts;
        it.started = now;
        const std::uint32_t limit = capacityOf(target);
        results.limitExceeded += target.running.size() >= limit ? 1 : 0;
        results.lateStarts += now > target.outOfServiceSince && now - target.outOfServiceSince > MaxTakeOutTime ? 1 : 0;
        target.running.insert(it.id);
        if (cold(target) && target.running.size() > 3 * limit) {
            restartTarget(target);
            return;
        }
        double work = it.call->work * target.slowFactor;
        work *= std::max(1.0, static_cast<double>(target.running.size()) / limit);
        const Duration time = target.failsFast
                                  ? FailFastTime
                                  : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work));
        const std::uint64_t boot = target.boot;
        const std::uint16_t status = target.failsFast ? 500 : 200;
        scheduleAfter(time, [this, &it, boot, status] {
            if (it.target->boot == boot && it.target->running.erase(it.id) > 0) {
                finishExecution(it, status);
            }
        });
    }

    void finishExecution(Attempt &it, std::uint16_t status)
    {
        FakeTarget &target = *it.target;
        if (options.policy == SimulationPolicy::Oracle) {
            scheduleAfter(LocalLatency, [this, &it, status] {
                complete(*it.call, status < 500 ? CallOutcome::Succeeded : CallOutcome::Failed);
            });
            assignOracleQueue();
            return;
        }
        if (usesGuards()) {
            target.guard.headArrived(it.id, now);
            applyRelease(target, target.guard.finished(it.id, {status >= 500, true, now - it.started}, now));
        }
        sendResponse(it, Execution::Ran, status, false);
    }

    /// Sends the response and the load report of the guard back to the calling node.
    void sendResponse(Attempt &it, Execution execution, std::uint16_t status, bool unreachable)
    {
        const LoadReport load = it.target->guard.load(now);
        send(it.target->node, it.call->node, [this, &it, execution, status, unreachable, load] {
            finishAttempt(it, execution, status, unreachable, load);
        });
    }

    void finishAttempt(Attempt &it, Execution execution, std::uint16_t status, bool unreachable,
                       std::optional<LoadReport> load)
    {
        if (it.ended) {
            return;
        }
        it.ended = true;
        Call &call = *it.call;
        if (options.policy == SimulationPolicy::Naive) {
            finishNaiveAttempt(call, execution, status);
            return;
        }
        FakeNode &node = *nodes[call.node];
        const bool ran = execution == Execution::Ran;
        if (load) {
            node.router.recordLoadReport(it.target->name, *load, now);
        }
        node.router.recordAttemptOutcome(it.target->name, {ran, unreachable || (ran && status >= 500), now - it.begun},
                                         now);
        if (call.completed) {
            return;
        }
        call.execution = call.plan->overallExecution(execution);
        AttemptOutcome outcome;
        outcome.execution = execution;
        outcome.status = status;
        outcome.timeLeft = call.deadline - now;
        if (ran && !call.plan->shouldDiscardResponse(outcome, node.router, node.budget)) {
            complete(call, status < 500 ? CallOutcome::Succeeded : CallOutcome::Failed);
        } else if (call.plan->shouldContinue(outcome, node.router, node.budget)) {
            startNextAttempt(call);
        } else {
            complete(call, call.plan->overallExecution(execution) == Execution::NotRun ? CallOutcome::NotRun
                                                                                       : CallOutcome::Unknown);
        }
    }

    /// Starts an attempt of the Naive policy: a random target without guard, retried on any error.
    void startNaiveAttempt(Call &call)
    {
        ++call.naiveAttempts;
        FakeNode &node = *nodes[call.node];
        std::vector<FakeTarget *> usable;
        for (const auto &it : targets) {
            if (!node.outOfService.contains(it->dataCentre) && !node.leaving.contains(it->name)) {
                usable.push_back(it.get());
            }
        }
        if (usable.empty()) {
            complete(call, CallOutcome::NotRun);
            return;
        }
        Attempt &it = newAttempt(call, *usable[randomBelow(random, usable.size())]);
        send(call.node, it.target->node, [this, &it] {
            if (it.target->down) {
                sendResponse(it, Execution::NotRun, 503, true);
            } else {
                startExecution(it);
            }
        });
        abandonWhenPartitioned(it);
    }

    void finishNaiveAttempt(Call &call, Execution execution, std::uint16_t status)
    {
        if (call.completed) {
            return;
        }
        if (execution == Execution::Ran && status < 500) {
            complete(call, CallOutcome::Succeeded);
        } else if (call.naiveAttempts < MaxNaiveAttempts) {
            startNaiveAttempt(call);
        } else {
            complete(call, CallOutcome::NotRun);
        }
    }

    /// Assigns queued requests of the Oracle policy to the fastest targets with free slots.
    void assignOracleQueue()
    {
        while (!oracleQueue.empty()) {
            FakeTarget *best = nullptr;
            for (const auto &it : targets) {
                const bool usable = !it->down && !it->failsFast && !it->leaving && !it->outOfServiceByBundle;
                if (!usable || it->running.size() >= capacityOf(*it)) {
                    continue;
                }
                if (best == nullptr || it->slowFactor < best->slowFactor) {
                    best = it.get();
                }
            }
            if (best == nullptr) {
                return;
            }
            Call &call = *oracleQueue.front();
            oracleQueue.pop_front();
            if (!call.completed) {
                startExecution(newAttempt(call, *best));
            }
        }
    }

    void complete(Call &call, CallOutcome outcome)
    {
        if (call.completed) {
            return;
        }
        call.completed = true;
        results.falseNotRun += outcome == CallOutcome::NotRun && call.starts > 0 ? 1 : 0;
        results.refused += outcome == CallOutcome::NotRun ? 1 : 0;
        results.unknown += outcome == CallOutcome::Unknown ? 1 : 0;
        results.failed += outcome == CallOutcome::Failed ? 1 : 0;
        if (outcome == CallOutcome::Succeeded) {
            ++results.succeeded;
            countInSecond(results.succeededBySecond, call.sent);
            countInSecond(results.servedBySecond, now);
            results.latencies.push_back(now + options.callerLatency - call.sent);
        }
    }

    void restartTarget(FakeTarget &target)
    {
        const std::set<std::uint64_t> lost = std::exchange(target.running, {});
        ++target.boot;
        target.down = true;
        for (const std::uint64_t id : lost) {
            Attempt &it = *attempts[id - 1];
            scheduleAfter(ResetDelay, [this, &it] {
                if (usesGuards()) {
                    it.target->guard.suspectRestart(now);
                    applyRelease(*it.target, it.target->guard.finished(it.id, {true, false, {}}, now));
                }
                if (options.policy == SimulationPolicy::Oracle) {
                    complete(*it.call, CallOutcome::Unknown);
                } else {
                    sendResponse(it, Execution::Unknown, 502, true);
                }
            });
        }
        scheduleAfter(RestartTime, [this, &target, boot = target.boot] {
            if (target.boot != boot) {
                return;
            }
            target.down = false;
            target.coldUntil = now + ColdTime;
            announce(target, now);
            assignOracleQueue();
        });
        scheduleAfter(RestartTime + ColdTime + 1ms, [this, &target, boot = target.boot] {
            if (target.boot == boot) {
                announce(target, now);
                assignOracleQueue();
            }
        });
    }

    void tick()
    {
        for (auto &it : targets) {
            if (usesGuards()) {
                applyRelease(*it, it->guard.tick(now));
            }
        }
        if (now - start < options.duration + options.deadline) {
            scheduleAfter(TickInterval, [this] { tick(); });
        }
    }

    Duration propagationDelay()
    {
        return Duration(
            static_cast<Duration::rep>(randomFraction(random) * static_cast<double>(MaxPropagationDelay.count())));
    }

    void finishMeasures()
    {
        results.calls = calls.size();
        for (const auto &it : calls) {
            results.unanswered += it->completed ? 0 : 1;
            results.doubleRuns += it->nonIdempotent && it->starts > 1 ? 1 : 0;
        }
        std::sort(results.latencies.begin(), results.latencies.end());
        results.succeededBySecond.resize(results.callsBySecond.size());
        results.servedBySecond.resize(results.callsBySecond.size());
    }

    SimulationOptions options;
    Random random;
    Random arrivals; // separate from `random`, so that all policies get the same requests
    TimePoint now;
    TimePoint start;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    double loadFactor = 1;
    std::priority_queue<Event> events;
    std::vector<std::unique_ptr<FakeTarget>> targets;
    std::vector<std::unique_ptr<FakeNode>> nodes;
    std::map<std::string, FakeTarget *> byName;
    std::set<std::pair<std::string, std::string>> partitionedLinks;
    std::vector<std::unique_ptr<Call>> calls;
    std::vector<std::unique_ptr<Attempt>> attempts;
    std::map<GuardTicket, Attempt *> queued;
    std::deque<Call *> oracleQueue;
    SimulationResults results;
};

Simulation::Simulation(SimulationOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

Simulation::~Simulation() = default;

void Simulation::schedule(Duration when, std::function<void()> action)
{
    m_impl->events.push({m_impl->start + when, ++m_impl->sequence, std::move(action)});
}

void Simulation::setSlowdown(const std::string &target, double factor)
{
    m_impl->byName.at(target)->slowFactor = factor;
}

void Simulation::setFailFast(const std::string &target, bool enabled)
{
    m_impl->byName.at(target)->failsFast = enabled;
    m_impl->assignOracleQueue();
}

void Simulation::restart(const std::string &target)
{
    m_impl->restartTarget(*m_impl->byName.at(target));
}

void Simulation::setLeaving(const std::string &target, bool leaving)
{
    FakeTarget &it = *m_impl->byName.at(target);
    it.leaving = leaving;
    m_impl->announce(it, m_impl->now);
    for (auto &node : m_impl->nodes) {
        m_impl->scheduleAfter(m_impl->propagationDelay(), [impl = m_impl.get(), &node = *node, target, leaving] {
            leaving ? void(node.leaving.insert(target)) : void(node.leaving.erase(target));
            impl->refreshRouter(node);
        });
    }
}

void Simulation::setPartitioned(const std::string &from, const std::string &to, bool partitioned)
{
    partitioned ? void(m_impl->partitionedLinks.insert({from, to})) : void(m_impl->partitionedLinks.erase({from, to}));
}

void Simulation::setOutOfService(const std::string &dataCentre, bool outOfService)
{
    Impl &impl = *m_impl;
    for (auto &it : impl.targets) {
        if (it->dataCentre != dataCentre) {
            continue;
        }
        it->outOfServiceSince = outOfService ? impl.now : TimePoint::max();
        if (outOfService && impl.options.policy == SimulationPolicy::Naive) {
            // The Naive policy stops the targets of a data centre without draining them.
            impl.results.interruptedRequests += it->running.size();
            impl.restartTarget(*it);
        }
        impl.scheduleAfter(impl.propagationDelay(), [&impl, target = it.get(), outOfService] {
            target->outOfServiceByBundle = outOfService;
            impl.applyRelease(*target, target->guard.setPolicy(impl.policyOf(*target), impl.now));
            impl.assignOracleQueue();
        });
    }
    for (auto &node : impl.nodes) {
        impl.scheduleAfter(impl.propagationDelay(), [&impl, &node = *node, dataCentre, outOfService] {
            outOfService ? void(node.outOfService.insert(dataCentre)) : void(node.outOfService.erase(dataCentre));
            impl.refreshRouter(node);
        });
    }
}

void Simulation::setLoadFactor(double factor)
{
    m_impl->loadFactor = factor;
}

std::vector<std::string> Simulation::targets() const
{
    std::vector<std::string> out;
    for (const auto &it : m_impl->targets) {
        out.push_back(it->name);
    }
    return out;
}

SimulationResults Simulation::run()
{
    Impl &impl = *m_impl;
    impl.scheduleAfter(Duration::zero(), [&impl] { impl.arrive(); });
    impl.scheduleAfter(TickInterval, [&impl] { impl.tick(); });
    const TimePoint end = impl.start + impl.options.duration + impl.options.deadline + SilenceTimeout + 1s;
    while (!impl.events.empty() && impl.events.top().when < end) {
        const Event event = impl.events.top();
        impl.events.pop();
        impl.now = event.when;
        event.action();
    }
    impl.finishMeasures();
    return impl.results;
}

double SimulationResults::quantileMs(double share) const
{
    if (latencies.empty()) {
        return 0;
    }
    return toMilliseconds(latencies[static_cast<std::size_t>(static_cast<double>(latencies.size() - 1) * share)]);
}

double SimulationResults::lowestGoodputPerSecond() const
{
    double lowest = 1;
    for (std::size_t i = 0; i < callsBySecond.size(); ++i) {
        if (callsBySecond[i] > 0) {
            lowest
                = std::min(lowest, static_cast<double>(succeededBySecond[i]) / static_cast<double>(callsBySecond[i]));
        }
    }
    return lowest;
}

double SimulationResults::byName(const std::string &name) const
{
    const std::map<std::string, double> all = {
        {"calls", calls},
        {"refused", refused},
        {"unknown", unknown},
        {"failed", failed},
        {"unanswered", unanswered},
        {"limit_exceeded", limitExceeded},
        {"double_runs", doubleRuns},
        {"false_not_run", falseNotRun},
        {"cut_answers", interruptedRequests},
        {"late_starts", lateStarts},
        {"goodput", static_cast<double>(succeeded) / static_cast<double>(std::max<std::uint64_t>(1, calls))},
        {"starts_per_call", static_cast<double>(starts) / static_cast<double>(std::max<std::uint64_t>(1, calls))},
        {"worst_second", lowestGoodputPerSecond()},
        {"p50", quantileMs(0.5)},
        {"p99", quantileMs(0.99)},
        {"p999", quantileMs(0.999)},
    };
    const auto it = all.find(name);
    return it == all.end() ? std::nan("") : it->second;
}

}
