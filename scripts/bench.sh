#!/usr/bin/env bash
# Runs benches and prints their figures as "name: value unit". Without a name it runs all of them.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh >/dev/null
names=("$@")
[ "${#names[@]}" -gt 0 ] || names=(added-latency policy slopes)
for it in "${names[@]}"; do
    case "$it" in
    added-latency) build/bench/bench_added_latency ;;
    policy)
        build/bench/bench_policy
        if command -v gnuplot >/dev/null; then scripts/plot-policy.sh; fi
        ;;
    slopes) build/bench/bench_slopes ;;
    *) echo "unknown bench: $it" >&2; exit 2 ;;
    esac
done
