#!/bin/sh
# Builds the stand-ins of review/6 and later: they are Python files of this folder and need nothing but `.venv`.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "build first as the deploy file says"; exit 2; }
.venv/bin/python -B - <<'PY'
import ast
import pathlib

for path in [pathlib.Path("review/standins2.py"), *sorted(pathlib.Path("review").glob("*/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"))
PY
