#include "support.h"

#include "platform/wire.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace shallotrelay::platform
{
namespace
{

RequestHead requestOf(const std::string &id)
{
    RequestHead out;
    out.requestId = id;
    out.target = "i-1";
    out.callerService = "huvo";
    return out;
}

ResponseHead answerOf(std::uint16_t status, const std::string &id, std::vector<HeaderField> fields)
{
    ResponseHead out;
    out.status = status;
    out.requestId = id;
    out.headers = std::move(fields);
    return out;
}

const HeaderField seal{"Shallotrelay-Server-Seal", "3e1b.07"};

nlohmann::json sampleState(std::uint64_t version)
{
    return {{"version", version},
            {"routes",
             {{{"name", "r-1"},
               {"host", "Ficu.example"},
               {"pathPrefix", "/pufi/"},
               {"routeType", "non_idempotent"},
               {"timeout", "800ms"},
               {"targetLatency", "250ms"},
               {"priority", 1},
               {"service", "huvo"},
               {"maxAttempts", 2}},
              {{"name", "r-2"},
               {"host", "ficu.example"},
               {"pathPrefix", "/lohu/"},
               {"routeType", "idempotent"},
               {"timeout", "1.2s"},
               {"targetLatency", "200ms"},
               {"priority", 2},
               {"weightedClusters", {{{"service", "huvo"}, {"weight", 90}}, {{"service", "wuno"}, {"weight", 10}}}},
               {"maxAttempts", 2}}}},
            {"services",
             {{{"name", "huvo"},
               {"healthPath", "/healthz"},
               {"maxConnections", 260},
               {"coldStart", "3s"},
               {"coldPerS", 42.0}},
              {{"name", "wuno"}, {"healthPath", "/healthz"}, {"maxConnections", 260}}}}};
}

absl::StatusOr<Bundle> parse(const nlohmann::json &state)
{
    return parseState({1, state["version"].get<std::uint64_t>(), state.dump(), {"recife-a"}});
}

}

TEST_CASE("The head of a worker's answer is judged: its own, another's, a rejection, or none")
{
    const RequestHead request = requestOf("a");
    using Kind = ResponseCheck::Kind;
    const auto kindOf = [&](const ResponseHead &head) { return checkResponse(request, head).kind; };
    CHECK(kindOf(answerOf(200, "a", {seal})) == Kind::Response);
    CHECK(kindOf(answerOf(500, "a", {})) == Kind::Response);
    CHECK(kindOf(answerOf(200, "b", {seal})) == Kind::OtherRequest);
    CHECK(kindOf(answerOf(200, "a", {})) == Kind::Invalid);
    CHECK(kindOf(answerOf(200, "", {seal})) == Kind::Invalid);
    CHECK(kindOf(answerOf(500, "", {seal})) == Kind::Invalid);
    CHECK(kindOf(answerOf(404, "", {})) == Kind::Invalid);
    CHECK(kindOf(answerOf(200, "a", {seal, {"Content-Encoding", "gzip"}})) == Kind::Invalid);
    CHECK(kindOf(answerOf(503, "a", {{"Shallotrelay-Not-Executed", "1"}})) == Kind::Rejected);
    CHECK(kindOf(answerOf(421, "a", {})) == Kind::Rejected);
}

TEST_CASE("A status that promises that nothing ran is not passed on when the worker did not promise it")
{
    const RequestHead request = requestOf("a");
    for (const std::uint16_t it : {408, 429, 503}) {
        CHECK(checkResponse(request, answerOf(it, "a", {seal})).kind == ResponseCheck::Kind::Invalid);
    }
}

TEST_CASE("The fourth load figure is the pace")
{
    const HeaderField load{"Shallotrelay-Instance-Load", "3,0,8,500"};
    CHECK(checkResponse(requestOf("a"), answerOf(200, "a", {seal, load})).pacePercent == 500);
    const HeaderField three{"Shallotrelay-Instance-Load", "3,0,8"};
    CHECK(checkResponse(requestOf("a"), answerOf(200, "a", {seal, three})).pacePercent == 0);
    const HeaderField bad{"Shallotrelay-Instance-Load", "x,y,z,-1"};
    CHECK(checkResponse(requestOf("a"), answerOf(200, "a", {seal, bad})).pacePercent == 0);
}

TEST_CASE("What only the system may set is set by the system, whatever the caller sent")
{
    std::vector<HeaderField> fields{
        {"shallotrelay-caller-service", "forged"}, {"Shallotrelay-Expect-Instance", "forged"}, {"Accept", "text/html"}};
    cleanFields(&fields);
    REQUIRE(fields.size() == 1);
    const auto own = targetFields(requestOf("a"));
    REQUIRE(own.size() == 2);
    CHECK(own[0] == HeaderField{"Shallotrelay-Caller-Service", "huvo"});
    CHECK(own[1] == HeaderField{"Shallotrelay-Expect-Instance", "i-1"});
}

TEST_CASE("A heartbeat is read whole or not at all")
{
    const nlohmann::json good = {{"service", "huvo"},
                                 {"address", "10.0.0.9:8080"},
                                 {"zone", "recife-a"},
                                 {"version", "v1"},
                                 {"slots", 14},
                                 {"state", "ready"},
                                 {"coldRemaining", "1500ms"},
                                 {"sequence", 4},
                                 {"born", 1790000000000ULL}};
    const auto heartbeat = parseHeartbeat("i-1", good.dump());
    REQUIRE(heartbeat.ok());
    CHECK(heartbeat->slots == 14);
    CHECK(heartbeat->remainingColdTime == 1500ms);
    CHECK(heartbeat->startedAtMs == 1790000000000ULL);
    CHECK_FALSE(heartbeat->leaving);
    for (const char *field : {"service", "address", "slots", "state", "sequence", "coldRemaining"}) {
        nlohmann::json missing = good;
        missing.erase(field);
        CHECK_FALSE(parseHeartbeat("i-1", missing.dump()).ok());
        nlohmann::json wrong = good;
        wrong[field] = nlohmann::json::array({1});
        CHECK_FALSE(parseHeartbeat("i-1", wrong.dump()).ok());
    }
    nlohmann::json unknown = good;
    unknown["state"] = "resting";
    CHECK_FALSE(parseHeartbeat("i-1", unknown.dump()).ok());
    nlohmann::json born = good;
    born["born"] = 1.5;
    CHECK_FALSE(parseHeartbeat("i-1", born.dump()).ok());
    CHECK_FALSE(parseHeartbeat("i-1", "\xff\x00{").ok());
    CHECK_FALSE(parseHeartbeat("", good.dump()).ok());
}

TEST_CASE("A probe names the instance, its slots, its pace and how long it stays cold")
{
    const auto probe = parseProbe({{"Shallotrelay-Instance-Id", "i-1"},
                                   {"Shallotrelay-Instance-Load", "0,0,12,200"},
                                   {"Shallotrelay-Cold-Ms", "750"}});
    REQUIRE(probe.ok());
    CHECK(probe->id == "i-1");
    CHECK(probe->slots == 12);
    CHECK(probe->pacePercent == 200);
    CHECK(probe->remainingColdTime == Duration(750ms));
    CHECK_FALSE(parseProbe({}).ok());
    CHECK(parseProbe({{"Shallotrelay-Instance-Id", "i-1"}})->remainingColdTime == Duration::zero());
}

TEST_CASE("A state becomes a bundle with routes, services and data centres")
{
    const auto bundle = parse(sampleState(7));
    REQUIRE(bundle.ok());
    CHECK(bundle->version == 7);
    REQUIRE(bundle->routes.size() == 2);
    CHECK(bundle->routes[0].host == "ficu.example");
    CHECK(bundle->routes[0].kind == RouteKind::NonIdempotent);
    CHECK(bundle->routes[0].timeout == 800ms);
    CHECK(bundle->routes[1].services == std::vector<WeightedService>{{"huvo", 90}, {"wuno", 10}});
    CHECK(bundle->services.at("huvo").coldPerSecond == 42.0);
    CHECK_FALSE(bundle->inService("recife-a"));
    CHECK(bundle->inService("recife-b"));
}

TEST_CASE("Each fault of a state makes it invalid")
{
    const auto spoiled = [](const std::function<void(nlohmann::json &)> &spoil) {
        nlohmann::json state = sampleState(7);
        spoil(state);
        return parse(state).ok();
    };
    CHECK(spoiled([](nlohmann::json &) {}));
    CHECK_FALSE(spoiled([](nlohmann::json &it) { it["routes"][0]["service"] = "nobody"; }));
    CHECK_FALSE(spoiled([](nlohmann::json &it) { it["routes"][0]["timeout"] = "601s"; }));
    CHECK_FALSE(spoiled([](nlohmann::json &it) { it["routes"][0].erase("timeout"); }));
    CHECK_FALSE(spoiled([](nlohmann::json &it) { it["routes"][0]["targetLatency"] = "60800ms"; }));
    CHECK_FALSE(spoiled([](nlohmann::json &it) { it["routes"][0]["maxAttempts"] = 0; }));
    CHECK_FALSE(spoiled([](nlohmann::json &it) { it["routes"][1]["pathPrefix"] = "/pufi/"; }));
    CHECK_FALSE(spoiled([](nlohmann::json &it) {
        it["routes"][1]["weightedClusters"][0]["weight"] = 0;
        it["routes"][1]["weightedClusters"][1]["weight"] = 0;
    }));
    CHECK_FALSE(spoiled([](nlohmann::json &it) { it.erase("services"); }));
    CHECK_FALSE(parseState({1, 7, sampleState(7).dump().substr(0, 300), {}}).ok());
}

TEST_CASE("A change replaces, adds and removes items by name and keeps the rest")
{
    nlohmann::json route = sampleState(7)["routes"][0];
    route["timeout"] = "900ms";
    nlohmann::json added = route;
    added["name"] = "r-3";
    added["pathPrefix"] = "/new/";
    const nlohmann::json change = {{"version", 9},
                                   {"baseVersion", 7},
                                   {"upsert", {{"routes", {route, added}}}},
                                   {"remove", {{"routes", {"r-2", "r-unknown"}}}}};
    const auto order = parseOrder(change.dump(), false);
    REQUIRE(order.ok());
    CHECK(order->version == 9);
    CHECK(order->basedOn == 7);
    const auto state = applyOrder(*order, sampleState(7).dump());
    REQUIRE(state.ok());
    const auto after = nlohmann::json::parse(*state);
    CHECK(after["version"] == 9);
    REQUIRE(after["routes"].size() == 2);
    CHECK(after["routes"][0]["timeout"] == "900ms");
    CHECK(after["routes"][1]["name"] == "r-3");
    CHECK(after["services"] == sampleState(7)["services"]);
    CHECK_FALSE(after.contains("baseVersion"));
}

TEST_CASE("An order without a version, or cut short, cannot be read")
{
    CHECK_FALSE(parseOrder("{\"routes\":[]}", true).ok());
    CHECK_FALSE(parseOrder("{\"version\":3,\"baseVersion\":\"x\"}", true).ok());
    CHECK_FALSE(parseOrder(sampleState(3).dump().substr(0, 100), true).ok());
    CHECK(parseOrder(sampleState(3).dump(), true)->basedOn == 0);
}

TEST_CASE("Hostile bytes never become a state or a heartbeat by chance")
{
    rc::check("mutated states parse or fail", [] {
        std::string text = sampleState(7).dump();
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        const auto bundle = parseState({1, 7, text, {}});
        if (bundle.ok()) {
            RC_ASSERT(checkRoutes(*bundle).ok());
        }
    });
}

}
