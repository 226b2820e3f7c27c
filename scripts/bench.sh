#!/usr/bin/env bash
# Runs benches and prints their figures as "name: value unit". Without a name it runs all of them.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh >/dev/null
names=("$@")
[ "${#names[@]}" -gt 0 ] || names=(added-latency)
for it in "${names[@]}"; do
    case "$it" in
    added-latency) build/bench/bench_added_latency ;;
    *) echo "unknown bench: $it" >&2; exit 2 ;;
    esac
done
