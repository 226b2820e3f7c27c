#include "daemon/clustercontrol.h"

#include "daemon/nodesessions.h"
#include "wire/frame.h"
#include "wire/packedtext.h"

#include <nlohmann/json.hpp>

namespace shallotrelay
{
namespace
{

/// Largest order; the largest state that a frame carries to a node.
constexpr std::size_t MaxOrderBytes = 3 * 1024 * 1024;
constexpr std::size_t MaxMetricsBytes = 4 * 1024;
/// Time after which a node that does not report is dropped from the directory; three reports.
constexpr Duration NodeLease = std::chrono::seconds(3);
constexpr Duration NodeHeartbeat = std::chrono::milliseconds(1000);
constexpr std::uint32_t MaxConnections = 3500;
/// Time that a control VM which is not the first one of a node leaves to the first one to bring it a change.
constexpr Duration SecondTellerDelay = std::chrono::milliseconds(150);

std::vector<ReplicaMember> seedMembers(const ClusterControl::Options &options)
{
    std::vector<ReplicaMember> out;
    for (const Address &it : options.seeds) {
        // Ports are the same on all control VMs.
        const Address peer{it.host, options.listen.port};
        out.push_back({"", peer.text(), it.text()});
    }
    return out;
}

}

struct ClusterControl::Impl : std::enable_shared_from_this<ClusterControl::Impl> {
    Impl(Runtime &r, const Clock &c, Options o, OnOrder order, EventLog &l)
        : runtime(r)
        , clock(c)
        , options(std::move(o))
        , onOrder(std::move(order))
        , log(l)
        , nodes(r, c, {NodeLease, NodeHeartbeat, MaxConnections}, nodeHooks())
        , store(r, c, storeOptions(), l, metrics)
        , operators(r, MaxOrderBytes, [this](HttpRequest request) { return onOrder(store, std::move(request)); })
        , metricsServer(r, MaxMetricsBytes, [this](HttpRequest request) { return serveMetrics(std::move(request)); })
    {
    }

    Runtime &runtime;
    const Clock &clock;
    Options options;
    OnOrder onOrder;
    EventLog &log;
    Metrics metrics;
    NodeSessions nodes;
    IntentStore store;
    HttpServer operators;
    HttpServer metricsServer;

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
        hooks.takeFrame
            = [this](FrameStream &, NodeSession &session, const Frame &frame) { return takeFrame(session, frame); };
        hooks.queueNews = [this](FrameStream &stream, NodeSession &session) { return queueNews(stream, session); };
        return hooks;
    }

    asio::awaitable<bool> takeFrame(NodeSession &session, const Frame &frame)
    {
        if (frame.type == ConsensusMessage::FrameType) {
            const auto message = decodeAs<ConsensusMessage>(frame);
            if (message.ok()) {
                store.take(*message);
            }
            co_return message.ok();
        }
        if (frame.type == JoinRequest::FrameType) {
            const auto request = decodeAs<JoinRequest>(frame);
            if (request.ok()) {
                store.take(*request);
            }
            co_return request.ok();
        }
        const auto watch = decodeAs<NodeWatch>(frame);
        if (watch.ok()) {
            session.watch = *watch;
        }
        co_return watch.ok();
    }

    /// Sends the list of control VMs when it changed, and the state to a node that does not apply it yet.
    Duration queueNews(FrameStream &stream, NodeSession &session)
    {
        const ControlView view = store.view();
        std::string encoded = encodeFrame(view);
        if (session.sentView != encoded) {
            session.sentView = std::move(encoded);
            stream.queue(view);
        }
        const std::uint64_t revision = store.ledger().revision();
        std::uint64_t &sent = session.sentRevisions[""];
        if (store.ledger().version() == 0 || session.watch.revision >= revision || sent >= revision) {
            return Duration::zero();
        }
        if (session.seenRevision != revision) {
            session.seenRevision = revision;
            session.changeSeen = clock.now();
        }
        const Duration waited = clock.now() - session.changeSeen;
        if (!session.watch.first && waited < SecondTellerDelay) {
            return SecondTellerDelay - waited;
        }
        sent = revision;
        stream.queue(packedIntent(revision));
        return Duration::zero();
    }

    /// The state as nodes get it, packed once for all of them.
    const PackedIntent &packedIntent(std::uint64_t revision)
    {
        if (packedRevision != revision) {
            const std::string encoded = encodePayload(store.ledger().update());
            packed = {encoded.size(), packText(encoded)};
            packedRevision = revision;
        }
        return packed;
    }

    PackedIntent packed;
    std::uint64_t packedRevision = 0;

    asio::awaitable<HttpReply> serveMetrics(HttpRequest request)
    {
        if (request.path == "/metrics") {
            co_return HttpReply{200, "text/plain; version=0.0.4", metrics.text()};
        }
        if (request.path == "/healthz") {
            co_return HttpReply{200, "text/plain", "ok\n"};
        }
        if (request.path != "/v1/cluster") {
            co_return HttpReply{404, "text/plain", "not found\n"};
        }
        const ControlView view = store.view();
        const nlohmann::ordered_json json
            = {{"in_touch", view.current}, {"revision", view.revision},       {"version", store.ledger().version()},
               {"voters", view.addresses}, {"nodes", nodes.reports().size()}, {"targets", nodes.targets()}};
        co_return HttpReply{200, "application/json", json.dump(2) + "\n"};
    }
};

ClusterControl::ClusterControl(Runtime &runtime, const Clock &clock, Options options, OnOrder onOrder, EventLog &log)
    : m_impl(std::make_shared<Impl>(runtime, clock, std::move(options), std::move(onOrder), log))
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
    if (const absl::Status status = impl.operators.start(impl.options.operatorListen); !status.ok()) {
        return status;
    }
    return impl.metricsServer.start(impl.options.metricsListen);
}

}
