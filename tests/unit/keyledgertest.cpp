#include "support.h"

#include "shallotrelay/idempotency/keyledger.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace shallotrelay;

namespace
{

std::shared_ptr<const KeptAnswer> answerOf(std::size_t bytes)
{
    auto answer = std::make_shared<KeptAnswer>();
    answer->body = std::string(bytes, 'x');
    return answer;
}

ClaimAnswer grantedTo(const ClaimOwner &owner, bool granted)
{
    return {1, granted, false, owner.address, owner.target, owner.incarnation};
}

/// Two nodes, one key, one control VM. Each step of a schedule is one event; all schedules up to a depth are tried.
struct Model {
    struct Try {
        int node = 0;
        std::uint64_t incarnation = 0;
        std::optional<ClaimAnswer> answer; // on its way back from control
        bool running = false;
        bool started = false; // whether the target has really started it
    };

    std::vector<KeyLedger> ledgers = {KeyLedger(25h, 1000), KeyLedger(25h, 1000)};
    std::vector<std::uint64_t> incarnations = {1, 1};
    std::optional<ClaimOwner> claim;
    std::vector<Try> tries;
    bool controlForgets = false; // a fault of the model itself, to see that the check can fail
    int sends = 0;
    int restarts = 0;
    int starts = 0;
    bool saidNotRunAfterStart = false;

    ClaimOwner self(int node) const
    {
        return {"node-" + std::to_string(node), "target-" + std::to_string(node),
                incarnations[static_cast<std::size_t>(node)]};
    }

    KeyLedger &ledger(int node)
    {
        return ledgers[static_cast<std::size_t>(node)];
    }

    bool alive(const Try &it) const
    {
        return it.incarnation == incarnations[static_cast<std::size_t>(it.node)];
    }

    void take(Try it, const KeyDecision &decision)
    {
        if (decision.step == KeyStep::Run) {
            it.running = true;
            tries.push_back(it);
        } else if (decision.step == KeyStep::Redirect) {
            send(decision.owner.address == "node-0" ? 0 : 1, true);
        }
    }

    void send(int node, bool toOwner)
    {
        const KeyDecision decision = ledger(node).begin("k", "f", toOwner, at(0s));
        Try it;
        it.node = node;
        it.incarnation = self(node).incarnation;
        if (decision.step == KeyStep::Claim) {
            // Control decides at once; its answer may be lost.
            const bool granted = !claim || controlForgets;
            claim = granted ? std::optional(self(node)) : claim;
            it.answer = grantedTo(*claim, granted);
            tries.push_back(it);
        } else {
            take(it, decision);
        }
    }
};

/// What a search saw.
struct Seen {
    std::size_t states = 0;
    std::size_t doubleRuns = 0;
    std::size_t falseNotRuns = 0;

    Seen &operator+=(const Seen &other)
    {
        states += other.states;
        doubleRuns += other.doubleRuns;
        falseNotRuns += other.falseNotRuns;
        return *this;
    }
};

/// Tries all schedules from a state.
Seen explore(const Model &model, int depth)
{
    Seen seen{1, model.starts > 1 ? 1U : 0U, model.saidNotRunAfterStart ? 1U : 0U};
    if (depth == 0) {
        return seen;
    }
    for (int node = 0; node < 2 && model.sends < 4; ++node) {
        Model next = model;
        ++next.sends;
        next.send(node, false);
        seen += explore(next, depth - 1);
    }
    for (int node = 0; node < 2 && model.restarts < 2; ++node) {
        Model next = model;
        ++next.restarts;
        ++next.incarnations[static_cast<std::size_t>(node)];
        next.ledger(node) = KeyLedger(25h, 1000);
        seen += explore(next, depth - 1);
    }
    for (std::size_t i = 0; i < model.tries.size(); ++i) {
        const Model::Try it = model.tries[i];
        if (!model.alive(it)) {
            continue;
        }
        Model base = model;
        base.tries.erase(base.tries.begin() + static_cast<std::ptrdiff_t>(i));
        if (it.answer) {
            Model delivered = base;
            Model::Try without = it;
            without.answer.reset();
            delivered.take(without, delivered.ledger(it.node).claimAnswered("k", &*it.answer, delivered.self(it.node)));
            seen += explore(delivered, depth - 1);
            Model lost = base;
            lost.take(without, lost.ledger(it.node).claimAnswered("k", nullptr, lost.self(it.node)));
            seen += explore(lost, depth - 1);
        } else if (it.running) {
            // The node holds the claim and says that the key did not run.
            Model refused = base;
            refused.saidNotRunAfterStart = refused.starts > 0;
            refused.ledger(it.node).ran("k", RunEnd::NotRun, nullptr);
            seen += explore(refused, depth - 1);
            Model answered = base;
            ++answered.starts;
            answered.ledger(it.node).ran("k", RunEnd::Answered, answerOf(1));
            seen += explore(answered, depth - 1);
            Model cut = base;
            ++cut.starts;
            cut.ledger(it.node).ran("k", RunEnd::Lost, nullptr);
            seen += explore(cut, depth - 1);
        }
    }
    return seen;
}

}

TEST_CASE("A key runs once and its answer is kept for resends")
{
    KeyLedger ledger(25h, 1000);
    const ClaimOwner self{"a", "t", 1};
    REQUIRE(ledger.begin("k", "f", false, at(0s)).step == KeyStep::Claim);
    CHECK(ledger.begin("k", "f", false, at(0s)).step == KeyStep::Wait);
    const ClaimAnswer granted = grantedTo(self, true);
    REQUIRE(ledger.claimAnswered("k", &granted, self).step == KeyStep::Run);
    CHECK(ledger.begin("k", "f", false, at(0s)).step == KeyStep::Wait);
    ledger.ran("k", RunEnd::Answered, answerOf(10));
    CHECK(ledger.begin("k", "f", false, at(1s)).step == KeyStep::Replay);
    CHECK(ledger.begin("k", "another request", false, at(1s)).step == KeyStep::Mismatch);
}

TEST_CASE("A claim that another node holds is redirected, and one of an earlier incarnation is unknown")
{
    KeyLedger ledger(25h, 1000);
    const ClaimOwner self{"a", "t", 2};
    const ClaimAnswer elsewhere = grantedTo({"b", "u", 7}, false);
    ledger.begin("k", "f", false, at(0s));
    const KeyDecision decision = ledger.claimAnswered("k", &elsewhere, self);
    CHECK(decision.step == KeyStep::Redirect);
    CHECK(decision.owner.address == "b");
    const ClaimAnswer before = grantedTo({"a", "t", 1}, false);
    ledger.begin("k", "f", false, at(0s));
    CHECK(ledger.claimAnswered("k", &before, self).step == KeyStep::Unknown);
    CHECK(ledger.begin("k", "f", false, at(0s)).step == KeyStep::Unknown);
    CHECK(ledger.begin("sent to the holder", "f", true, at(0s)).step == KeyStep::Unknown);
}

TEST_CASE("Kept answers and records are bounded, and a dropped answer is never run again")
{
    KeyLedger ledger(1h, 100);
    const ClaimOwner self{"a", "t", 1};
    const ClaimAnswer granted = grantedTo(self, true);
    for (const char *key : {"k1", "k2"}) {
        ledger.begin(key, "f", false, at(0s));
        ledger.claimAnswered(key, &granted, self);
        ledger.ran(key, RunEnd::Answered, answerOf(80));
    }
    CHECK(ledger.begin("k1", "f", false, at(1s)).step == KeyStep::Unknown);
    CHECK(ledger.begin("k2", "f", false, at(1s)).step == KeyStep::Replay);
    CHECK(ledger.begin("k3", "f", false, at(2h)).step == KeyStep::Claim);
    CHECK(ledger.size() == 1);
}

TEST_CASE("Model check: in no schedule of resends, lost answers, refusals and restarts does a key run twice")
{
    constexpr int Depth = 10;
    const Seen seen = explore(Model(), Depth);
    CHECK(seen.states > 1000000);
    CHECK(seen.doubleRuns == 0);
    CHECK(seen.falseNotRuns == 0);
}

TEST_CASE("Model check: the same search finds double runs when control forgets its claims")
{
    constexpr int Depth = 7;
    Model model;
    model.controlForgets = true;
    CHECK(explore(model, Depth).doubleRuns > 0);
}
