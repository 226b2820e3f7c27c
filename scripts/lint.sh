#!/usr/bin/env bash
# Runs clang-tidy on all sources. Requires a build, which provides the compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."

# clang-tidy cannot read GCC's precompiled headers, so they are removed from the compile commands.
mkdir -p build/lint
python3 - <<'EOF'
import json, re
commands = json.load(open("build/compile_commands.json"))
for it in commands:
    it["command"] = re.sub(r"-Winvalid-pch|-include \S*cmake_pch\.hxx", "", it["command"]).replace("/usr/bin/ccache ", "")
    it["command"] = it["command"].replace("-Wshadow=local", "").replace("-Werror", "")
commands = [it for it in commands if "cmake_pch" not in it["file"]]
json.dump(commands, open("build/lint/compile_commands.json", "w"))
EOF
git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'examples/*.cpp' |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/lint --extra-arg=-D__cpp_impl_coroutine=201902L
