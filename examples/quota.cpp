// A node gets credits of a workspace's quota from the keeper and spends them on requests.
#include "shallotrelay/quota/quotakeeper.h"
#include "shallotrelay/quota/quotaledger.h"

#include <iostream>

using namespace shallotrelay;
using namespace std::chrono_literals;

int main()
{
    TimePoint now = TimePoint(1h);
    QuotaKeeper keeper;
    QuotaLedger ledger({"node-1", "127.0.0.1:9000", 1, 1});
    const QuotaPolicies policies = {{"alba", {10, 10}}};
    keeper.begin(1, now);
    keeper.setPolicies(policies, now);
    ledger.setPolicies(policies);
    ledger.setKnownNodes(1, now);
    int admitted = 0;
    for (; now < TimePoint(1h) + 10s; now += 20ms) {
        QuotaDecision decision = ledger.take("alba", now);
        const bool waits = decision.verdict == QuotaVerdict::Ask;
        if (waits) {
            ledger.beginWait("alba");
        }
        for (const QuotaReport &report : ledger.report(now)) {
            if (const auto grant = keeper.answer(report, now)) {
                ledger.apply(*grant, now);
            }
        }
        if (waits) {
            decision = ledger.takeAfterWait("alba", now);
            ledger.endWait("alba");
        }
        admitted += decision.verdict == QuotaVerdict::Admitted ? 1 : 0;
    }
    std::cout << admitted << " of 500 requests admitted, with a quota of 10 a second\n";
    return admitted >= 85 && admitted <= 110 ? 0 : 1;
}
