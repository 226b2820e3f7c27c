#include "daemon/controldaemon.h"

#include "daemon/claimstore.h"
#include "daemon/nodesessions.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <nlohmann/json.hpp>

#include <mutex>
#include <optional>

namespace shallotrelay
{
namespace
{

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxSubmitBytes = 4 * 1024 * 1024;

HttpResponse jsonResponse(std::uint16_t status, const Json &json)
{
    return {status, "application/json", json.dump(2) + "\n"};
}

std::uint16_t toHttpStatus(SubmitVerdict verdict)
{
    switch (verdict) {
    case SubmitVerdict::Accepted:
    case SubmitVerdict::SameAsAccepted:
        return 200;
    case SubmitVerdict::Conflict:
        return 409;
    case SubmitVerdict::Refused:
        return 422;
    case SubmitVerdict::Unknown:
        return 503;
    }
    return 500;
}

Json toJson(const SubmitResponse &result)
{
    return {{"verdict", toString(result.verdict)},
            {"revision", result.revision},
            {"digest", result.digest},
            {"reason", result.reason}};
}

}

struct ControlDaemon::Impl : std::enable_shared_from_this<ControlDaemon::Impl> {
    Impl(Runtime &r, const Clock &c, ControlSettings s, EventLog &l)
        : runtime(r)
        , clock(c)
        , settings(std::move(s))
        , log(l)
        , storeThread(1)
        , nodes(r, c, {settings.lease, settings.heartbeat, settings.maxNodes}, nodeHooks())
    {
    }

    NodeSessions::Hooks nodeHooks()
    {
        NodeSessions::Hooks hooks;
        hooks.handleFrame
            = [this](FrameStream &stream, NodeSession &, const Frame &frame) { return handleFrame(stream, frame); };
        hooks.queueUpdates = [this](FrameStream &stream, NodeSession &session) {
            queueBundles(stream, session);
            return Duration::zero();
        };
        return hooks;
    }

    struct PendingClaim;

    Runtime &runtime;
    const Clock &clock;
    ControlSettings settings;
    EventLog &log;
    Metrics metrics;
    std::unique_ptr<BundleStore> store;
    std::unique_ptr<ClaimStore> claims;
    std::mutex claimsMutex;
    std::vector<std::shared_ptr<PendingClaim>> pendingClaims;
    asio::thread_pool storeThread;
    std::unique_ptr<HttpServer> operatorServer;
    NodeSessions nodes;

    /// Decides on a claim of a node and sends the response.
    asio::awaitable<bool> handleFrame(FrameStream &stream, const Frame &frame)
    {
        const auto request = decodeAs<ClaimRequest>(frame);
        if (!request.ok()) {
            co_return false;
        }
        const ClaimAnswer response = co_await submitClaim(*request);
        stream.queue(response);
        co_await stream.flush();
        co_return true;
    }

    void queueBundles(FrameStream &stream, NodeSession &session)
    {
        for (const auto &it : store->latest()) {
            std::uint64_t &sent = session.sentRevisions[it->entry.firm];
            if (it->entry.revision > sent) {
                sent = it->entry.revision;
                stream.queue(it->message);
            }
        }
    }

    /// A claim that waits for the store thread, on which disk access may block.
    struct PendingClaim {
        ClaimRequest request;
        std::optional<ClaimAnswer> response;
    };

    /// Submits a claim; claims that are pending at the same time share one disk sync.
    asio::awaitable<ClaimAnswer> submitClaim(const ClaimRequest &request)
    {
        const auto pending = std::make_shared<PendingClaim>();
        pending->request = request;
        {
            const std::lock_guard lock(claimsMutex);
            pendingClaims.push_back(pending);
        }
        auto work = [this, pending]() -> asio::awaitable<ClaimAnswer> {
            if (!pending->response) {
                processPendingClaims();
            }
            co_return *pending->response;
        };
        co_return co_await asio::co_spawn(storeThread, work(), asio::use_awaitable);
    }

    /// Decides on all pending claims; runs on the store thread only.
    void processPendingClaims()
    {
        std::vector<std::shared_ptr<PendingClaim>> batch;
        {
            const std::lock_guard lock(claimsMutex);
            batch.swap(pendingClaims);
        }
        std::vector<ClaimRequest> requests;
        requests.reserve(batch.size());
        for (const auto &it : batch) {
            requests.push_back(it->request);
        }
        const std::vector<ClaimAnswer> responses = claims->claimAll(requests);
        for (std::size_t i = 0; i < batch.size(); ++i) {
            batch[i]->response = responses[i];
        }
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        if (request.path == "/v1/bundles" && request.method == "POST") {
            co_return co_await submit(std::move(request.body));
        }
        if (request.method != "GET") {
            co_return HttpResponse{405, "text/plain", "method not allowed\n"};
        }
        if (request.path == "/v1/bundles/status") {
            co_return status();
        }
        if (request.path == "/v1/bundles/history") {
            const std::string prefix = "firm=";
            const bool hasFirm = request.query.rfind(prefix, 0) == 0;
            co_return history(hasFirm ? request.query.substr(prefix.size()) : "");
        }
        if (request.path == "/metrics") {
            co_return HttpResponse{200, "text/plain; version=0.0.4", metrics.text()};
        }
        if (request.path == "/healthz" || request.path == "/readyz") {
            co_return HttpResponse{200, "text/plain", "ok\n"};
        }
        co_return HttpResponse{404, "text/plain", "not found\n"};
    }

    /// Submits a bundle on the store thread, since the disk sync may block for long.
    asio::awaitable<HttpResponse> submit(std::string text)
    {
        auto work = [this, &text]() -> asio::awaitable<SubmitResponse> { co_return store->submit(text); };
        const SubmitResponse result = co_await asio::co_spawn(storeThread, work(), asio::use_awaitable);
        const std::string verdict = toString(result.verdict);
        metrics.counter("shallotrelay_bundles_total", "Submitted bundles by verdict", {{"verdict", verdict}})
            .Increment();
        log.write(LogLevel::Info, "bundle",
                  LogFields().add("verdict", verdict).add("revision", result.revision).add("reason", result.reason));
        if (result.verdict == SubmitVerdict::Accepted) {
            nodes.wakeAll();
        }
        co_return jsonResponse(toHttpStatus(result.verdict), toJson(result));
    }

    HttpResponse history(const std::string &firm)
    {
        Json list = Json::array();
        for (const LedgerEntry &it : store->history(firm)) {
            list.push_back(
                {{"revision", it.revision}, {"firm", it.firm}, {"version", it.version}, {"digest", it.digest}});
        }
        return jsonResponse(200, {{"accepted", list}});
    }

    /// Returns the accepted revision of each firm and the nodes that do not apply it yet.
    HttpResponse status()
    {
        Json firms = Json::array();
        const std::vector<NodeReport> reports = nodes.reports();
        for (const auto &it : store->latest()) {
            firms.push_back(firmStatus(it->entry, reports));
        }
        return jsonResponse(200, {{"revision", store->revision()}, {"targets", nodes.targetCount()}, {"firms", firms}});
    }

    static Json firmStatus(const LedgerEntry &entry, const std::vector<NodeReport> &reports)
    {
        Json behind = Json::array();
        std::size_t applied = 0;
        for (const NodeReport &report : reports) {
            bool current = false;
            for (const FirmRevision &it : report.applied) {
                current = current || (it.firm == entry.firm && it.revision >= entry.revision);
            }
            applied += current ? 1 : 0;
            if (!current) {
                behind.push_back(report.node);
            }
        }
        return {{"firm", entry.firm},     {"version", entry.version},  {"revision", entry.revision},
                {"digest", entry.digest}, {"nodes_applying", applied}, {"nodes_behind", behind}};
    }
};

ControlDaemon::ControlDaemon(Runtime &runtime, const Clock &clock, ControlSettings settings, EventLog &log)
    : m_impl(std::make_shared<Impl>(runtime, clock, std::move(settings), log))
{
}

ControlDaemon::~ControlDaemon() = default;

absl::Status ControlDaemon::start(const std::string &trustText)
{
    Impl &impl = *m_impl;
    auto trust = parseTrustPolicy(trustText);
    if (!trust.ok()) {
        return trust.status();
    }
    auto store = LocalBundleStore::open(impl.settings.dataFolder, *std::move(trust));
    if (!store.ok()) {
        return store.status();
    }
    impl.store = *std::move(store);
    auto claims = ClaimStore::open(impl.settings.dataFolder);
    if (!claims.ok()) {
        return claims.status();
    }
    impl.claims = *std::move(claims);
    if (const absl::Status status = impl.nodes.start(impl.settings.listen); !status.ok()) {
        return status;
    }
    auto handler = [weak = std::weak_ptr(m_impl)](HttpRequest request) -> asio::awaitable<HttpResponse> {
        const auto self = weak.lock();
        if (!self) {
            co_return HttpResponse{503, "text/plain", "stopping\n"};
        }
        HttpResponse response = co_await self->handle(std::move(request));
        co_return response;
    };
    impl.operatorServer = std::make_unique<HttpServer>(impl.runtime, MaxSubmitBytes, handler);
    if (const absl::Status status = impl.operatorServer->start(impl.settings.operatorListen); !status.ok()) {
        return status;
    }
    return absl::OkStatus();
}

Address ControlDaemon::nodeAddress() const
{
    return m_impl->nodes.address();
}

Address ControlDaemon::operatorAddress() const
{
    return {m_impl->settings.operatorListen.host, m_impl->operatorServer->port()};
}

}
