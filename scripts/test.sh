#!/usr/bin/env bash
# Builds and passes the tests. Tests that KNOWN-RED.txt names run last, and their outcome is printed but not judged.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
red=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | sed 's/ *$//' | grep -v '^$' || true)
if [ -z "$red" ]; then
    ctest --test-dir build --output-on-failure -j 4
    exit
fi
pattern=$(printf '%s\n' "$red" | sed 's/[][().*+?^$|\\]/\\&/g' | paste -sd'|')
echo "known red, not judged (see KNOWN-RED.txt):"
printf '%s\n' "$red"
ctest --test-dir build -R "^($pattern)\$" || true
ctest --test-dir build --output-on-failure -j 4 -E "^($pattern)\$"
