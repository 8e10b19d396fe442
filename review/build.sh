#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file.  They are Python programs
# that need nothing but its interpreter and the standard library, so there is only their syntax to
# check.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review
