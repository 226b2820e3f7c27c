#include "shallotrelay/routing/subset.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace shallotrelay
{
namespace
{

using Ranked = std::vector<std::pair<std::size_t, const std::string *>>;

/// Moves the n names with the highest ranks into the set.
void moveHighestRanked(Ranked &ranked, std::size_t n, std::set<std::string> *out)
{
    n = std::min(n, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::for_each(ranked.begin(), end, [&](const auto &it) { out->insert(*it.second); });
    ranked.erase(ranked.begin(), end);
}

}

std::set<std::string> preferredTargets(const std::string &node, const std::string &dataCentre,
                                       const std::vector<SubsetTarget> &targets, const SubsetSize &size)
{
    std::set<std::string> out;
    if (targets.size() <= size.near + size.far) {
        for (const SubsetTarget &it : targets) {
            out.insert(it.name);
        }
        return out;
    }
    Ranked near;
    Ranked rest;
    for (const SubsetTarget &it : targets) {
        Ranked &list = it.dataCentre == dataCentre ? near : rest;
        list.emplace_back(std::hash<std::string>{}(node + '/' + it.name), &it.name);
    }
    moveHighestRanked(near, size.near, &out);
    rest.insert(rest.end(), near.begin(), near.end());
    moveHighestRanked(rest, size.near + size.far - out.size(), &out);
    return out;
}

}
