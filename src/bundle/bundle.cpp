#include "shallotrelay/bundle/bundle.h"

#include "base/text.h"
#include "bundle/jsonreader.h"
#include "shallotrelay/base/name.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>

namespace shallotrelay
{
namespace
{

using internal::Json;
using internal::ObjectReader;

constexpr std::uint64_t BundleFormat = 1;
constexpr std::uint64_t MaxVersion = (1ULL << 53) - 1;
constexpr std::uint64_t MaxSlots = 100000;
constexpr std::uint64_t MaxRampMs = 3600 * 1000;
constexpr std::uint64_t MaxQueue = 10000;
constexpr std::uint64_t MaxQueueWaitMs = 60 * 1000;
constexpr std::uint64_t MaxEntries = 4096;
constexpr std::uint64_t DefaultRetryPercent = 10;
constexpr std::uint64_t MaxTimeoutMs = 600 * 1000;
constexpr std::uint64_t MaxTargetsPerRoute = 100;
constexpr std::uint64_t MaxWeight = 1000000;
constexpr std::uint64_t MaxHeadBytes = 64 * 1024;
constexpr std::uint64_t MaxBodyBytes = 1024 * 1024 * 1024;
constexpr std::uint64_t MaxQuota = 1000 * 1000 * 1000;

TargetLimits readTargetLimits(ObjectReader &reader)
{
    TargetLimits limits;
    limits.slots = static_cast<std::uint32_t>(reader.number("slots", 1, MaxSlots));
    limits.connections = static_cast<std::uint32_t>(reader.number("connections", 1, MaxSlots));
    if (limits.connections < limits.slots) {
        reader.fail("connections", "must not be below slots");
    }
    return limits;
}

std::map<std::string, bool> readDataCentres(const Json &object, ObjectReader &parent, absl::Status *status)
{
    std::map<std::string, bool> out;
    ObjectReader reader(object, parent.pathOf("data_centres"), status);
    for (const auto &it : object.items()) {
        const std::string state = reader.text(it.key());
        const bool known = state == "in" || state == "out";
        if (!checkName(it.key()).ok()) {
            reader.fail(it.key(),
                        "is not a valid name: 1 to 64 characters from a-z 0-9 . _ - starting with a letter or digit");
        }
        if (!known) {
            reader.fail(it.key(), "must be \"in\" or \"out\"");
        }
        out[it.key()] = state == "in";
    }
    if (out.empty() || out.size() > MaxEntries) {
        parent.fail("data_centres", fmt::format("must list 1 to {} data centres, not {}", MaxEntries, out.size()));
    }
    return out;
}

std::set<std::string> readServiceDataCentres(const Bundle &bundle, ObjectReader &reader)
{
    std::set<std::string> out;
    const Json &array = reader.array("data_centres");
    for (const Json &it : array) {
        if (!it.is_string() || !bundle.dataCentres.contains(it.get<std::string>())) {
            reader.fail("data_centres", "must contain only names listed in $.data_centres");
            return out;
        }
        if (!out.insert(it.get<std::string>()).second) {
            reader.fail("data_centres", fmt::format("lists {} twice", it.get<std::string>()));
        }
    }
    if (out.empty()) {
        reader.fail("data_centres", "must list at least one data centre");
    }
    return out;
}

void readTargetOverrides(const Json &object, const std::string &path, ServicePolicy *policy, absl::Status *status)
{
    ObjectReader targets(object, path, status);
    for (const auto &it : object.items()) {
        if (!checkName(it.key()).ok()) {
            targets.fail(it.key(),
                         "is not a valid name: 1 to 64 characters from a-z 0-9 . _ - starting with a letter or digit");
        }
        ObjectReader reader(it.value(), targets.pathOf(it.key()), status);
        policy->targetLimits[it.key()] = readTargetLimits(reader);
        reader.rejectUnknownKeys();
    }
    if (policy->targetLimits.size() > MaxEntries) {
        targets.fail("",
                     fmt::format("lists {} targets, above the limit of {}", policy->targetLimits.size(), MaxEntries));
    }
}

RouteKind readRouteKind(ObjectReader &reader)
{
    const std::string text = reader.text("kind");
    if (text == "idempotent") {
        return RouteKind::Idempotent;
    }
    if (text == "download") {
        return RouteKind::Download;
    }
    if (text == "upload") {
        return RouteKind::Upload;
    }
    if (text != "non-idempotent") {
        reader.fail("kind", "must be \"idempotent\", \"non-idempotent\", \"download\" or \"upload\"");
    }
    return RouteKind::NonIdempotent;
}

Route readRoute(const Json &object, const std::string &path, absl::Status *status)
{
    Route route;
    ObjectReader reader(object, path, status);
    route.name = reader.name("name");
    route.host = absl::AsciiStrToLower(reader.text("host"));
    route.prefix = reader.text("path");
    route.kind = readRouteKind(reader);
    route.timeout = std::chrono::milliseconds(reader.number("timeout_ms", 1, MaxTimeoutMs));
    route.objective = std::chrono::milliseconds(reader.numberOr("objective_ms", 0, 0, MaxTimeoutMs));
    route.priority = static_cast<std::uint32_t>(reader.numberOr("priority", 0, 0, MaxPriority));
    route.maxTargets = static_cast<std::uint32_t>(reader.numberOr("max_tries", 1, 1, MaxTargetsPerRoute));
    std::size_t n = 0;
    for (const Json &it : reader.array("to")) {
        ObjectReader part(it, fmt::format("{}[{}]", reader.pathOf("to"), n++), status);
        const auto weight = static_cast<std::uint32_t>(part.numberOr("weight", 1, 0, MaxWeight));
        route.services.push_back({part.name("service"), weight});
        part.rejectUnknownKeys();
    }
    route.isPublic = reader.numberOr("public", 0, 0, 1) == 1;
    reader.rejectUnknownKeys();
    return route;
}

void readRoutes(const Json &array, Bundle *bundle, absl::Status *status)
{
    std::size_t n = 0;
    for (const Json &it : array) {
        bundle->routes.push_back(readRoute(it, fmt::format("$.routes[{}]", n++), status));
    }
    if (const absl::Status checked = checkRoutes(*bundle); status->ok() && !checked.ok()) {
        *status = absl::InvalidArgumentError(fmt::format("$.routes: {}", std::string(checked.message())));
    }
}

Workspace readWorkspace(const Json &object, const std::string &path, absl::Status *status)
{
    Workspace out;
    ObjectReader reader(object, path, status);
    out.name = reader.text("name");
    for (const Json &it : reader.array("keys")) {
        if (!it.is_string()) {
            reader.fail("keys", "must contain only strings");
            break;
        }
        out.keys.push_back(it.get<std::string>());
    }
    out.priority = static_cast<std::uint32_t>(reader.numberOr("priority", 0, 0, MaxPriority));
    out.requestsPerSecond = static_cast<double>(reader.numberOr("per_second", 0, 0, MaxQuota));
    out.burst = static_cast<double>(reader.numberOr("burst", 0, 0, MaxQuota));
    reader.rejectUnknownKeys();
    return out;
}

std::vector<Workspace> readWorkspaces(const Json &array, absl::Status *status)
{
    std::vector<Workspace> out;
    out.reserve(array.size());
    for (const Json &it : array) {
        out.push_back(readWorkspace(it, fmt::format("$.workspaces[{}]", out.size()), status));
    }
    if (const absl::Status checked = checkWorkspaces(out); status->ok() && !checked.ok()) {
        *status = absl::InvalidArgumentError(fmt::format("$.workspaces: {}", std::string(checked.message())));
    }
    return out;
}

CallerLimits readCallers(const Json &object, absl::Status *status)
{
    CallerLimits limits;
    ObjectReader reader(object, "$.callers", status);
    limits.maxHeadBytes = reader.number("max_head_bytes", 1024, MaxHeadBytes);
    limits.maxBodyBytes = reader.number("max_body_bytes", 0, MaxBodyBytes);
    limits.headTimeout = std::chrono::milliseconds(reader.number("head_timeout_ms", 1, MaxTimeoutMs));
    limits.idleTimeout = std::chrono::milliseconds(reader.number("idle_timeout_ms", 1, MaxTimeoutMs));
    reader.rejectUnknownKeys();
    return limits;
}

void readColdStart(const Json &object, const std::string &path, ServicePolicy *policy, absl::Status *status)
{
    ObjectReader reader(object, path, status);
    policy->coldSlots = static_cast<std::uint32_t>(reader.number("slots", 1, policy->defaultLimits.slots));
    policy->coldRamp = std::chrono::milliseconds(reader.number("ramp_ms", 0, MaxRampMs));
    policy->coldPerSecond = static_cast<double>(reader.numberOr("per_second", 0, 0, MaxSlots));
    policy->coldTime = std::chrono::milliseconds(reader.numberOr("time_ms", 0, 0, MaxRampMs));
    reader.rejectUnknownKeys();
}

void readQueue(const Json &object, const std::string &path, ServicePolicy *policy, absl::Status *status)
{
    ObjectReader reader(object, path, status);
    policy->queueLength = static_cast<std::uint32_t>(reader.numberOr("length", 0, 0, MaxQueue));
    policy->queueWait = std::chrono::milliseconds(reader.numberOr("wait_ms", 0, 0, MaxQueueWaitMs));
    reader.rejectUnknownKeys();
}

ServicePolicy readService(const Bundle &bundle, const Json &object, const std::string &path, absl::Status *status)
{
    ServicePolicy policy;
    ObjectReader reader(object, path, status);
    policy.defaultLimits = readTargetLimits(reader);
    policy.dataCentres = readServiceDataCentres(bundle, reader);
    readColdStart(reader.object("cold"), reader.pathOf("cold"), &policy, status);
    readQueue(reader.objectOr("queue"), reader.pathOf("queue"), &policy, status);
    readTargetOverrides(reader.objectOr("targets"), reader.pathOf("targets"), &policy, status);
    policy.healthPath = reader.textOr("health_path", "");
    policy.refusesLate = reader.numberOr("refuses_late", 0, 0, 1) == 1;
    policy.retryPercent = static_cast<std::uint32_t>(reader.numberOr("retry_percent", DefaultRetryPercent, 0, 100));
    reader.rejectUnknownKeys();
    return policy;
}

void readServices(const Json &object, ObjectReader &parent, Bundle *bundle, absl::Status *status)
{
    ObjectReader reader(object, parent.pathOf("services"), status);
    for (const auto &it : object.items()) {
        if (!checkName(it.key()).ok()) {
            reader.fail(it.key(),
                        "is not a valid name: 1 to 64 characters from a-z 0-9 . _ - starting with a letter or digit");
        }
        bundle->services[it.key()] = readService(*bundle, it.value(), reader.pathOf(it.key()), status);
    }
    if (bundle->services.size() > MaxEntries) {
        parent.fail("services",
                    fmt::format("lists {} services, above the limit of {}", bundle->services.size(), MaxEntries));
    }
}

}

bool ServicePolicy::servedIn(const std::string &dataCentre) const
{
    return dataCentres.empty() || dataCentres.contains(dataCentre);
}

const RolloutRecord *ServicePolicy::lastRollout() const
{
    return rollout ? &*rollout : nullptr;
}

const TargetLimits &ServicePolicy::limitsOf(const std::string &target) const
{
    const auto it = targetLimits.find(target);
    return it == targetLimits.end() ? defaultLimits : it->second;
}

bool Bundle::inService(const std::string &dataCentre) const
{
    const auto it = dataCentres.find(dataCentre);
    return it == dataCentres.end() ? unlistedInService : it->second;
}

const ServicePolicy *Bundle::findService(const std::string &service) const
{
    const auto it = services.find(service);
    return it == services.end() ? nullptr : &it->second;
}

const Workspace *Bundle::findWorkspace(const std::string &name) const
{
    if (!workspaces) {
        return nullptr;
    }
    const auto hasName = [&](const Workspace &it) { return it.name == name; };
    const auto it = std::find_if(workspaces->begin(), workspaces->end(), hasName);
    return it == workspaces->end() ? nullptr : &*it;
}

absl::Status checkRoutes(const Bundle &bundle)
{
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> hostsAndPaths;
    for (const Route &route : bundle.routes) {
        const auto routeError = [&](std::string_view what) {
            return absl::InvalidArgumentError(fmt::format("{}: {}", route.name, what));
        };
        if (const absl::Status status = checkRoute(route); !status.ok()) {
            return routeError(toStd(status.message()));
        }
        for (const WeightedService &it : route.services) {
            if (bundle.findService(it.service) == nullptr) {
                return routeError(fmt::format("to: service {} is not listed in $.services", it.service));
            }
        }
        if (!names.insert(route.name).second) {
            return routeError("name: is already used by another route");
        }
        if (!hostsAndPaths.emplace(route.host, route.prefix).second) {
            return routeError("host and path: are already used by another route");
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<Bundle> parseBundle(std::string_view text)
{
    if (text.size() > MaxBundleBytes) {
        return absl::InvalidArgumentError(
            fmt::format("$: bundle of {} bytes exceeds the limit of {} bytes", text.size(), MaxBundleBytes));
    }
    const auto document = internal::parseJson(text);
    if (!document.ok()) {
        return document.status();
    }
    absl::Status status;
    Bundle bundle;
    ObjectReader reader(*document, "$", &status);
    reader.number("format", BundleFormat, BundleFormat);
    bundle.firm = reader.name("firm");
    bundle.version = reader.number("version", 1, MaxVersion);
    bundle.dataCentres = readDataCentres(reader.object("data_centres"), reader, &status);
    readServices(reader.object("services"), reader, &bundle, &status);
    readRoutes(reader.arrayOr("routes"), &bundle, &status);
    if (const Json &callers = reader.objectOr("callers"); !callers.empty()) {
        bundle.callers = readCallers(callers, &status);
    }
    if (document->contains("workspaces")) {
        bundle.workspaces = readWorkspaces(reader.array("workspaces"), &status);
    }
    reader.rejectUnknownKeys();
    if (!status.ok()) {
        return status;
    }
    return bundle;
}

}
