#include "daemon/nodedaemon.h"

#include "base/text.h"
#include "daemon/controllink.h"
#include "daemon/dispatcher.h"
#include "daemon/localtargets.h"
#include "daemon/servicetable.h"
#include "net/httpfrontend.h"
#include "net/httpserver.h"
#include "net/peerprotocol.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <random>

namespace shallotrelay
{
namespace
{

constexpr std::size_t MaxAdminBytes = 64 * 1024;
constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration ExpiryInterval = std::chrono::milliseconds(100);
constexpr std::size_t MaxStaticControlLinks = 2;
/// Longer than the retention of claims at control VMs, so that a node never discards a key while its claim is held.
constexpr Duration KeyRetention = std::chrono::hours(25);
constexpr std::size_t MaxCachedResponseBytes = 8 * 1024 * 1024;

std::uint64_t newIncarnation()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

std::uint64_t seedOf(const NodeSettings &settings)
{
    return settings.seed != 0 ? settings.seed : std::random_device{}();
}

RouterOptions routerOptions(const NodeSettings &settings)
{
    RouterOptions options;
    options.dataCentre = settings.dataCentre;
    return options;
}

FrontendOptions frontendOptions(const NodeSettings &settings)
{
    FrontendOptions options;
    options.headTimeout = settings.headTimeout;
    options.idleTimeout = settings.idleTimeout;
    options.stallTimeout = settings.stallTimeout;
    options.defaultDeadline = settings.defaultDeadline;
    options.maxDeadline = settings.maxDeadline;
    options.maxHeadBytes = settings.maxHeadBytes;
    options.maxCallers = settings.maxCallers;
    return options;
}

PeerOptions peerOptions(const NodeSettings &settings)
{
    PeerOptions options;
    options.stallTimeout = settings.stallTimeout;
    return options;
}

Dispatcher::Options dispatcherOptions(const Clock &clock, const NodeSettings &settings)
{
    Dispatcher::Options options;
    options.clock = &clock;
    options.peers = peerOptions(settings);
    options.node = settings.name;
    return options;
}

/// Returns the targets of each service as JSON, for operators.
nlohmann::ordered_json describeServices(const ServiceTable &services)
{
    auto out = nlohmann::ordered_json::array();
    for (const auto &shard : services.all()) {
        const std::lock_guard lock(shard->mutex);
        auto targets = nlohmann::ordered_json::array();
        for (const auto &it : shard->records) {
            const TargetRecord &record = it.second;
            targets.push_back({{"name", record.name},
                               {"data_centre", record.dataCentre},
                               {"state", toString(record.state)},
                               {"node", record.peerAddress}});
        }
        out.push_back({{"service", shard->id.text()}, {"usable", shard->router.usableTargets()}, {"targets", targets}});
    }
    return {{"services", out}};
}

}

struct NodeDaemon::Impl {
    Impl(Runtime &r, const Clock &c, NodeSettings s, EventLog &l)
        : runtime(r)
        , clock(c)
        , settings(std::move(s))
        , log(l)
        , incarnation(newIncarnation())
        , services(clock, routerOptions(settings), seedOf(settings))
        , keys(std::make_shared<NodeKeyLedger>(KeyRetention, MaxCachedResponseBytes,
                                               [this](ClaimRequest request) { return claim(std::move(request)); }))
        , local({&clock, settings.announceLease, settings.stallTimeout, settings.dataCentre, "", incarnation, {}},
                services, log, metrics, keys)
        , dispatcher(dispatcherOptions(clock, settings), services, local, log, metrics)
        , frontend(runtime, clock, frontendOptions(settings),
                   [this](CallerRequest &request, BodySource &source, CallerSink &sink, ExchangeProgress &progress) {
                       return dispatcher.dispatch(request, source, sink, progress);
                   })
        , peers(runtime, clock, peerOptions(settings),
                [this](const RequestHead &head) {
                    return local.findBackend({head.firm, head.service}, head.target);
                })
        , admin(runtime, MaxAdminBytes, [this](HttpRequest request) { return handleAdminRequest(std::move(request)); })
    {
        for (std::size_t i = 0; i < std::min(settings.control.size(), MaxStaticControlLinks); ++i) {
            links.push_back(
                std::make_unique<ControlLink>(runtime, linkOptions(settings.control[i]), services, local, log));
        }
    }

    /// Requests a claim from the control VMs in turn until one responds.
    asio::awaitable<std::optional<ClaimAnswer>> claim(ClaimRequest request)
    {
        for (const auto &it : links) {
            std::optional<ClaimAnswer> response = co_await it->claim(request);
            if (response) {
                co_return response;
            }
        }
        co_return std::nullopt;
    }

    ControlLink::Options linkOptions(const Address &address)
    {
        ControlLink::Options options;
        options.address = address;
        options.heartbeat = settings.heartbeat;
        options.node = settings.name;
        options.dataCentre = settings.dataCentre;
        options.incarnation = incarnation;
        options.onBundle = [this] { local.applyPolicies(); };
        return options;
    }

    asio::awaitable<HttpResponse> handleAdminRequest(HttpRequest request)
    {
        if (request.path == "/v1/targets" && request.method == "POST") {
            co_return handleAnnouncement(request.body);
        }
        if (request.method != "GET") {
            co_return HttpResponse{405, "text/plain", "method not allowed\n"};
        }
        if (request.path == "/metrics") {
            co_return metricsResponse();
        }
        if (request.path == "/v1/services") {
            co_return HttpResponse{200, "application/json", describeServices(services).dump(2) + "\n"};
        }
        if (request.path == "/healthz") {
            co_return HttpResponse{200, "text/plain", "ok\n"};
        }
        if (request.path == "/readyz") {
            co_return readinessResponse();
        }
        co_return HttpResponse{404, "text/plain", "not found\n"};
    }

    HttpResponse handleAnnouncement(const std::string &body)
    {
        const auto announcement = parseAnnouncement(body);
        if (!announcement.ok()) {
            const nlohmann::json json = {{"error", std::string(announcement.status().message())}};
            return {400, "application/json", json.dump() + "\n"};
        }
        if (local.announce(*announcement)) {
            reportSoon();
        }
        return {200, "application/json", "{}\n"};
    }

    HttpResponse metricsResponse()
    {
        metrics.gauge("shallotrelay_requests_in_progress", "Requests of callers in progress")
            .Set(static_cast<double>(frontend.inProgress()));
        metrics.gauge("shallotrelay_peer_requests_in_progress", "Requests of other nodes in progress")
            .Set(static_cast<double>(peers.inProgress()));
        metrics.gauge("shallotrelay_caller_connections", "Connections of callers")
            .Set(static_cast<double>(frontend.connections()));
        metrics.gauge("shallotrelay_log_lines_dropped", "Log lines that could not be written in time")
            .Set(static_cast<double>(log.dropped()));
        setTargetGauges();
        return {200, "text/plain; version=0.0.4", metrics.text()};
    }

    void setTargetGauges()
    {
        for (const TargetRecord &it : local.records()) {
            const auto guarded = local.find({it.firm, it.service}, it.name);
            if (!guarded) {
                continue;
            }
            const LoadReport load = guarded->load();
            const Metrics::Labels labels = {{"target", targetKey(it)}};
            metrics.gauge("shallotrelay_target_in_flight", "Requests in flight at a target", labels).Set(load.inFlight);
            metrics.gauge("shallotrelay_target_limit", "Requests that a guard admits at once", labels).Set(load.limit);
            metrics.gauge("shallotrelay_target_queued", "Requests that wait at a guard", labels).Set(load.queued);
            metrics.gauge("shallotrelay_target_connections", "Open connections to a target", labels)
                .Set(static_cast<double>(guarded->openConnections()));
        }
    }

    HttpResponse readinessResponse()
    {
        if (draining) {
            return {503, "text/plain", "draining\n"};
        }
        const bool ready = !services.applied().empty();
        return ready ? HttpResponse{200, "text/plain", "ready\n"} : HttpResponse{503, "text/plain", "no bundle yet\n"};
    }

    void reportSoon()
    {
        for (const auto &it : links) {
            it->reportSoon();
        }
    }

    asio::awaitable<void> tickGuards()
    {
        for (;;) {
            co_await sleepFor(TickInterval);
            local.tick();
        }
    }

    asio::awaitable<void> expireTargets()
    {
        for (;;) {
            co_await sleepFor(ExpiryInterval);
            if (local.expire()) {
                reportSoon();
            }
        }
    }

    Runtime &runtime;
    const Clock &clock;
    NodeSettings settings;
    EventLog &log;
    std::uint64_t incarnation;
    Metrics metrics;
    ServiceTable services;
    std::shared_ptr<NodeKeyLedger> keys;
    LocalTargets local;
    Dispatcher dispatcher;
    HttpFrontend frontend;
    PeerServer peers;
    HttpServer admin;
    std::vector<std::unique_ptr<ControlLink>> links;
    std::atomic<bool> draining = false;
};

NodeDaemon::NodeDaemon(Runtime &runtime, const Clock &clock, NodeSettings settings, EventLog &log)
    : m_impl(std::make_unique<Impl>(runtime, clock, std::move(settings), log))
{
}

NodeDaemon::~NodeDaemon() = default;

absl::Status NodeDaemon::start()
{
    Impl &impl = *m_impl;
    if (const absl::Status status = impl.peers.start(impl.settings.peerListen); !status.ok()) {
        return status;
    }
    impl.local.setPeerAddress(Address{impl.settings.peerListen.host, impl.peers.port()}.text());
    if (const absl::Status status = impl.frontend.start(impl.settings.listen); !status.ok()) {
        return status;
    }
    if (const absl::Status status = impl.admin.start(impl.settings.adminListen); !status.ok()) {
        return status;
    }
    for (const auto &it : impl.links) {
        it->start();
    }
    asio::co_spawn(impl.runtime.shard(0), impl.tickGuards(), asio::detached);
    asio::co_spawn(impl.runtime.shard(0), impl.expireTargets(), asio::detached);
    return absl::OkStatus();
}

void NodeDaemon::drain()
{
    m_impl->draining = true;
    m_impl->local.announceAllLeaving();
    m_impl->reportSoon();
    m_impl->frontend.drain();
}

bool NodeDaemon::drained() const
{
    return m_impl->draining && m_impl->frontend.inProgress() == 0 && m_impl->peers.inProgress() == 0;
}

Address NodeDaemon::callerAddress() const
{
    return {m_impl->settings.listen.host, m_impl->frontend.port()};
}

Address NodeDaemon::adminAddress() const
{
    return {m_impl->settings.adminListen.host, m_impl->admin.port()};
}

bool NodeDaemon::applies(const std::string &firm, std::uint64_t revision) const
{
    const auto bundle = m_impl->services.bundleOf(firm);
    return bundle && bundle->revision >= revision;
}

std::size_t NodeDaemon::usableTargets(const std::string &firm, const std::string &service) const
{
    const auto shard = m_impl->services.find({firm, service});
    if (!shard) {
        return 0;
    }
    const std::lock_guard lock(shard->mutex);
    return shard->router.usableTargets();
}

}
