#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files and need the standard library only: this checks that they compile.
# Run after the build line of deploy/balancer.toml, which makes the .venv that the scripts use.
set -eu
cd "$(dirname "$0")/.."
for file in review/rig2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins are ready"
