/// Routes: the services for a caller's request, whether it is idempotent, and its latency objective.
///
/// Routes come from a bundle. Build a RouteTable from them and look up each request:
///
///     RouteTable table(bundle.routes);
///     const Route *route = table.find("news.example", "/articles/7");
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/random.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotrelay
{

/// Whether a route's requests can be retried, and whether their bodies or responses are large.
enum class RouteKind {
    Idempotent, ///< Requests may run more than once.
    NonIdempotent, ///< Requests run at most once.
    Download, ///< Requests may run more than once and have large responses.
    Upload, ///< Requests run at most once and have large bodies.
};

/// A service that receives a share of a route's requests.
struct WeightedService {
    std::string service; ///< Name of the service.
    std::uint32_t weight = 1; ///< Its share, relative to the other services of the route.

    bool operator==(const WeightedService &other) const = default;
};

/// The services and limits for requests with a given host and path prefix.
struct Route {
    std::string name; ///< Name, unique within the bundle.
    std::string host; ///< Host name, in lower case.
    std::string prefix; ///< Path prefix, which starts and ends with a slash.
    RouteKind kind = RouteKind::Idempotent; ///< Kind of the requests.
    Duration timeout{}; ///< Maximum time that a caller waits for a response.
    Duration objective{}; ///< Latency objective of a response.
    std::uint32_t priority = 0; ///< Priority; 0 is the highest.
    std::uint32_t maxTargets = 1; ///< Maximum number of targets that a request is sent to.
    std::vector<WeightedService> services; ///< Services that share the requests by weight.
    bool isPublic = false; ///< Whether requests need no key although the bundle has workspaces.

    bool operator==(const Route &other) const = default;

    /// Whether a request may run more than once.
    bool repeatable() const;
};

/// Maximum timeout of a route.
inline constexpr Duration MaxRouteTimeout = std::chrono::minutes(10);

/// An objective that exceeds the timeout of its route by this much or more is rejected as a configuration error.
inline constexpr Duration ObjectiveMargin = std::chrono::minutes(1);

/// Validates a route on its own; an InvalidArgument error starts with the name of the field.
absl::Status checkRoute(const Route &route);

/// Returns one of a route's services, chosen at random by weight.
const std::string &drawService(const Route &route, Random &random);

/// Looks up the route of a request by host and path.
class RouteTable
{
public:
    RouteTable() = default;

    /// Builds the table from copies of the routes.
    explicit RouteTable(const std::vector<Route> &routes);

    /// Returns the route of the host with the longest matching path prefix, or nullptr if none matches. The host may
    /// include a port and the target a query.
    const Route *find(std::string_view host, std::string_view target) const;

    /// Whether the table has a route with the name.
    bool contains(const std::string &name) const;

    /// Returns the number of routes.
    std::size_t size() const;

private:
    std::map<std::string, std::map<std::string, Route, std::less<>>, std::less<>> m_hosts; // routes by prefix, by host
    std::set<std::string> m_names;
};

}
