#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0: without the disruption.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../../.venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 2; }
exec ../../.venv/bin/python -B case.py
