#!/usr/bin/env bash
# Builds and runs both sample deployments on loopback in one process. Exits with 0 only if all responses were complete
# and correct.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
build/shallotrelay demo "$@"
