#!/bin/sh
# The stand-ins are Python of the standard library alone: nothing is compiled, only checked for syntax.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins.py review/*/case.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 2
done
