/// Bundles: the operators' statement of which data centres are in service and how much each target may bear.
///
/// Use parseBundle() on the JSON text of a bundle. It checks everything and names the path of the first fault, so that
/// a Bundle that it returned can be applied without further checks.
///
///     absl::StatusOr<Bundle> bundle = parseBundle(text);
///     if (!bundle.ok()) { report(bundle.status()); }
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/bundle/route.h"

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

/// Largest text of a bundle, in bytes.
inline constexpr std::size_t MaxBundleBytes = 1024 * 1024;

/// What one target of a service may bear.
struct TargetBounds {
    std::uint32_t slots = 0; ///< Requests at once.
    std::uint32_t connections = 0; ///< Connections at once.

    bool operator==(const TargetBounds &other) const = default;
};

/// How a service is run and bounded.
struct ServicePolicy {
    TargetBounds bounds; ///< Bounds of each target that has none of its own.
    std::map<std::string, TargetBounds> targetBounds; ///< Bounds by name of the target.
    std::set<std::string> dataCentres; ///< Where targets may serve it; everywhere if empty.
    std::uint32_t coldSlots = 1; ///< Requests at once for a target in cold start.
    Duration coldRamp{}; ///< Time in which the bound rises from cold to full once the target is ready.
    std::uint32_t queueLength = 0; ///< Requests that may wait at a guard.
    Duration queueWait{}; ///< Longest time that a request waits at a guard.
    std::uint32_t retryPercent = 0; ///< Retries in percent of first tries.
    std::string healthPath; ///< Path at which a target tells its health; empty if it has none.
    double coldPerSecond = 0; ///< Requests a second for a target in cold start; 0 means no bound.
    bool refusesLate = false; ///< Whether a busy target refuses what it cannot answer within the objective.
    Duration coldTime{}; ///< Time that a target stays cold if it does not tell.

    bool operator==(const ServicePolicy &other) const = default;

    /// Returns whether targets in a data centre may serve it.
    bool servedIn(const std::string &dataCentre) const;

    /// Returns the bounds of the named target.
    const TargetBounds &boundsOf(const std::string &target) const;
};

/// What callers may send.
struct CallerLimits {
    std::uint64_t maxHeadBytes = 16 * 1024; ///< Largest request head.
    std::uint64_t maxBodyBytes = 64 * 1024 * 1024; ///< Largest request body.
    Duration headTimeout = std::chrono::seconds(5); ///< Time for a whole request head.
    Duration idleTimeout = std::chrono::seconds(75); ///< Time that a connection may stay idle.

    bool operator==(const CallerLimits &other) const = default;
};

/// A checked bundle of one firm.
struct Bundle {
    std::string firm; ///< The firm that speaks.
    std::uint64_t version = 0; ///< Rises with each bundle of the firm.
    std::map<std::string, bool> dataCentres; ///< Whether each data centre of the firm is in service.
    bool openDataCentres = false; ///< Whether data centres that are not named are in service.
    std::map<std::string, ServicePolicy> services; ///< Services by name.
    std::vector<Route> routes; ///< Routes, which may go to these services only.
    std::optional<CallerLimits> callers; ///< What callers may send, if the bundle says so.

    bool operator==(const Bundle &other) const = default;

    /// Returns whether the data centre is in service.
    bool inService(const std::string &dataCentre) const;

    /// Returns the policy of a service, or nullptr if the bundle does not name it.
    const ServicePolicy *findService(const std::string &service) const;
};

/// Checks the routes of a bundle: each by itself, their services, and that no two share a name or a place. An error
/// starts with the name of the route.
absl::Status checkRoutes(const Bundle &bundle);

/// Reads and checks the JSON text of a bundle; an error starts with the path of the fault.
absl::StatusOr<Bundle> parseBundle(std::string_view text);

}
