#include "support.h"

#include "shallotrelay/retry/retry.h"
#include "shallotrelay/routing/router.h"
#include "shallotrelay/routing/subset.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace shallotrelay
{
namespace
{

constexpr std::size_t DataCentres = 5;

std::string dataCentreOf(std::size_t index)
{
    return "dc" + std::to_string(index % DataCentres);
}

std::vector<SubsetTarget> targetsOf(std::size_t n)
{
    std::vector<SubsetTarget> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back({"t" + std::to_string(i), dataCentreOf(i)});
    }
    return out;
}

/// Returns the number of nodes that prefer each target.
std::map<std::string, int> countPreferences(std::size_t nodes, const std::vector<SubsetTarget> &targets)
{
    std::map<std::string, int> out;
    for (const SubsetTarget &it : targets) {
        out[it.name] = 0;
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        for (const std::string &it : preferredTargets("n" + std::to_string(i), dataCentreOf(i), targets, {})) {
            ++out[it];
        }
    }
    return out;
}

}

TEST_CASE("Subset limits the number of nodes that prefer a target at any deployment size")
{
    // One target for every two nodes, as for a service that runs on half of the nodes; 3,400 nodes is twice the final
    // size of the deployment.
    for (const std::size_t nodes : {100, 300, 1700, 3400}) {
        const auto all = countPreferences(nodes, targetsOf(nodes / 2));
        const auto byCount = [](const auto &a, const auto &b) { return a.second < b.second; };
        const int most = std::max_element(all.begin(), all.end(), byCount)->second;
        const int least = std::min_element(all.begin(), all.end(), byCount)->second;
        CAPTURE(nodes, least, most);
        // The average is 20 at any size.
        CHECK(most <= 44);
        CHECK(least >= 4);
    }
}

TEST_CASE("Subset has six local targets and four others")
{
    const auto targets = targetsOf(110);
    for (std::size_t i = 0; i < 200; ++i) {
        const auto subset = preferredTargets("n" + std::to_string(i), dataCentreOf(i), targets, {});
        const auto near = std::count_if(subset.begin(), subset.end(), [&](const std::string &it) {
            return dataCentreOf(std::stoul(it.substr(1))) == dataCentreOf(i);
        });
        CHECK(subset.size() == 10);
        CHECK(near == 6);
    }
}

TEST_CASE("Subset changes by one target if a preferred target is removed and otherwise not at all")
{
    const auto before = targetsOf(110);
    auto after = before;
    after.erase(after.begin() + 42);
    for (std::size_t i = 0; i < 200; ++i) {
        const std::string node = "n" + std::to_string(i);
        const auto old = preferredTargets(node, dataCentreOf(i), before, {});
        const auto now = preferredTargets(node, dataCentreOf(i), after, {});
        std::vector<std::string> gained;
        std::set_difference(now.begin(), now.end(), old.begin(), old.end(), std::back_inserter(gained));
        CHECK(gained.size() <= (old.contains("t42") ? 1 : 0));
        CHECK(now.size() == old.size());
    }
}

TEST_CASE("Subset keeps its size when the data centre of the node has no targets")
{
    auto targets = targetsOf(110);
    std::erase_if(targets, [](const SubsetTarget &it) { return it.dataCentre == "dc0"; });
    CHECK(preferredTargets("n0", "dc0", targets, {}).size() == 10);
}

TEST_CASE("Subset contains all targets if there are few")
{
    CHECK(preferredTargets("n0", "dc0", targetsOf(10), {}).size() == 10);
    CHECK(preferredTargets("n0", "dc0", targetsOf(3), {}).size() == 3);
}

TEST_CASE("Router chooses targets outside its subset when the preferred ones are full")
{
    RouterOptions options;
    options.dataCentre = "dc0";
    options.node = "n0";
    options.strategy = RoutingStrategy::EarliestFinish;
    ServiceRouter router(options);
    std::vector<RouterTarget> targets;
    for (const SubsetTarget &it : targetsOf(60)) {
        targets.push_back({it.name, it.dataCentre, 9, TargetState::Ready, true, "boot"});
    }
    router.setTargets(targets, at(0s));
    const auto preferred = router.preferred();
    REQUIRE(preferred.size() == 10);
    LoadReport load;
    load.limit = 9;
    load.state = TargetState::Ready;
    load.latencyUs = 100000;
    for (const std::string &it : preferred) {
        router.recordLoadReport(it, load, at(1s));
    }
    Random random(1);
    const auto isPreferred = [&](const std::string &name) {
        return std::find(preferred.begin(), preferred.end(), name) != preferred.end();
    };
    for (int i = 0; i < 50; ++i) {
        const auto choice = router.choose({}, at(1s), random, {100ms});
        CHECK(isPreferred(choice->target));
        CHECK(choice->candidates == 60);
    }
    load.inFlight = 9;
    load.queued = 9;
    for (const std::string &it : preferred) {
        router.recordLoadReport(it, load, at(2s));
    }
    int outside = 0;
    for (int i = 0; i < 50; ++i) {
        outside += isPreferred(router.choose({}, at(2s), random, {100ms})->target) ? 0 : 1;
    }
    CHECK(outside > 25);
}

TEST_CASE("Replay: 200 nodes with subsets rarely queue a request at two thirds of the total capacity")
{
    // 110 targets with 9 slots each are used at two thirds of their capacity. Each node gets a load report from each of
    // its preferred targets once per second, and with each response and each refusal.
    constexpr std::size_t Nodes = 200;
    constexpr std::size_t Targets = 110;
    constexpr std::uint32_t Slots = 9;
    std::vector<RouterTarget> targets;
    for (const SubsetTarget &it : targetsOf(Targets)) {
        targets.push_back({it.name, it.dataCentre, Slots, TargetState::Ready, true, "boot"});
    }
    std::vector<ServiceRouter> routers;
    std::vector<std::vector<std::size_t>> subscribers(Targets);
    for (std::size_t i = 0; i < Nodes; ++i) {
        RouterOptions options;
        options.dataCentre = dataCentreOf(i);
        options.node = "n" + std::to_string(i);
        options.strategy = RoutingStrategy::EarliestFinish;
        routers.emplace_back(options);
        routers.back().setTargets(targets, at(0s));
        for (const std::string &it : routers.back().preferred()) {
            subscribers[std::stoul(it.substr(1))].push_back(i);
        }
    }
    Random random(11);
    std::vector<std::uint32_t> running(Targets);
    std::multimap<TimePoint, std::pair<std::size_t, std::size_t>> ends; // target and node
    const auto loadOf = [&](std::size_t target) {
        LoadReport out;
        out.inFlight = std::min(running[target], Slots);
        out.queued = running[target] - out.inFlight;
        out.limit = Slots;
        out.state = TargetState::Ready;
        out.latencyUs = 260000;
        out.pacePercent = 100;
        return out;
    };
    int requests = 0;
    int offers = 0;
    int queued = 0;
    TimePoint nextReport = at(0s);
    // A request every 394 us that takes 260 ms keeps 660 of the 990 slots in use.
    constexpr Duration RequestInterval = std::chrono::microseconds(394);
    for (TimePoint now = at(0s); now < at(8s); now += RequestInterval) {
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [target, node] = ends.begin()->second;
            ends.erase(ends.begin());
            --running[target];
            routers[node].recordLoadReport("t" + std::to_string(target), loadOf(target), now);
            routers[node].recordAttemptOutcome("t" + std::to_string(target), {true, false, 260ms}, now);
        }
        if (now >= nextReport) {
            nextReport = now + 1s;
            for (std::size_t i = 0; i < Targets; ++i) {
                for (const std::size_t node : subscribers[i]) {
                    routers[node].recordLoadReport("t" + std::to_string(i), loadOf(i), now);
                }
            }
        }
        const std::size_t node = randomBelow(random, Nodes);
        ++requests;
        std::set<std::string> excluded;
        std::size_t target = 0;
        for (std::uint32_t offer = 1;; ++offer) {
            const auto choice = routers[node].choose(excluded, now, random, {260ms, 400});
            target = std::stoul(choice->target.substr(1));
            routers[node].recordAttemptStart(choice->target, now);
            ++offers;
            if (running[target] < Slots || offer == MaxOffers) {
                break;
            }
            routers[node].recordLoadReport(choice->target, loadOf(target), now);
            routers[node].recordAttemptOutcome(choice->target, {}, now);
            excluded.insert(choice->target);
        }
        queued += running[target] >= Slots ? 1 : 0;
        ++running[target];
        ends.emplace(now + 260ms, std::pair(target, node));
    }
    CAPTURE(requests, offers, queued);
    // Hardly any request queues while other targets have free slots, at fewer than 1.5 offers per request.
    CHECK(queued * 100 < requests);
    CHECK(2 * offers < 3 * requests);
}

}
