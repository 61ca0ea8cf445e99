#!/bin/sh
# Builds the stand-ins of cases 6 to 10: plain Python of the standard library, so they are only compiled as a check.
# Run after the build line of deploy/balancer.toml, which makes the .venv that the scripts use.
set -eu
cd "$(dirname "$0")"
python=../.venv/bin/python
test -x "$python" || { echo "run the build line of deploy/balancer.toml first"; exit 2; }
"$python" -m py_compile rig2/rig.py rig2/bad_clients.py ./6/case.py ./7/case.py ./8/case.py ./9/case.py ./10/case.py
echo "stand-ins are ready"
