#include "support.h"

#include "shallotrelay/bundle/route.h"
#include "shallotrelay/intent/intentledger.h"
#include "shallotrelay/membership/controlselector.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

IntentOrder stateOrder(std::uint64_t base, std::uint64_t version, const std::string &digest)
{
    IntentOrder out;
    out.kind = IntentKind::State;
    out.basedOn = base;
    out.version = version;
    out.digest = digest;
    out.document = "document of " + digest;
    return out;
}

Route routeOf(const std::string &name, const std::string &prefix)
{
    Route out;
    out.name = name;
    out.host = "news.example";
    out.prefix = prefix;
    out.timeout = 500ms;
    out.objective = 200ms;
    out.services = {{"redactie", 1}};
    return out;
}

}

TEST_CASE("Intent ledger accepts one of two orders on the same version and reports a much later repetition as repeated")
{
    IntentLedger ledger;
    CHECK(ledger.apply(stateOrder(0, 2, "a"), 1) == IntentVerdict::Accepted);
    CHECK(ledger.apply(stateOrder(2, 5, "b"), 2) == IntentVerdict::Accepted);
    CHECK(ledger.apply(stateOrder(2, 5, "c"), 3) == IntentVerdict::Superseded);
    CHECK(ledger.document() == "document of b");
    for (std::uint64_t version = 6; version < 400; ++version) {
        REQUIRE(ledger.apply(stateOrder(version - 1, version, "x" + std::to_string(version)), version)
                == IntentVerdict::Accepted);
    }
    CHECK(ledger.apply(stateOrder(2, 5, "b"), 500) == IntentVerdict::Repeated);
    CHECK(ledger.version() == 399);
}

TEST_CASE("Intent ledger rejects an order as outdated if its version is not above the current one")
{
    IntentLedger ledger;
    ledger.apply(stateOrder(0, 7, "a"), 1);
    CHECK(ledger.check(stateOrder(7, 7, "b")) == IntentVerdict::Outdated);
    CHECK(ledger.check(stateOrder(7, 3, "b")) == IntentVerdict::Outdated);
    CHECK(ledger.revision() == 1);
}

TEST_CASE("Intent ledger takes a data centre out and back and reports a second order as repeated")
{
    IntentLedger ledger;
    IntentOrder out;
    out.kind = IntentKind::TakeOut;
    out.dataCentre = "recife-a";
    CHECK(ledger.apply(out, 1) == IntentVerdict::Accepted);
    CHECK(ledger.apply(out, 2) == IntentVerdict::Repeated);
    CHECK(ledger.update().outOfService == std::vector<std::string>{"recife-a"});
    out.kind = IntentKind::TakeBack;
    CHECK(ledger.apply(out, 3) == IntentVerdict::Accepted);
    CHECK(ledger.update().outOfService.empty());
    CHECK(ledger.revision() == 3);
}

TEST_CASE("A snapshot of the intent ledger restores its complete state")
{
    IntentLedger ledger;
    ledger.apply(stateOrder(0, 2, "a"), 1);
    IntentOrder out;
    out.kind = IntentKind::TakeOut;
    out.dataCentre = "recife-a";
    ledger.apply(out, 2);
    IntentLedger restored;
    restored.restore(ledger.snapshot());
    CHECK(restored.snapshot() == ledger.snapshot());
    CHECK(restored.check(stateOrder(0, 2, "a")) == IntentVerdict::Repeated);
}

TEST_CASE("Route table selects the longest matching path prefix of the host")
{
    const RouteTable table({routeOf("all", "/"), routeOf("a", "/a/"), routeOf("ab", "/a/b/")});
    CHECK(table.find("news.example", "/a/b/c")->name == "ab");
    CHECK(table.find("NEWS.example:8080", "/a/x?y=/a/b/")->name == "a");
    CHECK(table.find("news.example", "/a")->name == "all");
    CHECK(table.find("other.example", "/a/") == nullptr);
    CHECK(RouteTable({routeOf("a", "/a/")}).find("news.example", "/b/") == nullptr);
}

TEST_CASE("An invalid route is rejected with an error that names the field")
{
    const auto errorOf = [](const std::function<void(Route &)> &invalidate) {
        Route route = routeOf("a", "/a/");
        invalidate(route);
        return std::string(checkRoute(route).message());
    };
    CHECK(checkRoute(routeOf("a", "/a/")).ok());
    CHECK(errorOf([](Route &it) { it.timeout = 601s; }).find("timeout") == 0);
    CHECK(errorOf([](Route &it) { it.objective = it.timeout + 60s; }).find("objective") == 0);
    CHECK(errorOf([](Route &it) { it.maxTargets = 0; }).find("max_tries") == 0);
    CHECK(errorOf([](Route &it) { it.prefix = "/a"; }).find("path") == 0);
    CHECK(errorOf([](Route &it) { it.services = {{"redactie", 0}}; }).find("to") == 0);
}

TEST_CASE("Requests are distributed to the services of a route by weight")
{
    Route route = routeOf("a", "/a/");
    route.services = {{"old", 90}, {"new", 10}};
    Random random(1);
    int n = 0;
    for (int i = 0; i < 1000; ++i) {
        n += drawService(route, random) == "new" ? 1 : 0;
    }
    CHECK(n > 60);
    CHECK(n < 140);
}

TEST_CASE("Control selector skips unresponsive control VMs for a while and adds the seeds if none responds")
{
    ControlSelector choice({"s1", "s2", "s3"});
    CHECK(choice.selected(at(0s)).size() == 3);
    choice.setKnownAddresses({"c1", "c2", "c3", "c4", "c5", "c6", "c7"});
    CHECK(choice.selected(at(0s)) == std::vector<std::string>{"c1", "c2", "c3", "c4", "c5"});
    choice.recordLinkState("c2", false, at(0s));
    CHECK(choice.selected(at(1s)).at(1) == "c2");
    CHECK(choice.selected(at(2s)) == std::vector<std::string>{"c1", "c3", "c4", "c5", "c6"});
    CHECK(choice.selected(at(7600ms)).at(1) == "c2");
    choice.recordLinkState("c2", true, at(8s));
    CHECK(choice.selected(at(9s)).at(1) == "c2");
    for (const char *it : {"c1", "c2", "c3", "c4", "c5", "c6", "c7"}) {
        choice.recordLinkState(it, false, at(10s));
    }
    CHECK(choice.selected(at(12s)).size() == 10);
}

}
