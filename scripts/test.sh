#!/usr/bin/env bash
# Builds and runs the tests. Tests listed in KNOWN-RED.txt run separately before the others; their results are printed
# but do not affect the exit status.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
red=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | sed 's/ *$//' | grep -v '^$' || true)
if [ -z "$red" ]; then
    ctest --test-dir build --output-on-failure -j 4
    exit
fi
pattern=$(printf '%s\n' "$red" | sed 's/[][().*+?^$|\\]/\\&/g' | paste -sd'|')
echo "known failures, ignored for the exit status (see KNOWN-RED.txt):"
printf '%s\n' "$red"
ctest --test-dir build -R "^($pattern)\$" || true
ctest --test-dir build --output-on-failure -j 4 -E "^($pattern)\$"
