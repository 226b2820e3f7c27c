#!/usr/bin/env bash
# Installs the required packages and builds all targets in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C build --quiet
