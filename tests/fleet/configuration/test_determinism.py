"""The same world and seed give the same bytes, also in processes with another string hash seed."""

import os
import subprocess
import sys

from quincepath.lab.fleet.configuration_world import cases

SCRIPT = """
from quincepath.lab.fleet.configuration_world import cases
print(cases.loss(30, 6, seed=5).digest, cases.relay_silent(30, 2, seed=5).digest)
"""


def test_a_run_depends_only_on_its_seed() -> None:
    wanted = f"{cases.loss(30, 6, seed=5).digest} {cases.relay_silent(30, 2, seed=5).digest}"
    for hash_seed in ("1", "2"):
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        found = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env=environment,
            capture_output=True,
            text=True,
            timeout=120,
            check=True,
        )
        assert found.stdout.strip() == wanted
    assert cases.loss(30, 6, seed=6).digest != wanted.split()[0]
