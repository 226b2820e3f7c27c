/// Routes: which service a caller's request goes to, what may be repeated, and how soon an answer is wanted.
///
/// A bundle lists routes. Build a RouteTable from them and ask it for each request:
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

/// What a route's requests are like.
enum class RouteKind {
    Idempotent, ///< They may run more than once.
    NonIdempotent, ///< They run once at most.
    Download, ///< They may run more than once and have large answers.
};

/// A service that takes a share of a route's requests.
struct WeightedService {
    std::string service; ///< Name of the service.
    std::uint32_t weight = 1; ///< Its share, relative to the other services of the route.

    bool operator==(const WeightedService &other) const = default;
};

/// Where requests for a host and path prefix go.
struct Route {
    std::string name; ///< Name, unique in the bundle.
    std::string host; ///< The host, in lower case.
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Idempotent; ///< What the requests are like.
    Duration timeout{}; ///< Longest time that a caller is kept waiting.
    Duration objective{}; ///< Time within which an answer is wanted.
    std::uint32_t priority = 0; ///< Rank; 0 is the most urgent.
    std::uint32_t maxTargets = 1; ///< Targets that one request is sent to at most.
    std::vector<WeightedService> services; ///< The services that share the requests.

    bool operator==(const Route &other) const = default;

    /// Returns whether a request may run more than once.
    bool repeatable() const;
};

/// Longest timeout of a route.
inline constexpr Duration MaxRouteTimeout = std::chrono::minutes(10);

/// An objective this far or farther above the timeout of its route is taken for a mistake.
inline constexpr Duration ObjectiveMargin = std::chrono::minutes(1);

/// Checks a route by itself; the error names the field.
absl::Status checkRoute(const Route &route);

/// Draws one of a route's services by weight.
const std::string &drawService(const Route &route, Random &random);

/// Finds the route of a request.
class RouteTable
{
public:
    RouteTable() = default;

    /// Keeps copies of the routes.
    explicit RouteTable(const std::vector<Route> &routes);

    /// Returns the route of the host with the longest prefix that begins the path, or nullptr. The host may end with a
    /// port, the path with a query.
    const Route *find(std::string_view host, std::string_view target) const;

    /// Returns whether a route has the name.
    bool names(const std::string &name) const;

    /// Returns how many routes there are.
    std::size_t size() const;

private:
    std::map<std::string, std::map<std::string, Route, std::less<>>, std::less<>> m_hosts; // routes by prefix, by host
    std::set<std::string> m_names;
};

}
