#!/bin/sh
# The stand-ins are Python programs of the standard library: there is nothing to build but their syntax to check.
set -eu
cd "$(dirname "$0")"
for it in standins.py [1-9]/case.py trials/*.py; do
    [ -f "$it" ] || continue
    /usr/bin/python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
