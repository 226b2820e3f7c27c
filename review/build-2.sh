#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs without dependencies, so there is nothing to compile: this
# checks that the interpreter is there and can read them. The system itself is built by the command in deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for it in trials-2/*.py [6-9]/*.py 10/*.py; do
    [ -f "$it" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it" || exit 1
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "Python 3.9 or newer is needed"; exit 1; }
