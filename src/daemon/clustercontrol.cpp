#include "daemon/clustercontrol.h"

#include "daemon/leaderservice.h"
#include "daemon/nodesessions.h"
#include "daemon/quotakeepertask.h"
#include "daemon/rolloutcoordinator.h"
#include "net/beaconsocket.h"
#include "wire/frame.h"
#include "wire/textcompression.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace shallotrelay
{
namespace
{

/// Size limit of an operator request, in bytes, so that the resulting state fits into a frame to a node.
constexpr std::size_t MaxOrderBytes = 3 * 1024 * 1024;
constexpr std::size_t MaxMetricsBytes = 4 * 1024;
/// Time without a report after which a node is removed from the directory; three report intervals.
constexpr Duration NodeLease = std::chrono::seconds(3);
constexpr Duration NodeHeartbeat = std::chrono::milliseconds(1000);
constexpr std::uint32_t MaxConnections = 3500;
/// Delay before a control VM that is not the first one of a node sends a change, so that normally only the first does.
constexpr Duration SecondaryControlDelay = std::chrono::milliseconds(150);

/// Part of the tolerated excess of quotas that the keeper hands out; the rest covers nodes that are out of touch.
constexpr double HandedOutSlack = 0.5;
/// Interval at which the tasks of the leader run.
constexpr Duration LeaderServiceInterval = std::chrono::milliseconds(100);

std::vector<ReplicaMember> seedMembers(const ClusterControl::Options &options)
{
    std::vector<ReplicaMember> out;
    for (const Address &it : options.seeds) {
        // All control VMs listen on the same ports.
        const Address peer{it.host, options.listen.port};
        out.push_back({"", peer.text(), it.text()});
    }
    return out;
}

}

struct ClusterControl::Impl : std::enable_shared_from_this<ClusterControl::Impl> {
    Impl(Runtime &r, const Clock &c, Options o, OperatorHandler handler, EventLog &l)
        : runtime(r)
        , clock(c)
        , options(std::move(o))
        , operatorHandler(std::move(handler))
        , log(l)
        , nodes(r, c, {NodeLease, NodeHeartbeat, MaxConnections}, nodeHooks())
        , store(r, c, storeOptions(), l, metrics)
        , rolloutApi(store, rolloutOptions())
        , operatorServer(r, MaxOrderBytes, [this](HttpRequest request) { return serveOperator(std::move(request)); })
        , metricsServer(r, MaxMetricsBytes, [this](HttpRequest request) { return serveMetrics(std::move(request)); })
        , datagrams(r.shard(0), {{}, {}, {}, {}, [this](const Frame &datagram) { receiveDatagram(datagram); }})
    {
        if (options.parseState) {
            leaderServices.push_back(std::make_unique<QuotaKeeperTask>(quotaHooks(), log, metrics));
        }
    }

    Runtime &runtime;
    const Clock &clock;
    Options options;
    OperatorHandler operatorHandler;
    EventLog &log;
    Metrics metrics;
    NodeSessions nodes;
    IntentStore store;
    RolloutApi rolloutApi;
    HttpServer operatorServer;
    HttpServer metricsServer;
    BeaconSocket datagrams;
    std::vector<std::unique_ptr<LeaderService>> leaderServices;

    void receiveDatagram(const Frame &datagram)
    {
        for (const auto &it : leaderServices) {
            if (it->receive(datagram, store.leads(), clock.now())) {
                return;
            }
        }
    }

    void addRolloutCoordinator()
    {
        RolloutCoordinator::Hooks hooks;
        hooks.rollouts = [this] { return store.ledger().rollouts().records(); };
        hooks.revision = [this] { return store.ledger().revision(); };
        hooks.term = [this] { return store.term(); };
        hooks.timeOfDay = [] { return Duration(std::chrono::system_clock::now().time_since_epoch()); };
        hooks.submit = [this](IntentOrder order, std::function<void()> done) {
            asio::co_spawn(runtime.shard(0), submitOrder(shared_from_this(), std::move(order), std::move(done)),
                           asio::detached);
        };
        hooks.send = [this](const std::string &encoded, const Address &to) { datagrams.send(encoded, to); };
        leaderServices.push_back(
            std::make_unique<RolloutCoordinator>(options.rollouts, std::move(hooks), log, metrics));
    }

    /// The outcome shows in the state; a step that did not take effect is submitted again.
    static asio::awaitable<void> submitOrder(std::shared_ptr<Impl> self, IntentOrder order, std::function<void()> done)
    {
        const auto makeOrder = [&order](const IntentLedger &) { return absl::StatusOr<IntentOrder>(order); };
        co_await self->store.submit(makeOrder);
        done();
    }

    static asio::awaitable<void> runLeaderServices(std::shared_ptr<Impl> self)
    {
        for (;;) {
            co_await sleepFor(LeaderServiceInterval);
            for (const auto &it : self->leaderServices) {
                it->tick(self->store.leads(), self->clock.now());
            }
        }
    }

    RolloutApi::Options rolloutOptions() const
    {
        return {options.rollouts.share > 0, options.hasService, [] { return std::chrono::system_clock::now(); }};
    }

    asio::awaitable<HttpResponse> serveOperator(HttpRequest request)
    {
        return RolloutApi::isRolloutPath(request.path) ? rolloutApi.handle(std::move(request))
                                                       : operatorHandler(store, rolloutApi, std::move(request));
    }

    QuotaKeeperTask::Hooks quotaHooks()
    {
        QuotaKeeperTask::Hooks out;
        out.term = [this] { return store.term(); };
        out.revision = [this] { return store.ledger().revision(); };
        out.policies = [this] { return quotas(); };
        out.send = [this](const std::string &encoded, const Address &to) { datagrams.send(encoded, to); };
        return out;
    }

    /// Returns the quotas of the operators' state, none if the state cannot be parsed.
    QuotaPolicies quotas() const
    {
        const IntentUpdate update = store.ledger().update();
        const auto bundle = update.version == 0 ? absl::StatusOr<Bundle>(Bundle()) : options.parseState(update);
        if (!bundle.ok()) {
            log.write(
                LogLevel::Error, "intent",
                LogFields().add("revision", update.revision).add("error", std::string(bundle.status().message())));
        }
        return bundle.ok() && bundle->workspaces ? quotasOf(*bundle->workspaces, HandedOutSlack * options.quotaSlack)
                                                 : QuotaPolicies();
    }

    IntentStore::Options storeOptions()
    {
        IntentStore::Options out;
        out.self = {"", options.listen.text(), options.operatorListen.text()};
        out.seeds = seedMembers(options);
        out.firstStart = options.firstStart;
        out.dataFolder = options.dataFolder;
        out.seed = options.seed;
        out.onChange = [this] { nodes.wakeAll(); };
        return out;
    }

    NodeSessions::Hooks nodeHooks()
    {
        NodeSessions::Hooks hooks;
        hooks.handleFrame
            = [this](FrameStream &, NodeSession &session, const Frame &frame) { return handleFrame(session, frame); };
        hooks.queueUpdates
            = [this](FrameStream &stream, NodeSession &session) { return queueUpdates(stream, session); };
        return hooks;
    }

    asio::awaitable<bool> handleFrame(NodeSession &session, const Frame &frame)
    {
        if (frame.type == ConsensusMessage::FrameType) {
            const auto message = decodeAs<ConsensusMessage>(frame);
            if (message.ok()) {
                store.receive(*message);
            }
            co_return message.ok();
        }
        if (frame.type == JoinRequest::FrameType) {
            const auto request = decodeAs<JoinRequest>(frame);
            if (request.ok()) {
                store.receive(*request);
            }
            co_return request.ok();
        }
        const auto watch = decodeAs<NodeWatch>(frame);
        if (watch.ok()) {
            session.watch = *watch;
        }
        co_return watch.ok();
    }

    /// Queues the list of control VMs if it has changed, and the state if the node does not apply it yet. Returns the
    /// delay until the next call, zero for the next heartbeat.
    Duration queueUpdates(FrameStream &stream, NodeSession &session)
    {
        const ControlView view = store.view();
        std::string encoded = encodeFrame(view);
        if (session.sentView != encoded) {
            session.sentView = std::move(encoded);
            stream.queue(view);
        }
        const std::uint64_t revision = store.ledger().revision();
        std::uint64_t &sentRevision = session.sentRevisions[""];
        if (store.ledger().version() == 0 || session.watch.revision >= revision || sentRevision >= revision) {
            return Duration::zero();
        }
        if (session.pendingRevision != revision) {
            session.pendingRevision = revision;
            session.pendingSince = clock.now();
        }
        const Duration elapsed = clock.now() - session.pendingSince;
        if (!session.watch.first && elapsed < SecondaryControlDelay) {
            return SecondaryControlDelay - elapsed;
        }
        sentRevision = revision;
        stream.queue(compressedState(revision));
        return Duration::zero();
    }

    /// Returns the compressed state for nodes; it is compressed once per revision.
    const PackedIntent &compressedState(std::uint64_t revision)
    {
        if (compressedRevision != revision) {
            const std::string encoded = encodePayload(store.ledger().update());
            compressed = {revision, encoded.size(), compressText(encoded)};
            compressedRevision = revision;
        }
        return compressed;
    }

    PackedIntent compressed;
    std::uint64_t compressedRevision = 0;

    asio::awaitable<HttpResponse> serveMetrics(HttpRequest request)
    {
        if (request.path == "/metrics") {
            co_return HttpResponse{200, "text/plain; version=0.0.4", metrics.text()};
        }
        if (request.path == "/healthz") {
            co_return HttpResponse{200, "text/plain", "ok\n"};
        }
        if (request.path != "/v1/cluster") {
            co_return HttpResponse{404, "text/plain", "not found\n"};
        }
        const ControlView view = store.view();
        const nlohmann::ordered_json json
            = {{"in_touch", view.current}, {"revision", view.revision},       {"version", store.ledger().version()},
               {"voters", view.addresses}, {"nodes", nodes.reports().size()}, {"targets", nodes.targetCount()}};
        co_return HttpResponse{200, "application/json", json.dump(2) + "\n"};
    }
};

ClusterControl::ClusterControl(Runtime &runtime, const Clock &clock, Options options, OperatorHandler operatorHandler,
                               EventLog &log)
    : m_impl(std::make_shared<Impl>(runtime, clock, std::move(options), std::move(operatorHandler), log))
{
}

ClusterControl::~ClusterControl() = default;

absl::Status ClusterControl::start()
{
    Impl &impl = *m_impl;
    impl.log.write(LogLevel::Info, "control-start",
                   LogFields()
                       .add("control", impl.options.name)
                       .add("first_start", std::uint64_t(impl.options.firstStart ? 1 : 0))
                       .add("links", "unauthenticated"));
    if (const absl::Status status = impl.store.start(); !status.ok()) {
        return status;
    }
    if (const absl::Status status = impl.nodes.start(impl.options.listen); !status.ok()) {
        return status;
    }
    if (const absl::Status status = impl.operatorServer.start(impl.options.operatorListen); !status.ok()) {
        return status;
    }
    if (impl.options.rollouts.share > 0) {
        impl.addRolloutCoordinator();
    }
    if (!impl.leaderServices.empty()) {
        if (const absl::Status status = impl.datagrams.start(impl.options.listen); !status.ok()) {
            return status;
        }
        asio::co_spawn(impl.runtime.shard(0), Impl::runLeaderServices(m_impl), asio::detached);
    }
    return impl.metricsServer.start(impl.options.metricsListen);
}

}
