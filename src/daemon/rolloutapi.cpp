#include "daemon/rolloutapi.h"

#include "base/jsontext.h"
#include "cli/settingvalue.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace shallotrelay
{
namespace
{

constexpr std::string_view RolloutsPath = "/v1/rollouts";
constexpr std::string_view RolloutPrefix = "/v1/rollouts/";
/// Maximum nesting of a JSON body; an order has one level.
constexpr int MaxNesting = 4;

std::uint16_t statusOf(RolloutOutcome outcome)
{
    switch (outcome) {
    case RolloutOutcome::Done:
        return 200;
    case RolloutOutcome::Conflict:
        return 409;
    case RolloutOutcome::NotFound:
        return 404;
    case RolloutOutcome::Invalid:
        return 400;
    case RolloutOutcome::NotLeader:
        return 307;
    case RolloutOutcome::Unknown:
        break;
    }
    return 503;
}

RolloutResult failure(RolloutOutcome outcome, std::string reason)
{
    RolloutResult out;
    out.outcome = outcome;
    out.reason = std::move(reason);
    return out;
}

RolloutResult noRollout(const std::string &service)
{
    return failure(RolloutOutcome::NotFound, fmt::format("service {} has had no roll-out", service));
}

RolloutResult notLeader(std::string leader)
{
    RolloutResult out = failure(RolloutOutcome::NotLeader, "another control VM leads");
    out.leader = std::move(leader);
    return out;
}

/// Returns the order that ends the last roll-out of a service as rolled back.
absl::StatusOr<IntentOrder> createAbort(const std::string &service, const IntentLedger &ledger)
{
    const RolloutRecord *rollout = ledger.rollouts().find(service);
    if (rollout == nullptr) {
        return absl::NotFoundError("no roll-out");
    }
    IntentOrder out;
    out.kind = IntentKind::RolloutEnd;
    out.rollout = *rollout;
    out.rollout.state = RolloutState::RolledBack;
    return out;
}

HttpResponse toResponse(const RolloutResult &result, const std::string &path)
{
    if (!result.rollout) {
        return errorResponse(result, path);
    }
    const RolloutRecord &rollout = *result.rollout;
    const nlohmann::ordered_json json = {{"service", rollout.service},
                                         {"version", rollout.version},
                                         {"within", fmt::format("{}ms", rollout.durationMs)},
                                         {"state", toString(rollout.state)}};
    return {200, "application/json", json.dump() + "\n"};
}

}

absl::StatusOr<RolloutRequest> parseRolloutRequest(const std::string &body)
{
    if (isNestedDeeper(body, MaxNesting)) {
        return absl::InvalidArgumentError("body is nested too deeply");
    }
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    const auto isText = [&json](const char *name) { return json.contains(name) && json[name].is_string(); };
    constexpr std::size_t Members = 3;
    if (!json.is_object() || json.size() != Members || !isText("service") || !isText("version") || !isText("within")) {
        return absl::InvalidArgumentError("body must be a JSON object of the texts service, version and within");
    }
    const auto within = parseDuration(json["within"].get<std::string>());
    if (!within.ok()) {
        return within.status();
    }
    RolloutRequest out{json["service"], json["version"], *within};
    if (absl::Status status = validate(out); !status.ok()) {
        return status;
    }
    return out;
}

HttpResponse errorResponse(const RolloutResult &result, const std::string &path)
{
    HttpResponse out{statusOf(result.outcome), "application/json",
                     nlohmann::json{{"error", result.reason}}.dump() + "\n"};
    if (result.outcome == RolloutOutcome::NotLeader) {
        out.fields.push_back({"Location", "http://" + result.leader + path});
    }
    return out;
}

RolloutApi::RolloutApi(IntentStore &store, Options options)
    : m_store(store)
    , m_options(std::move(options))
{
}

asio::awaitable<RolloutResult> RolloutApi::begin(RolloutRequest request)
{
    if (!m_options.enabled) {
        co_return failure(RolloutOutcome::NotFound, "roll-outs are not enabled: --canary-share is 0");
    }
    if (const absl::Status status = validate(request); !status.ok()) {
        co_return failure(RolloutOutcome::Invalid, std::string(status.message()));
    }
    bool isKnown = true;
    const auto createOrder = [this, &request, &isKnown](const IntentLedger &ledger) {
        auto order = createStart(request, ledger);
        isKnown = !absl::IsNotFound(order.status());
        return order;
    };
    const SubmitResult submitted = co_await m_store.submit(createOrder);
    if (!isKnown) {
        co_return failure(RolloutOutcome::NotFound, submitted.reason);
    }
    co_return toResult(submitted, request.service);
}

asio::awaitable<RolloutResult> RolloutApi::abort(std::string service)
{
    bool isKnown = true;
    const auto createOrder = [&service, &isKnown](const IntentLedger &ledger) {
        auto order = createAbort(service, ledger);
        isKnown = order.ok();
        return order;
    };
    const SubmitResult submitted = co_await m_store.submit(createOrder);
    co_return isKnown ? toResult(submitted, service) : noRollout(service);
}

asio::awaitable<RolloutResult> RolloutApi::read(std::string service)
{
    const ReadResult result = co_await m_store.read();
    if (result.outcome == StoreOutcome::NotLeader) {
        co_return notLeader(result.leader);
    }
    if (result.outcome != StoreOutcome::Done) {
        co_return failure(RolloutOutcome::Unknown, "the newest state is not known");
    }
    const auto &rollouts = result.state.rollouts;
    const auto it = std::find_if(rollouts.begin(), rollouts.end(),
                                 [&service](const RolloutRecord &rollout) { return rollout.service == service; });
    if (it == rollouts.end()) {
        co_return noRollout(service);
    }
    RolloutResult out;
    out.outcome = RolloutOutcome::Done;
    out.rollout = *it;
    co_return out;
}

bool RolloutApi::isRolloutPath(const std::string &path)
{
    return path == RolloutsPath || path.rfind(RolloutPrefix, 0) == 0;
}

asio::awaitable<HttpResponse> RolloutApi::handle(HttpRequest request)
{
    const bool isList = request.path == RolloutsPath;
    if (isList && request.method == "POST") {
        const auto order = parseRolloutRequest(request.body);
        if (!order.ok()) {
            co_return errorResponse(failure(RolloutOutcome::Invalid, std::string(order.status().message())),
                                    request.path);
        }
        const RolloutResult result = co_await begin(*order);
        co_return toResponse(result, request.path);
    }
    const std::string service = isList ? std::string() : request.path.substr(RolloutPrefix.size());
    if (!isList && request.method == "GET") {
        const RolloutResult result = co_await read(service);
        co_return toResponse(result, request.path);
    }
    if (!isList && request.method == "DELETE") {
        const RolloutResult result = co_await abort(service);
        co_return toResponse(result, request.path);
    }
    co_return errorResponse(failure(RolloutOutcome::NotFound, "no such call"), request.path);
}

absl::StatusOr<IntentOrder> RolloutApi::createStart(const RolloutRequest &request, const IntentLedger &ledger) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    IntentOrder out;
    out.kind = IntentKind::RolloutStart;
    out.rollout.service = request.service;
    out.rollout.version = request.version;
    out.rollout.durationMs = static_cast<std::uint32_t>(duration_cast<milliseconds>(request.within).count());
    const auto now = m_options.systemTime().time_since_epoch();
    out.rollout.startedAtMs = static_cast<std::uint64_t>(duration_cast<milliseconds>(now).count());
    // A repeated order has the same response although the service may be gone since.
    const bool isRepeated = ledger.rollouts().check(out) == IntentVerdict::Repeated;
    if (!isRepeated && !m_options.hasService(ledger.document(), request.service)) {
        return absl::NotFoundError(fmt::format("service {} is not part of the state", request.service));
    }
    return out;
}

RolloutResult RolloutApi::toResult(const SubmitResult &submitted, const std::string &service) const
{
    switch (submitted.outcome) {
    case StoreOutcome::NotLeader:
        return notLeader(submitted.leader);
    case StoreOutcome::Unknown:
        return failure(RolloutOutcome::Unknown, "no decision in time");
    case StoreOutcome::Invalid:
        return failure(RolloutOutcome::Invalid, submitted.reason);
    case StoreOutcome::Done:
        break;
    }
    if (submitted.verdict == IntentVerdict::Conflict) {
        return failure(RolloutOutcome::Conflict,
                       "another roll-out of the service is in progress, or the version is in effect");
    }
    const RolloutRecord *rollout = m_store.ledger().rollouts().find(service);
    const bool inEffect = submitted.verdict == IntentVerdict::Accepted || submitted.verdict == IntentVerdict::Repeated;
    if (!inEffect || rollout == nullptr) {
        return failure(RolloutOutcome::Conflict, "the roll-out has ended otherwise");
    }
    RolloutResult out;
    out.outcome = RolloutOutcome::Done;
    out.rollout = *rollout;
    return out;
}

}
