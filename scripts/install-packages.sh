#!/usr/bin/env bash
# Installs the Debian packages that the build requires, unless all of them are installed.
set -euo pipefail

packages=(build-essential g++ cmake ninja-build pkg-config ccache python3-jinja2 clang-format clang-tidy
    libboost1.81-dev libspdlog-dev prometheus-cpp-dev libcereal-dev libsodium-dev libtclap-dev libabsl-dev
    nlohmann-json3-dev libxxhash-dev catch2 librapidcheck-dev gnuplot-nox)

missing=()
for it in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'install ok installed' || missing+=("$it")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
as_root=""
[ "$(id -u)" -eq 0 ] || as_root=sudo
$as_root apt-get update -qq
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends "${missing[@]}"
