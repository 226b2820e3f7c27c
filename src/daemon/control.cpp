#include "daemon/control.h"

#include "daemon/claimstore.h"

#include "net/framestream.h"
#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/thread_pool.hpp>
#include <nlohmann/json.hpp>

#include <mutex>
#include <optional>
#include <set>

namespace shallotrelay
{
namespace
{

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxSubmitBytes = 4 * 1024 * 1024;
constexpr Duration ExpiryInterval = std::chrono::milliseconds(100);

HttpReply jsonReply(std::uint16_t status, const Json &json)
{
    return {status, "application/json", json.dump(2) + "\n"};
}

std::uint16_t statusOf(SubmitVerdict verdict)
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

Json toJson(const SubmitAnswer &answer)
{
    return {{"verdict", toString(answer.verdict)},
            {"revision", answer.revision},
            {"digest", answer.digest},
            {"reason", answer.reason}};
}

}

struct ControlDaemon::Impl : std::enable_shared_from_this<ControlDaemon::Impl> {
    Impl(Runtime &r, const Clock &c, ControlSettings s, EventLog &l)
        : runtime(r)
        , clock(c)
        , settings(std::move(s))
        , log(l)
        , directory(settings.lease)
        , storeThread(1)
        , listener(r, [this](asio::io_context &loop, tcp::socket socket) { take(loop, std::move(socket)); })
    {
    }

    /// A node that is connected, and how to wake its session.
    struct Session {
        explicit Session(const asio::any_io_executor &executor)
            : wake(executor)
        {
        }

        /// Makes the session look for news; called on the session's own event loop.
        void rouse()
        {
            roused = true;
            wake.cancel();
        }

        asio::steady_timer wake;
        bool roused = false;
        NodeReport report;
        bool reported = false;
        std::uint64_t sentSequence = 0;
        std::map<std::string, std::uint64_t> sentRevisions;
    };

    struct WaitingClaim;

    Runtime &runtime;
    const Clock &clock;
    ControlSettings settings;
    EventLog &log;
    Metrics metrics;
    std::unique_ptr<BundleStore> store;
    std::unique_ptr<ClaimStore> claims;
    std::mutex claimsMutex;
    std::vector<std::shared_ptr<WaitingClaim>> waitingClaims;
    std::mutex directoryMutex;
    Directory directory;
    std::mutex sessionsMutex;
    std::set<std::shared_ptr<Session>> sessions;
    asio::thread_pool storeThread;
    std::unique_ptr<HttpServer> operators;
    Listener listener;

    void wakeAll()
    {
        const std::lock_guard lock(sessionsMutex);
        for (const auto &it : sessions) {
            asio::post(it->wake.get_executor(), [it] { it->rouse(); });
        }
    }

    void take(asio::io_context &loop, tcp::socket socket)
    {
        if (sessionCount() < settings.maxNodes) {
            asio::co_spawn(loop, serve(shared_from_this(), std::move(socket)), asio::detached);
        }
    }

    std::size_t sessionCount()
    {
        const std::lock_guard lock(sessionsMutex);
        return sessions.size();
    }

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        using namespace asio::experimental::awaitable_operators;
        FrameStream stream(std::move(socket), MaxFramePayloadBytes);
        const auto session = std::make_shared<Session>(stream.executor());
        {
            const std::lock_guard lock(self->sessionsMutex);
            self->sessions.insert(session);
        }
        co_await (self->receive(stream, *session) || self->push(stream, *session));
        const std::lock_guard lock(self->sessionsMutex);
        self->sessions.erase(session);
    }

    /// Takes the reports of a node until its connection is silent.
    asio::awaitable<void> receive(FrameStream &stream, Session &session)
    {
        for (;;) {
            const auto frame = co_await stream.read(settings.lease);
            if (!frame.ok()) {
                co_return;
            }
            if (frame->type == ClaimRequest::FrameType) {
                const auto request = decodeAs<ClaimRequest>(*frame);
                if (!request.ok()) {
                    co_return;
                }
                const ClaimAnswer answer = co_await claim(*request);
                stream.queue(answer);
                co_await stream.flush();
                continue;
            }
            auto report = decodeAs<NodeReport>(*frame);
            if (!report.ok()) {
                co_return;
            }
            if (takeReport(*report)) {
                wakeAll();
            }
            const std::lock_guard lock(sessionsMutex);
            session.report = *std::move(report);
            session.reported = true;
            session.rouse();
        }
    }

    /// A claim that waits for the thread that may wait for the disk.
    struct WaitingClaim {
        ClaimRequest request;
        std::optional<ClaimAnswer> answer;
    };

    /// Makes a claim; all claims that wait at the same time share one sync.
    asio::awaitable<ClaimAnswer> claim(const ClaimRequest &request)
    {
        const auto waiting = std::make_shared<WaitingClaim>();
        waiting->request = request;
        {
            const std::lock_guard lock(claimsMutex);
            waitingClaims.push_back(waiting);
        }
        auto work = [this, waiting]() -> asio::awaitable<ClaimAnswer> {
            if (!waiting->answer) {
                decideWaitingClaims();
            }
            co_return *waiting->answer;
        };
        co_return co_await asio::co_spawn(storeThread, work(), asio::use_awaitable);
    }

    /// Decides on all claims that wait; runs on the store's thread only.
    void decideWaitingClaims()
    {
        std::vector<std::shared_ptr<WaitingClaim>> batch;
        {
            const std::lock_guard lock(claimsMutex);
            batch.swap(waitingClaims);
        }
        std::vector<ClaimRequest> requests;
        requests.reserve(batch.size());
        for (const auto &it : batch) {
            requests.push_back(it->request);
        }
        const std::vector<ClaimAnswer> answers = claims->claimAll(requests);
        for (std::size_t i = 0; i < batch.size(); ++i) {
            batch[i]->answer = answers[i];
        }
    }

    bool takeReport(const NodeReport &report)
    {
        const std::lock_guard lock(directoryMutex);
        return directory.report(report, clock.now());
    }

    /// Sends what is new to a node, and a heartbeat when nothing is.
    asio::awaitable<void> push(FrameStream &stream, Session &session)
    {
        for (;;) {
            if (!session.roused) {
                session.wake.expires_after(settings.heartbeat);
                co_await session.wake.async_wait(AsTuple);
            }
            session.roused = false;
            queueNews(stream, session);
            const absl::Status status = co_await stream.flush();
            if (!status.ok()) {
                co_return;
            }
        }
    }

    void queueNews(FrameStream &stream, Session &session)
    {
        if (!session.reported) {
            return;
        }
        for (const auto &it : store->latest()) {
            std::uint64_t &sent = session.sentRevisions[it->entry.firm];
            if (it->entry.revision > sent) {
                sent = it->entry.revision;
                stream.queue(it->message);
            }
        }
        DirectoryUpdate update;
        {
            const std::lock_guard lock(directoryMutex);
            update = directory.updateSince(session.sentSequence);
        }
        const bool changed = update.sequence != session.sentSequence;
        session.sentSequence = update.sequence;
        if (changed) {
            stream.queue(update);
        } else {
            stream.queue(Heartbeat{update.sequence});
        }
    }

    static asio::awaitable<void> expireAll(std::shared_ptr<Impl> self)
    {
        for (;;) {
            co_await sleepFor(ExpiryInterval);
            bool changed = false;
            {
                const std::lock_guard lock(self->directoryMutex);
                changed = self->directory.expire(self->clock.now());
            }
            if (changed) {
                self->wakeAll();
            }
        }
    }

    asio::awaitable<HttpReply> handle(HttpRequest request)
    {
        if (request.path == "/v1/bundles" && request.method == "POST") {
            co_return co_await submit(std::move(request.body));
        }
        if (request.method != "GET") {
            co_return HttpReply{405, "text/plain", "method not allowed\n"};
        }
        if (request.path == "/v1/bundles/status") {
            co_return status();
        }
        if (request.path == "/v1/bundles/history") {
            const std::string prefix = "firm=";
            const bool named = request.query.rfind(prefix, 0) == 0;
            co_return history(named ? request.query.substr(prefix.size()) : "");
        }
        if (request.path == "/metrics") {
            co_return HttpReply{200, "text/plain; version=0.0.4", metrics.text()};
        }
        if (request.path == "/healthz" || request.path == "/readyz") {
            co_return HttpReply{200, "text/plain", "ok\n"};
        }
        co_return HttpReply{404, "text/plain", "not found\n"};
    }

    /// Submits on a thread of its own, since the sync of a disk may take long.
    asio::awaitable<HttpReply> submit(std::string text)
    {
        auto work = [this, &text]() -> asio::awaitable<SubmitAnswer> { co_return store->submit(text); };
        const SubmitAnswer answer = co_await asio::co_spawn(storeThread, work(), asio::use_awaitable);
        const std::string verdict = toString(answer.verdict);
        metrics.counter("shallotrelay_bundles_total", "Submitted bundles by verdict", {{"verdict", verdict}})
            .Increment();
        log.write(LogLevel::Info, "bundle",
                  LogFields().add("verdict", verdict).add("revision", answer.revision).add("reason", answer.reason));
        if (answer.verdict == SubmitVerdict::Accepted) {
            wakeAll();
        }
        co_return jsonReply(statusOf(answer.verdict), toJson(answer));
    }

    HttpReply history(const std::string &firm)
    {
        Json list = Json::array();
        for (const LedgerEntry &it : store->history(firm)) {
            list.push_back(
                {{"revision", it.revision}, {"firm", it.firm}, {"version", it.version}, {"digest", it.digest}});
        }
        return jsonReply(200, {{"accepted", list}});
    }

    /// Tells for each firm which revision is accepted and which nodes do not apply it yet.
    HttpReply status()
    {
        Json firms = Json::array();
        std::vector<NodeReport> reports;
        {
            const std::lock_guard lock(sessionsMutex);
            for (const auto &it : sessions) {
                if (it->reported) {
                    reports.push_back(it->report);
                }
            }
        }
        for (const auto &it : store->latest()) {
            firms.push_back(firmStatus(it->entry, reports));
        }
        std::size_t targets = 0;
        {
            const std::lock_guard lock(directoryMutex);
            targets = directory.size();
        }
        return jsonReply(200, {{"revision", store->revision()}, {"targets", targets}, {"firms", firms}});
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
    if (const absl::Status status = impl.listener.start(impl.settings.listen); !status.ok()) {
        return status;
    }
    auto handler = [weak = std::weak_ptr(m_impl)](HttpRequest request) -> asio::awaitable<HttpReply> {
        const auto self = weak.lock();
        if (!self) {
            co_return HttpReply{503, "text/plain", "stopping\n"};
        }
        HttpReply reply = co_await self->handle(std::move(request));
        co_return reply;
    };
    impl.operators = std::make_unique<HttpServer>(impl.runtime, MaxSubmitBytes, handler);
    if (const absl::Status status = impl.operators->start(impl.settings.operatorListen); !status.ok()) {
        return status;
    }
    asio::co_spawn(impl.runtime.shard(0), Impl::expireAll(m_impl), asio::detached);
    return absl::OkStatus();
}

Address ControlDaemon::nodeAddress() const
{
    return m_impl->listener.address();
}

Address ControlDaemon::operatorAddress() const
{
    return {m_impl->settings.operatorListen.host, m_impl->operators->port()};
}

}
