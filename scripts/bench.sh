#!/usr/bin/env bash
# Runs the named benchmarks, or all of them without arguments, and prints the results as "name: value unit".
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
    *) echo "unknown benchmark: $it; expected added-latency, policy or slopes" >&2; exit 2 ;;
    esac
done
