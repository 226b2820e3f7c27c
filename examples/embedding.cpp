// Example of embedding the decision library: a router chooses targets for requests and a guard per target enforces its
// in-flight limit.

#include "shallotrelay/guard/guard.h"
#include "shallotrelay/routing/callplan.h"

#include <iostream>
#include <map>

using namespace shallotrelay;
using namespace std::chrono_literals;

int main()
{
    const TimePoint now = TimePoint(1h);
    RouterOptions options;
    options.dataCentre = "brasov-a";
    ServiceRouter router(options);
    router.setTargets({{"redactie-1", "brasov-a", 12, TargetState::Ready, true, "boot-1"},
                       {"redactie-2", "sibiu-c", 12, TargetState::Ready, true, "boot-1"}},
                      now);

    GuardPolicy policy;
    policy.served = true;
    policy.slots = 12;
    policy.connections = 240;
    std::map<std::string, Guard> guards;
    for (const char *name : {"redactie-1", "redactie-2"}) {
        guards[name].setPolicy(policy, now);
        guards[name].announced({"boot-1", TargetState::Ready, 12, 240}, now);
    }

    RetryBudget budget(10);
    Random random(1);
    int admitted = 0;
    for (GuardTicket ticket = 1; ticket <= 30; ++ticket) {
        CallPlan plan({.repeatable = true});
        while (const auto planned = plan.next(router, budget, random, now)) {
            Guard &guard = guards[planned->choice.target];
            const GuardOfferResult result = guard.offer({ticket, now + 1s, false}, now);
            router.recordLoadReport(planned->choice.target, guard.load(now), now);
            if (result.kind == GuardOfferResult::Kind::Admitted) {
                ++admitted;
                break;
            }
            AttemptOutcome refused;
            refused.timeLeft = 1s;
            if (!plan.shouldContinue(refused, router, budget)) {
                break;
            }
        }
    }
    std::cout << admitted << " of 30 requests admitted, with 24 slots in total\n";
    return admitted == 24 ? 0 : 1;
}
