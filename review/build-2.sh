#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the project's programs, after the build of the deploy file.
# The stand-ins are Python on what requirements.txt installs: they are compiled, and each must import.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first"; exit 2; }
for file in review/standins2.py review/[6-9]/case.py review/10/case.py; do
    [ ! -f "$file" ] || .venv/bin/python -m py_compile "$file" || exit 2
done
exec .venv/bin/python -c 'import sys; sys.path.insert(0, "review"); import standins2'
