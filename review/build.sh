#!/bin/sh
# The stand-ins are Python files of this folder and need the standard library only: this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand_ins.py review/*/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
