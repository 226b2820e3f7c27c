#include "daemon/clusternode.h"

#include "daemon/containment.h"
#include "daemon/controllink.h"
#include "daemon/dispatcher.h"
#include "net/beaconsocket.h"
#include "shallotrelay/admission/requestageestimator.h"
#include "shallotrelay/membership/controlselector.h"
#include "wire/frame.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <iterator>
#include <map>

namespace shallotrelay
{
namespace
{

/// The one owner of all services, since the operators of a cluster share one state.
constexpr const char *ClusterFirm = "cluster";

constexpr std::size_t MaxMetricsBytes = 4 * 1024;
/// Time between looks at the guard: waiting requests are dropped or started, and load is compared with the last beacon.
constexpr Duration GuardTick = std::chrono::milliseconds(20);
/// Longest time between two beacons; a silence of a few of them shows that a node is gone.
constexpr Duration BeaconHeartbeat = std::chrono::milliseconds(250);
/// Shortest time between two beacons, for each node that gets them; bounds what beacons cost.
constexpr Duration BeaconGapPerPeer = std::chrono::milliseconds(25);
/// Time between two wishes to be told a target's load; three of them may be lost before it is told no more.
constexpr Duration InterestInterval = std::chrono::milliseconds(2000);
/// Time for which a wish holds.
constexpr Duration InterestMemory = 3 * InterestInterval + std::chrono::milliseconds(500);
/// A node that has not called a service for this long wants to know nothing of its targets.
constexpr Duration CallMemory = std::chrono::seconds(10);
/// Nodes that are told the load of one target; wishes beyond that are not taken.
constexpr std::size_t MaxInterested = 512;
constexpr Duration LinkCheckInterval = std::chrono::milliseconds(200);
/// Time between reports to a control VM.
constexpr Duration ReportInterval = std::chrono::milliseconds(1000);
/// What a control VM told is forgotten this long after its link was lost, if others tell as much.
constexpr Duration DirectoryMemory = std::chrono::seconds(3);
/// Time between probes of a target that gives no reason for doubt.
constexpr Duration ProbeInterval = std::chrono::milliseconds(1000);
/// Time between probes while the target cannot be reached or may have been replaced.
constexpr Duration DoubtProbeInterval = std::chrono::milliseconds(100);
/// Longest time for which a target that could not be reached gets no requests without a probe.
constexpr Duration HoldBound = std::chrono::milliseconds(1000);
/// Time for a connection to the target, which is on the same VM.
constexpr Duration TargetConnectTimeout = std::chrono::milliseconds(150);
/// Time for a connection to another node; two round trips between data centres with a lost packet.
constexpr Duration PeerConnectTimeout = std::chrono::milliseconds(300);
/// Time in which a target notices that a connection was closed and ends its work.
constexpr Duration AbandonedLinger = std::chrono::milliseconds(20);
/// Time for which a target that was not heard of keeps a starting node from being ready.
constexpr Duration StartPatience = std::chrono::milliseconds(2500);
/// Time for which a stopping node still takes callers: two missed checks of its readiness, a second apart, and a
/// margin.
constexpr Duration CallerGrace = std::chrono::milliseconds(3200);
/// Time after which a stopping node refuses new requests: a request taken later might not be done before the kill.
constexpr Duration IntakeGrace = std::chrono::milliseconds(2800);
/// Time after which a stopping node refuses work for its target.
constexpr Duration GuardGrace = std::chrono::milliseconds(2200);
/// Time before the kill at which a stopping node ends whatever is in progress.
constexpr Duration StopMargin = std::chrono::milliseconds(400);
/// Answers up to this size are held until they are whole.
constexpr std::size_t HoldAnswerBytes = 128 * 1024;
/// Request bodies up to this size are held, so that they can be sent to another target.
constexpr std::size_t HoldBodyBytes = 64 * 1024;
/// Part of the shared retries that nodes take; the rest covers what a node cannot count, such as calls of runs that
/// other nodes have repeated.
constexpr double RetryShare = 0.65;
/// Part of what a cold target may get beyond its stated rate that is used; the rest covers starts that arrive late.
constexpr double ColdMarginShare = 0.5;
/// Nodes that are assumed to share the retries as long as fewer are known.
constexpr std::size_t LeastNodes = 4;
/// Nodes that are told at once of a crash; the others notice by the digest in beacons.
constexpr std::size_t NoticeFanOut = 64;
/// Least time between two questions for what another node remembers of crashes.
constexpr Duration LedgerFetchGap = std::chrono::milliseconds(200);
/// Longest time between them while the answers bring nothing new.
constexpr Duration LongestLedgerFetchGap = std::chrono::seconds(10);
/// Bytes a second that answers to these questions may take.
constexpr double LedgerBytesPerSecond = 1024;
/// Bytes of an answer for each crash of each request.
constexpr std::size_t LedgerItemBytes = 40;
/// Time between looks for what is too old to be remembered.
constexpr Duration LedgerExpiry = std::chrono::seconds(5);
/// Other nodes that a starting node asks before it is ready.
constexpr std::size_t FirstLedgerFetches = 3;
/// Part of the probes that a target bears which may be questions for its pace; the rest covers probes of its health.
constexpr double PaceLookShare = 0.8;
constexpr double PercentScale = 100;

std::uint64_t newIncarnation()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

RouterOptions routerOptions(const ClusterNode::Options &options)
{
    RouterOptions out;
    out.dataCentre = options.dataCentre;
    out.node = options.name;
    out.strategy = RoutingStrategy::EarliestFinish;
    return out;
}

PeerOptions peerOptions()
{
    PeerOptions out;
    out.lifeSignInterval = Duration::zero();
    out.silenceBound = out.stallTimeout;
    out.connectTimeout = PeerConnectTimeout;
    return out;
}

/// Returns whether a load differs enough from the one that was told last to tell it at once.
bool differs(const LoadReport &a, const LoadReport &b)
{
    constexpr std::uint32_t PaceStep = 40;
    constexpr std::uint32_t LoadStep = 3;
    const auto apart = [](std::uint32_t x, std::uint32_t y) { return x > y ? x - y : y - x; };
    return a.state != b.state || a.limit != b.limit || apart(a.pacePercent, b.pacePercent) > PaceStep
           || apart(a.inFlight + a.queued, b.inFlight + b.queued) >= LoadStep;
}

}

struct ClusterNode::Impl : std::enable_shared_from_this<ClusterNode::Impl> {
    Impl(Runtime &r, const Clock &c, Options o, ClusterHooks h, EventLog &l)
        : runtime(r)
        , clock(c)
        , options(std::move(o))
        , hooks(std::move(h))
        , log(l)
        , incarnation(newIncarnation())
        , random(options.seed)
        , services(clock, routerOptions(options), options.seed)
        , containment(clock, options.seed ^ incarnation, containmentHooks(), log, metrics)
        , local({&clock, std::chrono::hours(1), peerOptions().stallTimeout, options.dataCentre,
                 options.peerListen.text(), incarnation, targetOptions()},
                services, log, metrics, noKeys())
        , dispatcher(dispatcherOptions(), services, local, log, metrics)
        , door(runtime, clock, doorOptions(),
               [this](CallerRequest &request, BodySource &source, CallerSink &sink, ExchangeProgress &progress) {
                   return dispatcher.dispatch(request, source, sink, progress);
               })
        , peers(
              runtime, clock, peerOptions(),
              [this](const RequestHead &head) {
                  return local.findBackend({head.firm, head.service}, head.target);
              },
              [this] { return containment.state(); })
        , beacons(runtime.shard(0), {[this](const LoadBeacon &beacon) { takeBeacon(beacon); },
                                     [this](const LoadInterest &interest) { takeInterest(interest); },
                                     [this](const CrashNotice &notice) { containment.applyNotice(notice); },
                                     [this](const CleanRunNotice &notice) { containment.applyNotice(notice); }})
        , metricsServer(runtime, MaxMetricsBytes, [this](HttpRequest request) { return serve(std::move(request)); })
        , choice(seedAddresses())
        , probeTimer(runtime.shard(0))
        , started(clock.now())
    {
    }

    Runtime &runtime;
    const Clock &clock;
    Options options;
    ClusterHooks hooks;
    EventLog &log;
    std::uint64_t incarnation;
    Random random;
    Metrics metrics;
    ServiceTable services;
    Containment containment;
    LocalTargets local;
    Dispatcher dispatcher;
    Door door;
    PeerServer peers;
    BeaconSocket beacons;
    HttpServer metricsServer;
    ControlSelector choice;
    std::map<std::string, std::unique_ptr<ControlLink>> links;
    std::map<std::string, bool> current; // whether a control VM is in touch with the others, by address
    std::map<std::string, TimePoint> lostSince;
    std::string firstControl;
    TargetTracker presence;
    asio::steady_timer probeTimer;
    TimePoint nextProbe;
    TimePoint lastProbe;
    bool unreachable = false;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> beaconSeen; // incarnation and sequence, by target
    std::uint64_t beaconSequence = 0;
    LoadReport told;
    TimePoint toldAt;
    std::shared_ptr<const std::vector<std::string>> peerList; // the list that the addresses were made from
    std::vector<Address> peerAddresses; // of all other nodes
    std::map<std::string, std::pair<Address, TimePoint>> interested; // who is told the load, and until when
    std::map<ServiceId, std::map<std::string, TimePoint>> wishes; // when a target's node was last asked, by target
    std::map<std::string, RequestAgeEstimator> attemptAges; // by route
    TimePoint started;
    TimePoint intentApplied; // when the operators' state last changed here
    TimePoint stopBegun;
    bool guardLeft = false;
    bool ledgerKnown = false; // whether other nodes were asked for what they remember of crashes
    TimePoint nextLedgerFetch;
    TimePoint nextExpiry;
    Duration ledgerFetchGap = LedgerFetchGap;
    std::atomic<bool> stopping = false;

    Dispatcher::Options dispatcherOptions() const
    {
        Dispatcher::Options out;
        out.clock = &clock;
        out.peers = peerOptions();
        out.node = options.name;
        out.maxHeldBodyBytes = HoldBodyBytes;
        out.hedges = true;
        out.maxHeldResponseBytes = HoldAnswerBytes;
        out.mayBeSuspect = [this](const RequestHead &head) { return containment.mayBeSuspect(head); };
        out.suspicionLevel = [this](const RequestPrint &print) { return containment.suspicionLevel(print); };
        return out;
    }

    Containment::Hooks containmentHooks()
    {
        Containment::Hooks out;
        out.sendCrashNotice = [this](const CrashNotice &notice) { tellNodes(encodeFrame(notice)); };
        out.sendCleanRunNotice = [this](const CleanRunNotice &notice) { tellNodes(encodeFrame(notice)); };
        return out;
    }

    std::shared_ptr<NodeKeys> noKeys()
    {
        constexpr std::size_t NoAnswers = 0;
        const auto refuse = [](ClaimRequest) -> asio::awaitable<std::optional<ClaimAnswer>> { co_return std::nullopt; };
        return std::make_shared<NodeKeys>(Duration::zero(), NoAnswers, refuse);
    }

    GuardedTargetOptions targetOptions()
    {
        GuardedTargetOptions out;
        out.checkAnswer = hooks.checkAnswer;
        out.targetFields = hooks.targetFields;
        out.onDoubt = [this](TargetDoubt doubt) { takeDoubt(doubt); };
        out.pacePath = [this] { return healthPath(); };
        out.looksPerSecond = options.probesPerSecond * PaceLookShare;
        out.onPace = [this] { tellLoad(false); };
        out.mayBeSuspect = [this](const RequestHead &head) { return containment.mayBeSuspect(head); };
        out.standing = [this](const RequestPrint &print) { return containment.suspicionLevel(print); };
        out.onCrash = [this](const Crash &crash) { containment.recordCrash(crash); };
        out.onCleanRun = [this](const RequestPrint &print) { containment.recordCleanRun(print); };
        out.connectTimeout = TargetConnectTimeout;
        out.closesAbandoned = true;
        out.abandonedLinger = AbandonedLinger;
        return out;
    }

    DoorOptions doorOptions()
    {
        DoorOptions out;
        out.resolve = [this](const CallerHead &caller, CallerRequest *request) { return resolve(caller, request); };
        out.keepsRequestIds = true;
        out.fractionalRetryAfter = true;
        out.holdBytes = HoldAnswerBytes;
        out.maxHeadBytes = 64 * 1024;
        return out;
    }

    /// Nodes connect to the ports that control VMs open for processes of the system; ports are the same on all VMs.
    std::vector<std::string> seedAddresses() const
    {
        std::vector<std::string> out;
        for (const Address &it : options.seeds) {
            out.push_back(Address{it.host, options.peerListen.port}.text());
        }
        return out;
    }

    absl::Status resolve(const CallerHead &caller, CallerRequest *request)
    {
        const auto bundle = services.bundleOf(ClusterFirm);
        if (!bundle) {
            return absl::UnavailableError("the operators' state is not known yet");
        }
        const Route *route = bundle->routes.find(caller.host, caller.target);
        if (route == nullptr) {
            return absl::NotFoundError("no route matches");
        }
        const TimePoint now = clock.now();
        RequestHead &head = request->head;
        head.firm = ClusterFirm;
        head.service = drawService(*route, random);
        head.path = caller.target;
        head.route = route->name;
        head.priority = route->priority;
        head.repeatable = route->repeatable();
        head.callerService = presence.current() ? presence.current()->reported.service : options.service;
        head.idempotencyKey.clear();
        hooks.cleanFields(&head.headers);
        if (route->objective > Duration::zero()) {
            const Duration age = attemptAges[route->name].estimateAge(request->deadline - now);
            request->objective = now + route->objective - age;
        }
        request->deadline = std::min(request->deadline, now + route->timeout);
        request->maxTargets = route->maxTargets;
        chargeCalls(head);
        return absl::OkStatus();
    }

    /// Requests that begin here may be calls of the target beside this node. The share that belongs to repeated runs
    /// counts as repeats at the service that is called.
    void chargeCalls(const RequestHead &head)
    {
        const auto guarded = guardedTarget();
        const double share = guarded ? guarded->repeatedAttemptShare() : 0;
        const auto shard = share > 0 ? services.find({head.firm, head.service}) : nullptr;
        if (shard && head.service != head.callerService) {
            const std::lock_guard lock(shard->mutex);
            shard->budget.charge(share);
        }
    }

    std::uint64_t appliedRevision() const
    {
        const auto bundle = services.bundleOf(ClusterFirm);
        return bundle ? bundle->revision : 0;
    }

    void takeIntent(const std::string &control, const IntentUpdate &update)
    {
        if (update.revision <= appliedRevision()) {
            return;
        }
        auto bundle = hooks.parseIntent(update);
        if (!bundle.ok()) {
            log.write(
                LogLevel::Error, "intent",
                LogFields().add("revision", update.revision).add("error", std::string(bundle.status().message())));
            return;
        }
        bundle->firm = ClusterFirm;
        for (auto &it : bundle->services) {
            it.second.refusesLate = true;
            it.second.coldPerSecond *= 1 + ColdMarginShare * std::max(0.0, options.coldFactor - 1);
            it.second.retryPercent = static_cast<std::uint32_t>(options.retryRatio * RetryShare * PercentScale);
        }
        const RouteTable routes(bundle->routes);
        if (!services.applyVerifiedBundle(update.revision, *std::move(bundle))) {
            return;
        }
        intentApplied = clock.now();
        std::erase_if(attemptAges, [&](const auto &it) { return !routes.contains(it.first); });
        local.applyPolicies();
        LogFields line;
        line.add("control", control).add("revision", update.revision).add("version", update.version);
        for (const std::string &it : update.outOfService) {
            line.add("out_of_service", it);
        }
        log.write(LogLevel::Info, "intent-applied", line);
        reportSoon();
    }

    void reportSoon()
    {
        for (const auto &it : links) {
            it.second->reportSoon();
        }
    }

    ControlLink::Options linkOptions(const std::string &address)
    {
        ControlLink::Options out;
        out.address = parseAddress(address).value_or(Address{});
        out.heartbeat = ReportInterval;
        out.node = options.name;
        out.dataCentre = options.dataCentre;
        out.incarnation = incarnation;
        out.onBundle = [] {};
        out.onIntent = [this, address](const IntentUpdate &update) { takeIntent(address, update); };
        out.onView = [this, address](const ControlView &view) {
            current[address] = view.current;
            if (view.current && !view.addresses.empty()) {
                choice.setKnownAddresses(view.addresses);
            }
        };
        out.watch = [this, address] { return NodeWatch{appliedRevision(), address == firstControl}; };
        return out;
    }

    asio::awaitable<void> keepLinks()
    {
        for (;;) {
            updateLinks();
            tellInterest();
            co_await sleepFor(LinkCheckInterval);
        }
    }

    void updateLinks()
    {
        const TimePoint now = clock.now();
        for (const auto &it : links) {
            const bool good = it.second->connected() && current[it.first];
            choice.recordLinkState(it.first, good, now);
            if (it.second->connected()) {
                lostSince.erase(it.first);
            } else {
                lostSince.emplace(it.first, now);
            }
        }
        const std::vector<std::string> wanted = choice.selected(now);
        std::erase_if(links, [&](const auto &it) {
            const bool gone = std::find(wanted.begin(), wanted.end(), it.first) == wanted.end();
            if (gone) {
                lostSince.emplace(it.first, now);
                current.erase(it.first);
            }
            return gone;
        });
        for (const std::string &it : wanted) {
            if (!links.contains(it)) {
                links[it] = std::make_unique<ControlLink>(runtime, linkOptions(it), services, local, log);
                links[it]->start();
            }
        }
        chooseFirst(wanted);
        forgetLost(now);
        const std::size_t nodes = std::max(LeastNodes, services.peers()->size());
        const double burst = options.retrySlack * RetryShare / static_cast<double>(nodes);
        if (burst != retryBurst) {
            retryBurst = burst;
            services.setRetryBurst(burst);
        }
    }

    double retryBurst = 0;

    /// Nodes differ in which control VM tells them of changes first, so that the work is spread.
    void chooseFirst(const std::vector<std::string> &wanted)
    {
        std::vector<std::string> good;
        for (const std::string &it : wanted) {
            if (links.at(it)->connected() && current[it]) {
                good.push_back(it);
            }
        }
        if (!good.empty() && std::find(good.begin(), good.end(), firstControl) == good.end()) {
            firstControl = good[std::hash<std::string>{}(options.name) % good.size()];
        }
    }

    void forgetLost(TimePoint now)
    {
        const auto isConnected = [](const auto &it) { return it.second->connected(); };
        if (std::none_of(links.begin(), links.end(), isConnected)) {
            return;
        }
        std::erase_if(lostSince, [&](const auto &it) {
            const bool old = now - it.second > DirectoryMemory;
            if (old) {
                services.removeDirectorySource(it.first);
            }
            return old;
        });
    }

    AnnouncementResult announce(const TargetHeartbeat &heartbeat)
    {
        const auto before = presence.current();
        if (!presence.applyHeartbeat(heartbeat)) {
            log.write(LogLevel::Info, "heartbeat-stale",
                      LogFields().add("target", heartbeat.id).add("sequence", heartbeat.sequence));
            return AnnouncementResult::Stale;
        }
        applyPresence(before, heartbeat.remainingColdTime, false);
        return AnnouncementResult::Taken;
    }

    /// Makes the guard follow what is known of the target. What a probe told that was sent since the last change of
    /// the state is current.
    void applyPresence(const std::optional<TrackedTarget> &before, std::optional<Duration> remainingColdTime,
                       bool current)
    {
        const TrackedTarget &now = *presence.current();
        const ServiceId service{ClusterFirm, now.reported.service};
        if (before && before->start != now.start && !before->reported.leaving) {
            if (const auto guarded = local.find({ClusterFirm, before->reported.service}, before->reported.id)) {
                guarded->evaluateCrashEvidence(CrashEvidence::NewStart);
            }
        }
        const bool replaced
            = before && (before->reported.id != now.reported.id || before->reported.service != now.reported.service);
        if (replaced) {
            local.remove({ClusterFirm, before->reported.service}, before->reported.id);
        }
        Announcement out;
        out.service = service;
        out.name = now.reported.id;
        out.address = parseAddress(now.reported.address).value_or(options.target);
        out.target.bootId = std::to_string(now.start);
        const bool takesWork = !now.reported.leaving && !guardLeft && presence.isConfirmed();
        out.target.state = takesWork ? TargetState::Ready : TargetState::Leaving;
        out.target.slots = now.reported.slots;
        // While the target cannot be reached, only a probe tells that it is warm.
        out.target.remainingColdTime = unreachable ? std::nullopt : remainingColdTime;
        out.target.remainingColdTimeIsCurrent = current;
        if (local.announce(out)) {
            reportSoon();
            tellLoad(true);
        }
    }

    void takeDoubt(TargetDoubt doubt)
    {
        if (doubt == TargetDoubt::Unreachable) {
            unreachable = true;
            if (const auto guarded = guardedTarget()) {
                guarded->hold(HoldBound);
            }
        }
        nextProbe = std::min(nextProbe, std::max(clock.now(), lastProbe + DoubtProbeInterval));
        probeTimer.cancel();
    }

    std::shared_ptr<GuardedTarget> guardedTarget() const
    {
        const auto &target = presence.current();
        return target ? local.find({ClusterFirm, target->reported.service}, target->reported.id) : nullptr;
    }

    std::string healthPath() const
    {
        const auto bundle = services.bundleOf(ClusterFirm);
        const auto &target = presence.current();
        const std::string service = target ? target->reported.service : options.service;
        const ServicePolicy *policy = bundle ? bundle->bundle.findService(service) : nullptr;
        return policy == nullptr ? "" : policy->healthPath;
    }

    asio::awaitable<void> watchTarget()
    {
        for (;;) {
            while (clock.now() < nextProbe) {
                probeTimer.expires_at(nextProbe);
                co_await probeTimer.async_wait(AsTuple);
            }
            const std::string path = healthPath();
            lastProbe = clock.now();
            if (path.empty()) {
                nextProbe = lastProbe + DoubtProbeInterval;
                continue;
            }
            const auto probe = co_await hooks.probe(options.target, path);
            takeProbe(probe);
            nextProbe = clock.now() + (unreachable ? DoubtProbeInterval : ProbeInterval);
        }
    }

    void takeProbe(const absl::StatusOr<TargetProbe> &probe)
    {
        if (!probe.ok()) {
            if (const auto guarded = guardedTarget(); guarded && nothingListens(probe.status())) {
                guarded->evaluateCrashEvidence(CrashEvidence::NothingListens);
            }
            if (!unreachable) {
                log.write(LogLevel::Warn, "probe", LogFields().add("error", std::string(probe.status().message())));
            }
            return;
        }
        if (unreachable) {
            unreachable = false;
            log.write(LogLevel::Info, "target-regained", LogFields().add("target", probe->id));
            if (const auto guarded = guardedTarget()) {
                guarded->hold(Duration::zero());
            }
        }
        const auto before = presence.current();
        if (presence.applyProbe(*probe, options.service, options.target.text())) {
            log.write(LogLevel::Info, "target-found",
                      LogFields()
                          .add("target", probe->id)
                          .add("cold_ms", probe->remainingColdTime ? toMilliseconds(*probe->remainingColdTime) : -1.0));
        }
        applyPresence(before, probe->remainingColdTime, lastProbe > intentApplied);
        if (const auto guarded = guardedTarget()) {
            guarded->alive(lastProbe);
            if (probe->pacePercent > 0) {
                guarded->setSlowdown(probe->pacePercent);
            }
        }
    }

    void takeBeacon(const LoadBeacon &beacon)
    {
        auto &seen = beaconSeen[beacon.target];
        const std::pair current(beacon.incarnation, beacon.sequence);
        if (current <= seen) {
            return;
        }
        seen = current;
        services.recordLoadBeacon({ClusterFirm, beacon.service}, beacon.target, beacon.load,
                                  std::chrono::milliseconds(beacon.nextMs));
        if (beacon.crashDigest != containment.digest() && clock.now() >= nextLedgerFetch) {
            nextLedgerFetch = clock.now() + ledgerFetchGap;
            if (const auto address = peerOf({ClusterFirm, beacon.service}, beacon.target)) {
                asio::co_spawn(runtime.shard(0), fetchLedger(shared_from_this(), *address), asio::detached);
            }
        }
    }

    /// Returns where the node beside a target takes requests of other nodes, if that is known.
    std::optional<Address> peerOf(const ServiceId &service, const std::string &target) const
    {
        const auto shard = services.find(service);
        if (!shard) {
            return std::nullopt;
        }
        const std::lock_guard lock(shard->mutex);
        const auto it = shard->records.find(target);
        const auto address = it == shard->records.end() ? absl::StatusOr<Address>(absl::NotFoundError("no record"))
                                                        : parseAddress(it->second.peerAddress);
        return address.ok() ? std::optional(*address) : std::nullopt;
    }

    /// Asks another node for what it remembers of crashes; returns whether it answered.
    static asio::awaitable<bool> fetchLedger(std::shared_ptr<Impl> self, Address from)
    {
        const CrashLedgerRequest request{self->containment.digest()};
        const auto state = co_await fetchCrashLedger(from, request, peerOptions());
        if (!state.ok()) {
            self->log.write(LogLevel::Info, "crash-ledger",
                            LogFields().add("from", from.text()).add("error", std::string(state.status().message())));
            co_return false;
        }
        const bool news = self->containment.merge(*state, from.text());
        std::size_t items = 0;
        for (const CrashEntry &it : state->entries) {
            items += it.items.size();
        }
        const Duration paid = fromSeconds(static_cast<double>(items * LedgerItemBytes) / LedgerBytesPerSecond);
        const Duration idle = std::min(2 * self->ledgerFetchGap, LongestLedgerFetchGap);
        self->ledgerFetchGap = std::max(paid, news ? LedgerFetchGap : idle);
        self->nextLedgerFetch = self->clock.now() + self->ledgerFetchGap;
        co_return true;
    }

    /// A starting node learns what the others remember of crashes before it is ready.
    static asio::awaitable<void> learnLedger(std::shared_ptr<Impl> self)
    {
        std::size_t fetched = 0;
        while (fetched < FirstLedgerFetches && self->clock.now() - self->started < StartPatience) {
            self->notePeers(self->services.peers());
            if (self->peerAddresses.empty()) {
                co_await sleepFor(GuardTick);
                continue;
            }
            const std::size_t drawn = randomBelow(self->random, self->peerAddresses.size());
            const Address from = self->peerAddresses[drawn];
            const bool answered = co_await fetchLedger(self, from);
            self->ledgerKnown = self->ledgerKnown || answered;
            ++fetched;
        }
        self->ledgerKnown = true;
    }

    /// Sends a notice to the other nodes, in a large cluster to some of them.
    void tellNodes(const std::string &encoded)
    {
        if (encoded.size() > MaxBeaconBytes) {
            // Too many requests ran for one datagram; the digest in the beacons brings it to the others.
            return;
        }
        notePeers(services.peers());
        std::vector<Address> chosen;
        std::sample(peerAddresses.begin(), peerAddresses.end(), std::back_inserter(chosen), NoticeFanOut, random);
        for (const Address &it : chosen) {
            beacons.send(encoded, it);
        }
    }

    asio::awaitable<void> tickGuard()
    {
        for (;;) {
            co_await sleepFor(GuardTick);
            local.tick();
            tellLoad(false);
            if (clock.now() >= nextExpiry) {
                nextExpiry = clock.now() + LedgerExpiry;
                containment.expire();
            }
            if (stopping && clock.now() - stopBegun > IntakeGrace) {
                door.refuseNew();
            }
            if (stopping && !guardLeft && clock.now() - stopBegun > GuardGrace) {
                guardLeft = true;
                local.announceAllLeaving();
                reportSoon();
                tellLoad(true);
            }
        }
    }

    /// Tells the nodes that asked for it the load of the target when it changed, and now and then when it did not.
    void tellLoad(bool atOnce)
    {
        const auto guarded = guardedTarget();
        if (!guarded) {
            return;
        }
        const TimePoint now = clock.now();
        const LoadReport load = guarded->load();
        std::erase_if(interested, [&](const auto &it) { return it.second.second <= now; });
        const Duration gap = BeaconGapPerPeer * static_cast<int>(interested.size());
        const Duration longest = std::max(gap, BeaconHeartbeat);
        const bool changed = differs(load, told) && now - toldAt >= gap;
        if (!atOnce && !changed && now - toldAt < longest) {
            return;
        }
        told = load;
        toldAt = now;
        const auto &target = presence.current();
        services.recordTargetLoad({ClusterFirm, target->reported.service}, target->reported.id, load);
        const LoadBeacon beacon{target->reported.service,
                                target->reported.id,
                                ++beaconSequence,
                                incarnation,
                                containment.digest(),
                                toWholeMilliseconds(longest),
                                load};
        const std::string encoded = encodeFrame(beacon);
        for (const auto &it : interested) {
            beacons.send(encoded, it.second.first);
        }
    }

    void takeInterest(const LoadInterest &interest)
    {
        const auto address = parseAddress(interest.address);
        const bool known = interested.contains(interest.address);
        if (!address.ok() || (!known && interested.size() >= MaxInterested)) {
            log.write(LogLevel::Info, "interest-refused", LogFields().add("address", interest.address));
            return;
        }
        interested[interest.address] = {*address, clock.now() + InterestMemory};
        if (!known) {
            tellLoad(true);
        }
    }

    /// Asks the nodes beside preferred targets of the services that are called here to tell their load.
    void tellInterest()
    {
        const TimePoint now = clock.now();
        const std::string self = options.peerListen.text();
        const std::string encoded = encodeFrame(LoadInterest{self});
        for (const auto &shard : services.all()) {
            std::map<std::string, TimePoint> &told = wishes[shard->id];
            std::map<std::string, TimePoint> kept;
            const std::lock_guard lock(shard->mutex);
            if (shard->lastRequestAt == TimePoint{} || now - shard->lastRequestAt > CallMemory) {
                wishes.erase(shard->id);
                continue;
            }
            for (const std::string &it : shard->router.preferred()) {
                const auto record = shard->records.find(it);
                const auto before = told.find(it);
                const bool due = before == told.end() || now - before->second >= InterestInterval;
                kept[it] = due ? now : before->second;
                if (!due || record == shard->records.end() || record->second.peerAddress == self) {
                    continue;
                }
                if (const auto address = parseAddress(record->second.peerAddress); address.ok()) {
                    beacons.send(encoded, *address);
                }
            }
            told = std::move(kept);
        }
    }

    /// Finds the addresses of the other nodes after the list has changed.
    void notePeers(const std::shared_ptr<const std::vector<std::string>> &list)
    {
        if (list == peerList) {
            return;
        }
        peerList = list;
        peerAddresses.clear();
        const std::string self = options.peerListen.text();
        for (const std::string &it : *list) {
            const auto address = parseAddress(it);
            if (!address.ok()) {
                log.write(LogLevel::Warn, "peer",
                          LogFields().add("peer", it).add("error", std::string(address.status().message())));
            } else if (it != self) {
                peerAddresses.push_back(*address);
            }
        }
    }

    asio::awaitable<HttpReply> serve(HttpRequest request)
    {
        if (request.path == "/metrics") {
            metrics.gauge("shallotrelay_requests_in_progress", "Requests of callers in progress")
                .Set(static_cast<double>(door.inProgress()));
            metrics.gauge("shallotrelay_revision", "Revision of the operators' state that is applied")
                .Set(static_cast<double>(appliedRevision()));
            metrics.gauge("shallotrelay_log_lines_dropped", "Log lines that could not be written in time")
                .Set(static_cast<double>(log.dropped()));
            co_return HttpReply{200, "text/plain; version=0.0.4", metrics.text()};
        }
        if (request.path == "/healthz") {
            co_return HttpReply{200, "text/plain", "ok\n"};
        }
        co_return HttpReply{404, "text/plain", "not found\n"};
    }

    bool ready() const
    {
        if (stopping || appliedRevision() == 0) {
            return false;
        }
        return (presence.current() && ledgerKnown) || clock.now() - started > StartPatience;
    }

    absl::Status start()
    {
        log.write(LogLevel::Info, "node-start",
                  LogFields()
                      .add("node", options.name)
                      .add("data_centre", options.dataCentre)
                      .add("service", options.service)
                      .add("incarnation", incarnation)
                      .add("links", "unauthenticated"));
        for (const absl::Status &status : {peers.start(options.peerListen), beacons.start(options.peerListen),
                                           door.start(options.listen), metricsServer.start(options.metricsListen)}) {
            if (!status.ok()) {
                return status;
            }
        }
        asio::io_context &loop = runtime.shard(0);
        asio::co_spawn(loop, keepLinks(), asio::detached);
        asio::co_spawn(loop, tickGuard(), asio::detached);
        asio::co_spawn(loop, watchTarget(), asio::detached);
        asio::co_spawn(loop, learnLedger(shared_from_this()), asio::detached);
        return absl::OkStatus();
    }

    void beginStop()
    {
        stopping = true;
        stopBegun = clock.now();
        door.wind();
        log.write(LogLevel::Info, "node-stop",
                  LogFields()
                      .add("callers", std::uint64_t(door.inProgress()))
                      .add("peers", std::uint64_t(peers.inProgress())));
    }

    bool stopped() const
    {
        const Duration since = clock.now() - stopBegun;
        if (since < CallerGrace) {
            return false;
        }
        const bool idle = door.inProgress() == 0 && peers.inProgress() == 0;
        return idle || since > options.grace - StopMargin;
    }
};

ClusterNode::ClusterNode(Runtime &runtime, const Clock &clock, Options options, ClusterHooks hooks, EventLog &log)
    : m_impl(std::make_shared<Impl>(runtime, clock, std::move(options), std::move(hooks), log))
{
}

ClusterNode::~ClusterNode() = default;

absl::Status ClusterNode::start()
{
    return m_impl->start();
}

AnnouncementResult ClusterNode::announce(const TargetHeartbeat &heartbeat)
{
    return m_impl->announce(heartbeat);
}

void ClusterNode::targetLeaves(const std::string &id)
{
    const auto before = m_impl->presence.current();
    if (m_impl->presence.markLeaving(id)) {
        m_impl->applyPresence(before, std::nullopt, false);
    }
}

bool ClusterNode::ready() const
{
    return m_impl->ready();
}

void ClusterNode::beginStop()
{
    m_impl->beginStop();
}

bool ClusterNode::stopped() const
{
    return m_impl->stopped();
}

}
