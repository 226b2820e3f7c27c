#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside the folder that translates it.
set -euo pipefail
cd "$(dirname "$0")/.."

words='Server-Seal|Expect-Instance|Caller-Service|Instance-Load|Not-Executed|weightedClusters|coldRemaining|heartbeatAddr|baseVersion|pathPrefix|fleetbench'
if git grep -nE "$words" -- src include bench examples; then
    echo "names of the platform stand outside platform/"
    exit 1
fi
