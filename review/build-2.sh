#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside a node.  Their stand-ins are Python files that need the standard library
# alone and run with the interpreter that the build of the deploy file has made, so there is nothing to compile: this
# checks that the interpreter is there and that it can read them.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 1; }
shopt -s nullglob
.venv/bin/python -B - review/common2/*.py review/[6-9]/case.py review/10/case*.py <<'PYTHON'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text("utf-8"), name)
PYTHON
