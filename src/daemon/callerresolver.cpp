#include "daemon/callerresolver.h"

#include <sodium.h>

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Minimum time between log lines about refused callers.
constexpr Duration LogInterval = std::chrono::seconds(1);
/// Time after which a request may be repeated that was refused because the node is out of touch with control.
constexpr Duration OutOfTouchRetryAfter = std::chrono::milliseconds(500);

}

CallerResolver::CallerResolver(const Clock &clock, Options options, ServiceTable &services, Random &random,
                               OriginLog &origins, EventLog &log, Metrics &metrics)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_services(services)
    , m_random(random)
    , m_origins(origins)
    , m_log(log)
    , m_metrics(metrics)
{
    randombytes_buf(m_secret.data(), m_secret.size());
}

KeyTable CallerResolver::takeKeys(Bundle *bundle) const
{
    if (!bundle->workspaces) {
        return {};
    }
    KeyTable out(*bundle->workspaces, m_secret);
    for (Workspace &it : *bundle->workspaces) {
        it.keys = std::vector<std::string>();
    }
    return out;
}

void CallerResolver::apply(const AppliedBundle &bundle, KeyTable keys)
{
    std::erase_if(m_requestAges, [&](const auto &it) { return !bundle.routes.contains(it.first); });
    m_hasWorkspaces = bundle.bundle.workspaces.has_value();
    m_keys = std::move(keys);
}

void CallerResolver::recordContact(bool inTouch)
{
    m_contact.record(inTouch, m_clock.now());
}

absl::Status CallerResolver::resolve(const CallerHead &caller, CallerRequest *request)
{
    const auto bundle = m_services.bundleOf(m_options.firm);
    if (!bundle) {
        return absl::UnavailableError("this node has not received the operators' intent yet");
    }
    const Route *route = bundle->routes.find(caller.host, caller.target);
    if (route == nullptr) {
        return absl::NotFoundError("no route matches the host and path of the request");
    }
    const TimePoint now = m_clock.now();
    RequestHead &head = request->head;
    head.firm = m_options.firm;
    head.path = caller.target;
    head.route = route->name;
    head.priority = rankOf(nullptr, route->priority);
    if (m_hasWorkspaces) {
        if (const absl::Status status = authenticate(*route, request); !status.ok()) {
            return status;
        }
    }
    head.service = drawService(*route, m_random);
    head.repeatable = route->repeatable();
    request->largeResponse = route->kind == RouteKind::Download;
    head.callerService = m_options.localService();
    head.idempotencyKey.clear();
    const std::size_t receivedFields = head.headers.size();
    m_options.removeReservedFields(&head.headers);
    m_origins.recordRead(head, receivedFields - head.headers.size());
    if (route->objective > Duration::zero()) {
        const Duration age = m_requestAges[route->name].estimateAge(request->deadline - now);
        request->objective = now + route->objective - age;
    }
    request->deadline = std::min(request->deadline, now + route->timeout);
    request->maxTargets = route->maxTargets;
    chargeRepeatedCalls(head);
    return absl::OkStatus();
}

/// Determines the workspace of a request and removes the key from it.
absl::Status CallerResolver::authenticate(const Route &route, CallerRequest *request)
{
    RequestHead &head = request->head;
    const Credential credential = parseBearer(head.headers);
    removeCredentials(&head.headers);
    const CallerDecision decision
        = decideCaller(m_keys, credential, route.isPublic, m_contact.silence(m_clock.now()), m_options.policy);
    if (decision.verdict != CallerVerdict::Admitted) {
        return refuse(route, decision.verdict, request);
    }
    if (decision.workspace != nullptr) {
        head.workspace = decision.workspace->name;
        head.priority = rankOf(decision.workspace, route.priority);
    }
    // Targets state no key, and their calls arrive at the address that callers use.
    head.nested = credential.kind == Credential::Kind::None && isLocalTargetBusy();
    return absl::OkStatus();
}

absl::Status CallerResolver::refuse(const Route &route, CallerVerdict verdict, CallerRequest *request)
{
    const std::string reason(toString(verdict));
    m_metrics
        .counter("shallotrelay_callers_refused_total", "Requests that were refused because of their key, by reason",
                 {{"reason", reason}})
        .Increment();
    const TimePoint now = m_clock.now();
    if (now >= m_nextLine) {
        m_nextLine = now + LogInterval;
        m_log.write(LogLevel::Info, "caller-refused", LogFields().add("reason", reason).add("route", route.name));
    }
    switch (verdict) {
    case CallerVerdict::OutOfTouch:
        request->retryAfter = OutOfTouchRetryAfter;
        return absl::UnavailableError("this node may not have the operators' newest intent");
    case CallerVerdict::NoKey:
        return absl::UnauthenticatedError("the route requires a key");
    case CallerVerdict::MalformedKey:
        return absl::UnauthenticatedError("the Authorization field must occur once, as Bearer and a key");
    default:
        return absl::UnauthenticatedError("the key is not known");
    }
}

bool CallerResolver::isLocalTargetBusy() const
{
    const auto target = m_options.localTarget();
    return target && target->load().inFlight > 0;
}

/// Charges the retry budget of a called service for calls that the local target makes while it runs retried requests.
/// Which request makes a call is not known, so each call is charged with the share of retried requests among those in
/// flight.
void CallerResolver::chargeRepeatedCalls(const RequestHead &head)
{
    const auto guarded = m_options.localTarget();
    const double share = guarded ? guarded->repeatedAttemptShare() : 0;
    const auto shard = share > 0 ? m_services.find({head.firm, head.service}) : nullptr;
    if (shard && head.service != head.callerService) {
        const std::lock_guard lock(shard->mutex);
        shard->budget.charge(share);
    }
}

}
