#include "shallotrelay/bundle/route.h"

#include "base/text.h"

#include <absl/strings/ascii.h>

#include <numeric>

namespace shallotrelay
{

bool Route::repeatable() const
{
    return kind == RouteKind::Idempotent || kind == RouteKind::Download;
}

absl::Status checkRoute(const Route &route)
{
    if (route.name.empty()) {
        return absl::InvalidArgumentError("name: must not be empty");
    }
    if (route.host.empty()) {
        return absl::InvalidArgumentError("host: must not be empty");
    }
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        return absl::InvalidArgumentError("path: must start and end with a slash");
    }
    if (route.timeout <= Duration::zero() || route.timeout > MaxRouteTimeout) {
        return absl::InvalidArgumentError("timeout: must be above 0 and at most 10 minutes");
    }
    if (route.objective < Duration::zero() || route.objective >= route.timeout + ObjectiveMargin) {
        return absl::InvalidArgumentError("objective: must be at least 0 and below the timeout plus 1 minute");
    }
    if (route.maxTargets == 0) {
        return absl::InvalidArgumentError("max_tries: must be above 0");
    }
    const auto addWeight = [](std::uint64_t sum, const WeightedService &it) { return sum + it.weight; };
    if (std::accumulate(route.services.begin(), route.services.end(), std::uint64_t(0), addWeight) == 0) {
        return absl::InvalidArgumentError("to: must list at least one service with a weight above 0");
    }
    return absl::OkStatus();
}

const std::string &drawService(const Route &route, Random &random)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::uint64_t total = 0;
    for (const WeightedService &it : route.services) {
        total += it.weight;
    }
    std::uint64_t remaining = randomBelow(random, total);
    for (const WeightedService &it : route.services) {
        if (remaining < it.weight) {
            return it.service;
        }
        remaining -= it.weight;
    }
    return route.services.back().service;
}

RouteTable::RouteTable(const std::vector<Route> &routes)
{
    for (const Route &it : routes) {
        m_names.insert(it.name);
        m_hosts[it.host][it.prefix] = it;
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const std::string name = absl::AsciiStrToLower(toAbsl(host.substr(0, host.find(':'))));
    const auto routes = m_hosts.find(name);
    if (routes == m_hosts.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find('?'));
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto it = routes->second.find(path.substr(0, slash + 1));
        if (it != routes->second.end()) {
            return &it->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

bool RouteTable::contains(const std::string &name) const
{
    return m_names.contains(name);
}

std::size_t RouteTable::size() const
{
    return m_names.size();
}

}
