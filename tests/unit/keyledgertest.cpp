#include "support.h"

#include "shallotrelay/idempotency/keyledger.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace shallotrelay;

namespace
{

std::shared_ptr<const CachedResponse> cachedResponse(std::size_t bytes)
{
    auto response = std::make_shared<CachedResponse>();
    response->body = std::string(bytes, 'x');
    return response;
}

ClaimAnswer claimResponse(const ClaimOwner &owner, bool granted)
{
    return {1, granted, false, owner.address, owner.target, owner.incarnation};
}

/// Model of two nodes, one key and one control VM. The search explores all schedules of events up to a depth.
struct Model {
    struct Attempt {
        int node = 0;
        std::uint64_t incarnation = 0;
        std::optional<ClaimAnswer> response; // response of control, in flight
        bool running = false;
        bool started = false; // whether the target has started to run it
    };

    std::vector<KeyLedger> ledgers = {KeyLedger(25h, 1000), KeyLedger(25h, 1000)};
    std::vector<std::uint64_t> incarnations = {1, 1};
    std::optional<ClaimOwner> claim;
    std::vector<Attempt> attempts;
    bool controlForgets = false; // injects a fault to show that the check can fail
    int sends = 0;
    int restarts = 0;
    int runs = 0;
    bool reportedNotRunAfterStart = false;

    ClaimOwner self(int node) const
    {
        return {"node-" + std::to_string(node), "target-" + std::to_string(node),
                incarnations[static_cast<std::size_t>(node)]};
    }

    KeyLedger &ledger(int node)
    {
        return ledgers[static_cast<std::size_t>(node)];
    }

    bool isCurrent(const Attempt &it) const
    {
        return it.incarnation == incarnations[static_cast<std::size_t>(it.node)];
    }

    void applyDecision(Attempt it, const KeyDecision &decision)
    {
        if (decision.step == KeyStep::Run) {
            it.running = true;
            attempts.push_back(it);
        } else if (decision.step == KeyStep::Redirect) {
            send(decision.owner.address == "node-0" ? 0 : 1, true);
        }
    }

    void send(int node, bool toOwner)
    {
        const KeyDecision decision = ledger(node).begin("k", "f", toOwner, at(0s));
        Attempt it;
        it.node = node;
        it.incarnation = self(node).incarnation;
        if (decision.step == KeyStep::Claim) {
            // Control decides immediately; its response may be lost.
            const bool granted = !claim || controlForgets;
            claim = granted ? std::optional(self(node)) : claim;
            it.response = claimResponse(*claim, granted);
            attempts.push_back(it);
        } else {
            applyDecision(it, decision);
        }
    }
};

/// Result of a search.
struct SearchResult {
    std::size_t states = 0;
    std::size_t doubleRuns = 0;
    std::size_t falseNotRuns = 0;

    SearchResult &operator+=(const SearchResult &other)
    {
        states += other.states;
        doubleRuns += other.doubleRuns;
        falseNotRuns += other.falseNotRuns;
        return *this;
    }
};

/// Explores all schedules from a state up to a depth.
SearchResult explore(const Model &model, int depth)
{
    SearchResult result{1, model.runs > 1 ? 1U : 0U, model.reportedNotRunAfterStart ? 1U : 0U};
    if (depth == 0) {
        return result;
    }
    for (int node = 0; node < 2 && model.sends < 4; ++node) {
        Model next = model;
        ++next.sends;
        next.send(node, false);
        result += explore(next, depth - 1);
    }
    for (int node = 0; node < 2 && model.restarts < 2; ++node) {
        Model next = model;
        ++next.restarts;
        ++next.incarnations[static_cast<std::size_t>(node)];
        next.ledger(node) = KeyLedger(25h, 1000);
        result += explore(next, depth - 1);
    }
    for (std::size_t i = 0; i < model.attempts.size(); ++i) {
        const Model::Attempt it = model.attempts[i];
        if (!model.isCurrent(it)) {
            continue;
        }
        Model base = model;
        base.attempts.erase(base.attempts.begin() + static_cast<std::ptrdiff_t>(i));
        if (it.response) {
            Model delivered = base;
            Model::Attempt without = it;
            without.response.reset();
            delivered.applyDecision(
                without, delivered.ledger(it.node).completeClaim("k", &*it.response, delivered.self(it.node)));
            result += explore(delivered, depth - 1);
            Model lost = base;
            lost.applyDecision(without, lost.ledger(it.node).completeClaim("k", nullptr, lost.self(it.node)));
            result += explore(lost, depth - 1);
        } else if (it.running) {
            // The node holds the claim and reports that the request did not run.
            Model refused = base;
            refused.reportedNotRunAfterStart = refused.runs > 0;
            refused.ledger(it.node).ran("k", RunOutcome::NotRun, nullptr);
            result += explore(refused, depth - 1);
            Model completed = base;
            ++completed.runs;
            completed.ledger(it.node).ran("k", RunOutcome::Completed, cachedResponse(1));
            result += explore(completed, depth - 1);
            Model incomplete = base;
            ++incomplete.runs;
            incomplete.ledger(it.node).ran("k", RunOutcome::Lost, nullptr);
            result += explore(incomplete, depth - 1);
        }
    }
    return result;
}

}

TEST_CASE("A request with a key runs once and its response is cached for repeated requests")
{
    KeyLedger ledger(25h, 1000);
    const ClaimOwner self{"a", "t", 1};
    REQUIRE(ledger.begin("k", "f", false, at(0s)).step == KeyStep::Claim);
    CHECK(ledger.begin("k", "f", false, at(0s)).step == KeyStep::Wait);
    const ClaimAnswer granted = claimResponse(self, true);
    REQUIRE(ledger.completeClaim("k", &granted, self).step == KeyStep::Run);
    CHECK(ledger.begin("k", "f", false, at(0s)).step == KeyStep::Wait);
    ledger.ran("k", RunOutcome::Completed, cachedResponse(10));
    CHECK(ledger.begin("k", "f", false, at(1s)).step == KeyStep::Replay);
    CHECK(ledger.begin("k", "another request", false, at(1s)).step == KeyStep::Mismatch);
}

TEST_CASE("A claim held by another node is redirected and one held by an earlier incarnation is unknown")
{
    KeyLedger ledger(25h, 1000);
    const ClaimOwner self{"a", "t", 2};
    const ClaimAnswer heldElsewhere = claimResponse({"b", "u", 7}, false);
    ledger.begin("k", "f", false, at(0s));
    const KeyDecision decision = ledger.completeClaim("k", &heldElsewhere, self);
    CHECK(decision.step == KeyStep::Redirect);
    CHECK(decision.owner.address == "b");
    const ClaimAnswer heldByEarlierIncarnation = claimResponse({"a", "t", 1}, false);
    ledger.begin("k", "f", false, at(0s));
    CHECK(ledger.completeClaim("k", &heldByEarlierIncarnation, self).step == KeyStep::Unknown);
    CHECK(ledger.begin("k", "f", false, at(0s)).step == KeyStep::Unknown);
    CHECK(ledger.begin("sent to the holder", "f", true, at(0s)).step == KeyStep::Unknown);
}

TEST_CASE("Cached responses and records are limited and a key with an evicted response never runs again")
{
    KeyLedger ledger(1h, 100);
    const ClaimOwner self{"a", "t", 1};
    const ClaimAnswer granted = claimResponse(self, true);
    for (const char *key : {"k1", "k2"}) {
        ledger.begin(key, "f", false, at(0s));
        ledger.completeClaim(key, &granted, self);
        ledger.ran(key, RunOutcome::Completed, cachedResponse(80));
    }
    CHECK(ledger.begin("k1", "f", false, at(1s)).step == KeyStep::Unknown);
    CHECK(ledger.begin("k2", "f", false, at(1s)).step == KeyStep::Replay);
    CHECK(ledger.begin("k3", "f", false, at(2h)).step == KeyStep::Claim);
    CHECK(ledger.size() == 1);
}

TEST_CASE("Model check: no schedule of repeated requests and lost responses and refusals and restarts runs a key twice")
{
    constexpr int Depth = 10;
    const SearchResult result = explore(Model(), Depth);
    CHECK(result.states > 1000000);
    CHECK(result.doubleRuns == 0);
    CHECK(result.falseNotRuns == 0);
}

TEST_CASE("Model check: the search finds double runs if control forgets its claims")
{
    constexpr int Depth = 7;
    Model model;
    model.controlForgets = true;
    CHECK(explore(model, Depth).doubleRuns > 0);
}
