#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
python=$here/../../.venv/bin/python
test -x "$python" || { echo "run the build line of deploy/balancer.toml first"; exit 2; }
exec "$python" -B "$here/case.py"
