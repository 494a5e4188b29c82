#!/bin/sh
# Builds the stand-ins of all cases: they are Python of the standard library alone, so they are compiled and loaded.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
.venv/bin/python -c 'import sys; sys.path.insert(0, "review"); import standins'
