#!/usr/bin/env bash
# Fails if a name from the protocol of the users' platform occurs outside platform/, the adapter to that platform.
set -euo pipefail
cd "$(dirname "$0")/.."

words='Server-Seal|Server-Limit|Server-Leaving|Expect-Instance|Caller-Service|Instance-Load|Not-Executed|weightedClusters|coldRemaining|heartbeatAddr|baseVersion|pathPrefix|Shallotrelay-Tenant|apiKeys|ratePerS|fleetbench'
if git grep -nE "$words" -- src include bench examples; then
    echo "the lines above use names of the users' platform, which only platform/ may use"
    exit 1
fi
