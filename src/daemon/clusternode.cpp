#include "daemon/clusternode.h"

#include "daemon/beaconschedule.h"
#include "daemon/callerresolver.h"
#include "daemon/containment.h"
#include "daemon/controllink.h"
#include "daemon/crashledgerexchange.h"
#include "daemon/dispatcher.h"
#include "daemon/intentparser.h"
#include "daemon/linkgate.h"
#include "daemon/noderollouts.h"
#include "daemon/originlog.h"
#include "daemon/quotagate.h"
#include "net/beaconsocket.h"
#include "shallotrelay/membership/beaconorder.h"
#include "shallotrelay/membership/controlselector.h"
#include "shallotrelay/membership/targettracker.h"
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

/// The firm that owns all services; a cluster has one intent and hence one owner.
constexpr const char *ClusterFirm = "cluster";

constexpr std::size_t MaxMetricsBytes = 4 * 1024;
/// Interval at which the guard drops or starts queued requests and the load is compared with the last beacon.
constexpr Duration GuardTickInterval = std::chrono::milliseconds(20);
/// A node that has sent no request to a service for this long stops renewing its interest in the service's targets.
constexpr Duration CalledServiceRetention = std::chrono::seconds(10);
constexpr Duration LinkCheckInterval = std::chrono::milliseconds(200);
/// Interval between reports to a control VM.
constexpr Duration ReportInterval = std::chrono::milliseconds(1000);
/// Maximum time until the loss of a silent link to a control VM is noticed.
constexpr Duration LinkLossDetectionTime = 3 * ReportInterval + LinkCheckInterval;
/// The directory entries from a control VM are discarded this long after its link was lost, if another link is up.
constexpr Duration DirectoryRetention = std::chrono::seconds(3);
/// Interval between probes of a reachable target.
constexpr Duration ProbeInterval = std::chrono::milliseconds(1000);
/// Interval between probes while the target cannot be reached or may have been replaced.
constexpr Duration FastProbeInterval = std::chrono::milliseconds(100);
/// Maximum time for which an unreachable target is sent no requests if no probe succeeds.
constexpr Duration MaxHoldDuration = std::chrono::milliseconds(1000);
/// Timeout for connecting to the target, which runs on the same VM.
constexpr Duration TargetConnectTimeout = std::chrono::milliseconds(150);
/// Timeout for connecting to another node; covers two round trips between data centres with one lost packet.
constexpr Duration PeerConnectTimeout = std::chrono::milliseconds(300);
/// Time that a target needs to notice a closed connection and to end the request's execution.
constexpr Duration AbandonedSlotHold = std::chrono::milliseconds(20);
/// Maximum time for which a starting node delays being ready until it has heard of its target and fetched crash
/// ledgers.
constexpr Duration StartupTimeout = std::chrono::milliseconds(2500);
/// Minimum time for which a stopping node stays up for callers: two failed readiness checks, one second apart, and a
/// margin.
constexpr Duration CallerDrainTime = std::chrono::milliseconds(3200);
/// Time after which a stopping node refuses new requests: one accepted later might not complete before the kill.
constexpr Duration NewRequestCutoff = std::chrono::milliseconds(2800);
/// Time after which a stopping node refuses requests to its target.
constexpr Duration TargetRequestCutoff = std::chrono::milliseconds(2200);
/// Time before the kill at which a stopping node exits although requests are still in flight.
constexpr Duration KillMargin = std::chrono::milliseconds(400);
/// Responses up to this size are buffered until they are complete.
constexpr std::size_t MaxHeldResponseBytes = 128 * 1024;
/// Request bodies up to this size are buffered, so that another attempt can send them again.
constexpr std::size_t MaxHeldBodyBytes = 64 * 1024;
/// Fraction of the cluster's retry budget that the nodes use. The rest covers retries that a node cannot count, such as
/// the calls made by executions that other nodes have retried.
constexpr double NodeRetryShare = 0.65;
/// Fraction used of the starts that a cold target may get beyond its stated rate; the rest covers starts that arrive
/// late.
constexpr double ColdMarginShare = 0.5;
/// Minimum number of nodes among which the retry slack is divided, also while fewer are known.
constexpr std::size_t MinAssumedNodes = 4;
/// Interval at which expired ledger entries are removed.
constexpr Duration LedgerExpiryInterval = std::chrono::seconds(5);
/// Fraction of the permitted probes of a target that may measure its slowdown; the rest covers health probes.
constexpr double SlowdownProbeShare = 0.8;
constexpr double PercentScale = 100;
constexpr double BytesPerMegabyte = 1e6;

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
    out.departures = DepartureOptions{toSeconds(options.remoteMegabyteCost) / BytesPerMegabyte};
    return out;
}

PeerOptions peerOptions()
{
    PeerOptions out;
    out.keepAliveInterval = Duration::zero();
    out.silenceTimeout = out.stallTimeout;
    out.connectTimeout = PeerConnectTimeout;
    return out;
}

}

struct ClusterNode::Impl : std::enable_shared_from_this<ClusterNode::Impl> {
    Impl(Runtime &r, const Clock &c, Options o, ClusterNodeHooks h, EventLog &l)
        : runtime(r)
        , clock(c)
        , options(std::move(o))
        , hooks(std::move(h))
        , log(l)
        , incarnation(newIncarnation())
        , random(options.seed)
        , services(clock, routerOptions(options), options.seed)
        , containment(clock, options.seed ^ incarnation, containmentHooks(), log, metrics)
        , linkGate(std::make_shared<LinkGate>(clock, options.linkMbps, metrics))
        , local({&clock, std::chrono::hours(1), peerOptions().stallTimeout, options.dataCentre,
                 options.peerListen.text(), incarnation, targetOptions(),
                 [this](const std::string &target) { handleLeavingStatement(target); }},
                services, log, metrics, unavailableKeys())
        , dispatcher(dispatcherOptions(), services, local, log, metrics)
        , frontend(runtime, clock, frontendOptions(),
                   [this](CallerRequest &request, BodySource &source, CallerSink &sink, ExchangeProgress &progress) {
                       return quotas->dispatch(request, progress, [&, this] {
                           return dispatcher.dispatch(request, source, sink, progress);
                       });
                   })
        , peers(
              runtime, clock, peerOptions(),
              [this](const RequestHead &head) {
                  return linkGate->serve(local.findBackend({head.firm, head.service}, head.target));
              },
              [this] { return containment.state(); })
        , beacons(runtime.shard(0), {[this](const LoadBeacon &beacon) { handleBeacon(beacon); },
                                     [this](const LoadInterest &interest) { handleInterest(interest); },
                                     [this](const CrashNotice &notice) { containment.applyNotice(notice); },
                                     [this](const CleanRunNotice &notice) { containment.applyNotice(notice); },
                                     [this](const Frame &datagram) { receiveDatagram(datagram); }})
        , ledgers(std::make_shared<CrashLedgerExchange>(
              clock, CrashLedgerExchange::Options{options.peerListen.text(), peerOptions(), StartupTimeout}, services,
              containment, beacons, log, random))
        , metricsServer(runtime, MaxMetricsBytes, [this](HttpRequest request) { return serve(std::move(request)); })
        , controlSelector(seedAddresses())
        , heartbeats({options.service, options.target.text()}, log, metrics)
        , origins(log, metrics)
        , callers(clock, callerOptions(), services, random, origins, log, metrics)
        , intents(
              runtime.shard(0), [this](IntentUpdate update) { return prepareIntent(std::move(update)); },
              [this](const auto &control, auto intent) { applyIntent(control, std::move(intent)); })
        , probeTimer(runtime.shard(0))
        , startedAt(clock.now())
    {
        nodeServices.push_back(std::make_unique<NodeRollouts>(
            NodeRollouts::Options{options.dataCentre, options.peerListen.text()}, local, log, metrics,
            [this](const std::string &encoded, const Address &to) { beacons.send(encoded, to); }));
        nodeServices.push_back(quotas);
    }

    Runtime &runtime;
    const Clock &clock;
    Options options;
    ClusterNodeHooks hooks;
    EventLog &log;
    std::uint64_t incarnation;
    Random random;
    Metrics metrics;
    ServiceTable services;
    Containment containment;
    std::shared_ptr<LinkGate> linkGate;
    LocalTargets local;
    Dispatcher dispatcher;
    HttpFrontend frontend;
    PeerServer peers;
    BeaconSocket beacons;
    std::shared_ptr<CrashLedgerExchange> ledgers;
    HttpServer metricsServer;
    ControlSelector controlSelector;
    std::map<std::string, std::unique_ptr<ControlLink>> links;
    std::map<std::string, bool> inQuorum; // whether a control VM is in touch with a majority of them, by address
    std::map<std::string, TimePoint> disconnectedSince;
    std::string primaryControl;
    TargetTracker targetTracker;
    HeartbeatIntake heartbeats;
    OriginLog origins;
    CallerResolver callers;
    IntentParser intents;
    asio::steady_timer probeTimer;
    TimePoint nextProbe;
    TimePoint lastProbe;
    bool unreachable = false;
    BeaconOrder beaconOrder;
    std::uint64_t beaconSequence = 0;
    BeaconSchedule beaconSchedule;
    std::map<ServiceId, std::map<std::string, TimePoint>> interestSentAt; // when interest was last sent, by target
    std::shared_ptr<QuotaGate> quotas = std::make_shared<QuotaGate>(
        runtime.shard(0), clock, QuotaLedger::Options{options.name, options.peerListen.text(), incarnation, random()},
        services, beacons, log, metrics);
    std::vector<std::shared_ptr<NodeService>> nodeServices;
    std::string leaderAddress; // as the last view of a control VM that is in touch with a majority states it
    TimePoint startedAt;
    TimePoint intentApplied; // when the intent last changed on this node
    TimePoint stopStartedAt;
    bool targetLeaving = false; // whether the target was announced as leaving because the node stops
    TimePoint nextExpiry;
    std::atomic<bool> stopping = false;

    Dispatcher::Options dispatcherOptions()
    {
        Dispatcher::Options out;
        out.clock = &clock;
        out.peers = peerOptions();
        out.node = options.name;
        out.maxHeldBodyBytes = MaxHeldBodyBytes;
        out.hedges = true;
        out.maxHeldResponseBytes = MaxHeldResponseBytes;
        linkGate->configure(&out);
        out.mayBeSuspect = [this](const RequestHead &head) { return containment.mayBeSuspect(head); };
        out.suspicionLevel
            = [this](const RequestPrint &fingerprint) { return containment.suspicionLevel(fingerprint); };
        return out;
    }

    Containment::Hooks containmentHooks()
    {
        Containment::Hooks out;
        out.sendCrashNotice = [this](const CrashNotice &notice) { ledgers->notifyNodes(encodeFrame(notice)); };
        out.sendCleanRunNotice = [this](const CleanRunNotice &notice) { ledgers->notifyNodes(encodeFrame(notice)); };
        return out;
    }

    /// Returns a key store that obtains no claims: the requests of a cluster carry no idempotency keys.
    std::shared_ptr<NodeKeyLedger> unavailableKeys()
    {
        constexpr std::size_t MaxCachedResponseBytes = 0;
        const auto noClaim
            = [](ClaimRequest) -> asio::awaitable<std::optional<ClaimAnswer>> { co_return std::nullopt; };
        return std::make_shared<NodeKeyLedger>(Duration::zero(), MaxCachedResponseBytes, noClaim);
    }

    GuardedTargetOptions targetOptions()
    {
        GuardedTargetOptions out;
        out.checkResponse = hooks.checkResponse;
        out.targetFields = hooks.targetFields;
        out.onRequestSent = [this](const RequestHead &request) {
            origins.recordSent(request, isServiceKnown(request.callerService), clock.now());
        };
        out.onTargetFault = [this](TargetFault fault) { handleTargetFault(fault); };
        out.slowdownPath = [this] { return healthPath(); };
        out.slowdownProbesPerSecond = options.probesPerSecond * SlowdownProbeShare;
        out.onSlowdownChange = [this] { sendLoadBeacons(false); };
        out.mayBeSuspect = [this](const RequestHead &head) { return containment.mayBeSuspect(head); };
        out.standing = [this](const RequestPrint &fingerprint) { return containment.suspicionLevel(fingerprint); };
        out.onCrash = [this](const Crash &crash) { containment.recordCrash(crash); };
        out.onCleanRun = [this](const RequestPrint &fingerprint) { containment.recordCleanRun(fingerprint); };
        out.connectTimeout = TargetConnectTimeout;
        out.cancelsOnClose = true;
        out.abandonedSlotHold = AbandonedSlotHold;
        return out;
    }

    FrontendOptions frontendOptions()
    {
        FrontendOptions out;
        out.resolve
            = [this](const CallerHead &caller, CallerRequest *request) { return callers.resolve(caller, request); };
        out.acceptsRequestIds = true;
        out.fractionalRetryAfter = true;
        out.responseBufferBytes = MaxHeldResponseBytes;
        linkGate->configure(&out);
        out.maxHeadBytes = 64 * 1024;
        return out;
    }

    CallerResolver::Options callerOptions()
    {
        CallerResolver::Options out;
        out.firm = ClusterFirm;
        out.policy.failClosed = options.failClosed;
        out.policy.failClosedAfter = std::max(Duration::zero(), options.revokeTime - LinkLossDetectionTime);
        out.removeReservedFields = hooks.removeReservedFields;
        out.localService = [this] { return targetService(); };
        out.localTarget = [this] { return guardedTarget(); };
        return out;
    }

    /// Returns the seeds with the peer port: control VMs accept nodes there, and it is the same on all VMs.
    std::vector<std::string> seedAddresses() const
    {
        std::vector<std::string> out;
        for (const Address &it : options.seeds) {
            out.push_back(Address{it.host, options.peerListen.port}.text());
        }
        return out;
    }

    std::uint64_t appliedRevision() const
    {
        const auto bundle = services.bundleOf(ClusterFirm);
        return bundle ? bundle->revision : 0;
    }

    /// Parses an update of the intent; runs on the thread of the parser and reads only what stays the same.
    absl::StatusOr<ParsedIntent> prepareIntent(IntentUpdate update) const
    {
        auto bundle = hooks.parseIntent(update);
        if (!bundle.ok()) {
            return bundle.status();
        }
        bundle->firm = ClusterFirm;
        NodeRollouts::addTo(&*bundle, update.rollouts);
        for (auto &it : bundle->services) {
            it.second.refusesLate = true;
            it.second.coldPerSecond *= 1 + ColdMarginShare * std::max(0.0, options.coldFactor - 1);
            it.second.retryPercent = static_cast<std::uint32_t>(options.retryRatio * NodeRetryShare * PercentScale);
        }
        update.document = std::string();
        KeyTable keys = callers.takeKeys(&*bundle);
        auto prepared = prepareBundle(update.revision, *std::move(bundle));
        return ParsedIntent{std::move(update), std::move(prepared), std::move(keys)};
    }

    void applyIntent(const std::string &control, absl::StatusOr<ParsedIntent> intent)
    {
        if (!intent.ok()) {
            log.write(LogLevel::Error, "intent",
                      LogFields().add("control", control).add("error", std::string(intent.status().message())));
            return;
        }
        const IntentUpdate &update = intent->update;
        if (!services.applyVerifiedBundle(intent->bundle)) {
            return;
        }
        callers.apply(*intent->bundle, std::move(intent->keys));
        intentApplied = clock.now();
        for (const auto &it : nodeServices) {
            it->applyIntent(update, intent->bundle->bundle);
        }
        local.applyPolicies();
        LogFields fields;
        fields.add("control", control).add("revision", update.revision).add("version", update.version);
        for (const std::string &it : update.outOfService) {
            fields.add("out_of_service", it);
        }
        log.write(LogLevel::Info, "intent-applied", fields);
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
        out.onIntent = [this, address](PackedIntent intent) { intents.submit(address, std::move(intent)); };
        out.onView = [this, address](const ControlView &view) {
            inQuorum[address] = view.current;
            leaderAddress = view.current ? view.leader : leaderAddress;
            if (view.current && !view.addresses.empty()) {
                controlSelector.setKnownAddresses(view.addresses);
            }
        };
        out.nodeWatch = [this, address] { return NodeWatch{appliedRevision(), address == primaryControl}; };
        return out;
    }

    asio::awaitable<void> maintainLinks()
    {
        for (;;) {
            updateLinks();
            sendLoadInterest();
            co_await sleepFor(LinkCheckInterval);
        }
    }

    void updateLinks()
    {
        const TimePoint now = clock.now();
        bool inTouch = false;
        for (const auto &it : links) {
            const bool healthy = it.second->connected() && inQuorum[it.first];
            inTouch = inTouch || healthy;
            controlSelector.recordLinkState(it.first, healthy, now);
            if (it.second->connected()) {
                disconnectedSince.erase(it.first);
            } else {
                disconnectedSince.emplace(it.first, now);
            }
        }
        callers.recordContact(inTouch);
        const std::vector<std::string> selected = controlSelector.selected(now);
        std::erase_if(links, [&](const auto &it) {
            const bool isObsolete = std::find(selected.begin(), selected.end(), it.first) == selected.end();
            if (isObsolete) {
                disconnectedSince.emplace(it.first, now);
                inQuorum.erase(it.first);
            }
            return isObsolete;
        });
        for (const std::string &it : selected) {
            if (!links.contains(it)) {
                links[it] = std::make_unique<ControlLink>(runtime, linkOptions(it), services, local, log);
                links[it]->start();
            }
        }
        choosePrimary(selected);
        dropLostDirectories(now);
        const std::size_t nodes = std::max(MinAssumedNodes, services.peers()->size());
        const double burst = options.retrySlack * NodeRetryShare / static_cast<double>(nodes);
        if (burst != retryBurst) {
            retryBurst = burst;
            services.setRetryBurst(burst);
        }
    }

    double retryBurst = 0;

    /// Chooses the control VM that sends changes of the intent to this node first. The hash of the node's name decides,
    /// so that the nodes spread over the control VMs.
    void choosePrimary(const std::vector<std::string> &selected)
    {
        std::vector<std::string> good;
        for (const std::string &it : selected) {
            if (links.at(it)->connected() && inQuorum[it]) {
                good.push_back(it);
            }
        }
        if (!good.empty() && std::find(good.begin(), good.end(), primaryControl) == good.end()) {
            primaryControl = good[std::hash<std::string>{}(options.name) % good.size()];
        }
    }

    void dropLostDirectories(TimePoint now)
    {
        const auto isConnected = [](const auto &it) { return it.second->connected(); };
        if (std::none_of(links.begin(), links.end(), isConnected)) {
            return;
        }
        std::erase_if(disconnectedSince, [&](const auto &it) {
            const bool old = now - it.second > DirectoryRetention;
            if (old) {
                services.removeDirectorySource(it.first);
            }
            return old;
        });
    }

    AnnouncementResult announce(const TargetHeartbeat &heartbeat)
    {
        const auto before = targetTracker.current();
        const HeartbeatEffect effect = heartbeats.take(heartbeat, &targetTracker, clock.now());
        if (effect.changesTarget) {
            applyPresence(before, effect.remainingColdTime, false);
        } else if (effect.result == AnnouncementResult::Accepted) {
            probeSoon();
        }
        return effect.result;
    }

    /// Applies the known state of the target to its guard. The remaining cold time is current if it comes from a probe
    /// that was sent after the last change of the intent.
    void applyPresence(const std::optional<TrackedTarget> &before, std::optional<Duration> remainingColdTime,
                       bool current)
    {
        const TrackedTarget &now = *targetTracker.current();
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
        out.version = now.reported.version;
        out.target.bootId = std::to_string(now.start);
        const bool acceptsRequests = !now.reported.leaving && !targetLeaving && targetTracker.isConfirmed()
                                     && heartbeats.claims().mayServe(now.reported.id);
        out.target.state = acceptsRequests ? TargetState::Ready : TargetState::Leaving;
        out.target.slots = now.reported.slots;
        // While the target is unreachable, a heartbeat may be outdated, so only a probe can show that it is warm.
        out.target.remainingColdTime = unreachable ? std::nullopt : remainingColdTime;
        out.target.remainingColdTimeIsCurrent = current;
        if (local.announce(out)) {
            reportSoon();
            sendLoadBeacons(true);
        }
    }

    void noteTargetLeaving(const std::string &id)
    {
        const auto before = targetTracker.current();
        if (targetTracker.markLeaving(id)) {
            applyPresence(before, std::nullopt, false);
        }
    }

    void handleLeavingStatement(const std::string &id)
    {
        const auto before = targetTracker.current();
        if (targetTracker.recordLeavingStatement(id, clock.now())) {
            applyPresence(before, std::nullopt, false);
        }
    }

    void handleTargetFault(TargetFault fault)
    {
        if (fault == TargetFault::Unreachable) {
            unreachable = true;
            if (const auto guarded = guardedTarget()) {
                guarded->refuseFor(MaxHoldDuration);
            }
        }
        probeSoon();
    }

    void probeSoon()
    {
        nextProbe = std::min(nextProbe, std::max(clock.now(), lastProbe + FastProbeInterval));
        probeTimer.cancel();
    }

    std::shared_ptr<GuardedTarget> guardedTarget() const
    {
        const auto &target = targetTracker.current();
        return target ? local.find({ClusterFirm, target->reported.service}, target->reported.id) : nullptr;
    }

    /// Returns the service of the VM. The target may name it only if the platform does not.
    std::string targetService() const
    {
        const auto &target = targetTracker.current();
        return options.service.empty() && target ? target->reported.service : options.service;
    }

    /// Returns whether the state of the operators or the platform names a service.
    bool isServiceKnown(const std::string &service) const
    {
        const auto bundle = services.bundleOf(ClusterFirm);
        return service == options.service || (bundle && bundle->bundle.findService(service) != nullptr);
    }

    std::string healthPath() const
    {
        const auto bundle = services.bundleOf(ClusterFirm);
        const ServicePolicy *policy = bundle ? bundle->bundle.findService(targetService()) : nullptr;
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
                nextProbe = lastProbe + FastProbeInterval;
                continue;
            }
            const auto probed = guardedTarget();
            const std::uint64_t startNumber = probed ? probed->startNumber() : 0;
            const auto probe = co_await hooks.probe(options.target, path);
            handleProbe(probe);
            if (const auto guarded = guardedTarget(); guarded && probe.ok()) {
                guarded->applyStatement(probe->statement, StatementSource::HealthProbe,
                                        guarded == probed ? startNumber : guarded->startNumber());
            }
            nextProbe = clock.now() + (unreachable ? FastProbeInterval : ProbeInterval);
        }
    }

    void handleProbe(const absl::StatusOr<TargetProbe> &probe)
    {
        heartbeats.claims().recordProbe(probe.ok() ? probe->id : "");
        if (!probe.ok()) {
            if (const auto guarded = guardedTarget(); guarded && isConnectionRefused(probe.status())) {
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
                guarded->refuseFor(Duration::zero());
            }
        }
        const auto before = targetTracker.current();
        if (targetTracker.applyProbe(*probe, targetService(), options.target.text(), lastProbe)) {
            log.write(LogLevel::Info, "target-found",
                      LogFields()
                          .add("target", probe->id)
                          .add("may_serve", std::uint64_t(heartbeats.claims().mayServe(probe->id) ? 1 : 0))
                          .add("cold_ms", probe->remainingColdTime ? toMilliseconds(*probe->remainingColdTime) : -1.0));
        }
        applyPresence(before, probe->remainingColdTime, lastProbe > intentApplied);
        if (const auto guarded = guardedTarget()) {
            guarded->responded(lastProbe);
            if (probe->pacePercent > 0) {
                guarded->setSlowdown(probe->pacePercent);
            }
        }
    }

    void handleBeacon(const LoadBeacon &beacon)
    {
        if (!beaconOrder.accept(beacon, clock.now())) {
            return;
        }
        services.recordLoadBeacon({ClusterFirm, beacon.service}, beacon.target, beacon.load,
                                  std::chrono::milliseconds(beacon.nextMs));
        if (beacon.crashDigest != containment.digest()) {
            ledgers->recordDigest(beacon.crashDigest, peerAddressOf({ClusterFirm, beacon.service}, beacon.target),
                                  runtime.shard(0));
        }
    }

    /// Returns where the node of a target accepts requests of other nodes, or none if that is not known.
    std::optional<Address> peerAddressOf(const ServiceId &service, const std::string &target) const
    {
        const auto shard = services.find(service);
        if (!shard) {
            return std::nullopt;
        }
        const std::lock_guard lock(shard->mutex);
        const auto it = shard->records.find(target);
        const auto address = it == shard->records.end()
                                 ? absl::StatusOr<Address>(absl::NotFoundError("target has no record in the directory"))
                                 : parseAddress(it->second.peerAddress);
        return address.ok() ? std::optional(*address) : std::nullopt;
    }

    asio::awaitable<void> tickGuard()
    {
        for (;;) {
            co_await sleepFor(GuardTickInterval);
            local.tick();
            for (const auto &it : nodeServices) {
                it->tick(leaderAddress, clock.now());
            }
            sendLoadBeacons(false);
            if (clock.now() >= nextExpiry) {
                nextExpiry = clock.now() + LedgerExpiryInterval;
                containment.expire();
                beaconOrder.expire(clock.now());
            }
            if (stopping && clock.now() - stopStartedAt > NewRequestCutoff) {
                frontend.rejectNewRequests();
            }
            if (stopping && !targetLeaving && clock.now() - stopStartedAt > TargetRequestCutoff) {
                targetLeaving = true;
                local.announceAllLeaving();
                reportSoon();
                sendLoadBeacons(true);
            }
        }
    }

    /// Sends the load of the target to the interested nodes: at once if requested, when it changed significantly,
    /// and otherwise at the maximum beacon interval.
    void sendLoadBeacons(bool immediately)
    {
        const auto guarded = guardedTarget();
        if (!guarded) {
            return;
        }
        const TimePoint now = clock.now();
        const LoadReport load = guarded->load();
        const bool due = beaconSchedule.isDue(load, now);
        if (!immediately && !due) {
            return;
        }
        beaconSchedule.recordSent(load, now);
        const auto &target = targetTracker.current();
        services.recordTargetLoad({ClusterFirm, target->reported.service}, target->reported.id, load);
        const LoadBeacon beacon{target->reported.service,
                                target->reported.id,
                                ++beaconSequence,
                                incarnation,
                                containment.digest(),
                                toWholeMilliseconds(beaconSchedule.maxInterval()),
                                load};
        const std::string encoded = encodeFrame(beacon);
        for (const Address &it : beaconSchedule.subscribers()) {
            beacons.send(encoded, it);
        }
    }

    void receiveDatagram(const Frame &datagram)
    {
        for (const auto &it : nodeServices) {
            if (it->receive(datagram, clock.now())) {
                return;
            }
        }
    }

    void handleInterest(const LoadInterest &interest)
    {
        const auto subscription = beaconSchedule.subscribe(interest.address, clock.now());
        if (subscription == BeaconSchedule::Subscription::Refused) {
            log.write(LogLevel::Info, "interest-refused", LogFields().add("address", interest.address));
        } else if (subscription == BeaconSchedule::Subscription::Added) {
            sendLoadBeacons(true);
        }
    }

    /// Requests load beacons from the nodes of the preferred targets of each service that this node has called lately.
    void sendLoadInterest()
    {
        const TimePoint now = clock.now();
        const std::string self = options.peerListen.text();
        const std::string encoded = encodeFrame(LoadInterest{self});
        for (const auto &shard : services.all()) {
            std::map<std::string, TimePoint> &sentAt = interestSentAt[shard->id];
            std::map<std::string, TimePoint> kept;
            const std::lock_guard lock(shard->mutex);
            if (shard->lastRequestAt == TimePoint{} || now - shard->lastRequestAt > CalledServiceRetention) {
                interestSentAt.erase(shard->id);
                continue;
            }
            for (const std::string &it : shard->router.preferred()) {
                const auto record = shard->records.find(it);
                const auto before = sentAt.find(it);
                const bool due = before == sentAt.end() || now - before->second >= InterestRenewalInterval;
                kept[it] = due ? now : before->second;
                if (!due || record == shard->records.end() || record->second.peerAddress == self) {
                    continue;
                }
                if (const auto address = parseAddress(record->second.peerAddress); address.ok()) {
                    beacons.send(encoded, *address);
                }
            }
            sentAt = std::move(kept);
        }
    }

    asio::awaitable<HttpResponse> serve(HttpRequest request)
    {
        if (request.path == "/metrics") {
            metrics.gauge("shallotrelay_requests_in_progress", "Requests of callers in progress")
                .Set(static_cast<double>(frontend.inProgress()));
            metrics.gauge("shallotrelay_revision", "Revision of the operators' state that is applied")
                .Set(static_cast<double>(appliedRevision()));
            metrics.gauge("shallotrelay_log_lines_dropped", "Log lines that could not be written in time")
                .Set(static_cast<double>(log.dropped()));
            co_return HttpResponse{200, "text/plain; version=0.0.4", metrics.text()};
        }
        if (request.path == "/healthz") {
            co_return HttpResponse{200, "text/plain", "ok\n"};
        }
        co_return HttpResponse{404, "text/plain", "not found\n"};
    }

    bool ready() const
    {
        if (stopping || appliedRevision() == 0) {
            return false;
        }
        return (targetTracker.current() && ledgers->initialFetchDone()) || clock.now() - startedAt > StartupTimeout;
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
        for (const absl::Status &status :
             {peers.start(options.peerListen), beacons.start(options.peerListen), frontend.start(options.listen),
              metricsServer.start(options.metricsListen)}) {
            if (!status.ok()) {
                return status;
            }
        }
        asio::io_context &loop = runtime.shard(0);
        asio::co_spawn(loop, maintainLinks(), asio::detached);
        asio::co_spawn(loop, tickGuard(), asio::detached);
        asio::co_spawn(loop, watchTarget(), asio::detached);
        asio::co_spawn(loop, CrashLedgerExchange::fetchInitial(ledgers), asio::detached);
        return absl::OkStatus();
    }

    void beginStop()
    {
        stopping = true;
        stopStartedAt = clock.now();
        frontend.disableKeepAlive();
        log.write(LogLevel::Info, "node-stop",
                  LogFields()
                      .add("callers", std::uint64_t(frontend.inProgress()))
                      .add("peers", std::uint64_t(peers.inProgress())));
    }

    bool stopped() const
    {
        const Duration since = clock.now() - stopStartedAt;
        if (since < CallerDrainTime) {
            return false;
        }
        const bool idle = frontend.inProgress() == 0 && peers.inProgress() == 0;
        return idle || since > options.grace - KillMargin;
    }
};

ClusterNode::ClusterNode(Runtime &runtime, const Clock &clock, Options options, ClusterNodeHooks hooks, EventLog &log)
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

void ClusterNode::noteTargetLeaving(const std::string &id)
{
    m_impl->noteTargetLeaving(id);
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
