/// Bundles: the configuration that a firm's operators submit, with data centres in service, target limits and routes.
///
/// Use parseBundle() on the JSON text of a bundle. It validates the complete document and reports the path of the first
/// error, so that the returned Bundle can be applied without further validation.
///
///     absl::StatusOr<Bundle> bundle = parseBundle(text);
///     if (!bundle.ok()) { report(bundle.status()); }
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/bundle/route.h"
#include "shallotrelay/bundle/workspace.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotrelay
{

/// Maximum size of the JSON text of a bundle, in bytes.
inline constexpr std::size_t MaxBundleBytes = 1024 * 1024;

/// Concurrency limits of a target.
struct TargetLimits {
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests.
    std::uint32_t connections = 0; ///< Maximum number of concurrent connections.

    bool operator==(const TargetLimits &other) const = default;
};

/// Limits and behaviour configured for a service.
struct ServicePolicy {
    TargetLimits defaultLimits; ///< Default limits of its targets.
    std::map<std::string, TargetLimits> targetLimits; ///< Limits that override the default, by target name.
    std::set<std::string> dataCentres; ///< Data centres whose targets may serve it; all if empty.
    std::uint32_t coldSlots = 1; ///< Maximum number of concurrent requests at a target in cold start.
    Duration coldRamp{}; ///< Duration of the ramp from the cold limit to the full limit once a target is ready.
    std::uint32_t queueLength = 0; ///< Maximum number of requests queued at a guard.
    Duration queueWait{}; ///< Maximum time that a request is queued at a guard.
    std::uint32_t retryPercent = 0; ///< Retries allowed, as a percentage of first attempts.
    std::string healthPath; ///< Path of the health check endpoint; empty if there is none.
    double coldPerSecond = 0; ///< Maximum requests per second at a target in cold start; 0 means no limit.
    bool refusesLate = false; ///< Whether a busy target rejects requests that it cannot complete within the objective.
    bool expectsStatements = false; ///< Whether its targets make a statement in each response (TargetStatement).
    Duration coldTime{}; ///< Assumed cold start duration of a target that does not report its own.

    bool operator==(const ServicePolicy &other) const = default;

    /// Whether targets in the data centre may serve this service.
    bool servedIn(const std::string &dataCentre) const;

    /// Returns the limits of the named target, or the default if it has none of its own.
    const TargetLimits &limitsOf(const std::string &target) const;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
    std::uint64_t maxHeadBytes = 16 * 1024; ///< Maximum size of a request head, in bytes.
    std::uint64_t maxBodyBytes = 64 * 1024 * 1024; ///< Maximum size of a request body, in bytes.
    Duration headTimeout = std::chrono::seconds(5); ///< Timeout for receiving a complete request head.
    Duration idleTimeout = std::chrono::seconds(75); ///< Timeout of an idle connection.

    bool operator==(const CallerLimits &other) const = default;
};

/// The validated bundle of a firm.
struct Bundle {
    std::string firm; ///< The firm that the bundle configures.
    std::uint64_t version = 0; ///< Version, which increases with each bundle of the firm.
    std::map<std::string, bool> dataCentres; ///< Whether each data centre of the firm is in service.
    bool unlistedInService = false; ///< Whether data centres not listed in the bundle are in service.
    std::map<std::string, ServicePolicy> services; ///< Services by name.
    std::vector<Route> routes; ///< Routes; each may refer only to services of the bundle.
    std::optional<CallerLimits> callers; ///< Limits for callers, if the bundle sets them.
    std::optional<std::vector<Workspace>> workspaces; ///< Workspaces; without a list, callers need no key.

    bool operator==(const Bundle &other) const = default;

    /// Whether the data centre is in service.
    bool inService(const std::string &dataCentre) const;

    /// Returns the policy of a service, or nullptr if the bundle does not list it.
    const ServicePolicy *findService(const std::string &service) const;

    /// Returns a workspace, or nullptr if the bundle does not list it.
    const Workspace *findWorkspace(const std::string &name) const;
};

/// Validates each route of a bundle, that its services are listed, and that names and pairs of host and path are
/// unique. Returns an InvalidArgument error that starts with the name of the route.
absl::Status checkRoutes(const Bundle &bundle);

/// Parses and validates the JSON text of a bundle; an InvalidArgument error starts with the JSON path of the first
/// problem.
absl::StatusOr<Bundle> parseBundle(std::string_view text);

}
