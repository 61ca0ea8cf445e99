"""The laboratory against sockets: six scripts both ways, and whether the figures meet within stated bounds.

    python -m benchmarks.model_check

Bounds: 0.02 on the share answered whole within the target, 0.05 on attempts a part. Writes
``benchmarks/results/model_check.json``. About four minutes; the virtual figures are simulated.
"""

import json
import tempfile
from pathlib import Path

import click

from benchmarks.bad_day import RESULTS, ROOT, machine
from quincepath.config.load import load
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.sockets import SocketRun

GOOD, ATTEMPTS = 0.02, 0.05
TROUBLES = {
    "calm": [],
    "hang": [{"kind": "hang", "at": "4s", "last": "8s", "holders": ["s0r0", "s1r1"]}],
    "slow": [{"kind": "slow", "at": "4s", "last": "8s", "holders": ["s0r0"], "times": 6}],
    "errors": [{"kind": "errors", "at": "4s", "last": "8s", "holders": ["s0r0"], "share": 0.7}],
    "lost answers": [{"kind": "lost_answers", "at": "4s", "last": "8s", "holders": ["s1r0"], "share": 0.75}],
    "restart": [{"kind": "restart", "at": "4s", "last": "2s", "holders": ["s0r1"]}],
}


@click.command()
@click.option("--length", default="16s")
@click.option("--heavier", default=1.0, help="Times the work of all parts: nearer to overload.")
def main(length: str, heavier: float) -> None:
    """Run all six, both ways."""
    base = load(ROOT / "examples" / "incidents" / "holders-hang.yaml", Script)
    rows = []
    for name, troubles in TROUBLES.items():
        checked = Script.model_validate(
            {"about": name, "traffic": {"rate": 1}, "classes": [], "troubles": troubles, "length": length}
            | {"classes": [{"name": "x", "share": 1, "work": "1ms", "target": "1s", "deadline": "1s"}]}
        )
        script = base.model_copy(
            update={
                "troubles": checked.troubles,
                "length": checked.length,
                "seed": 31,
                "about": name,
                "classes": [c.model_copy(update={"work": int(c.work * heavier)}) for c in base.classes],
            }
        )
        virtual = rehearse(script).figures()
        with tempfile.TemporaryDirectory() as folder:
            sockets = SocketRun(script, script.seed, Path(folder)).run()
        row = {
            "script": name,
            "good": [virtual["good"], sockets["good"]],
            "attempts_a_part": [virtual["attempts_a_part"], sockets["attempts_a_part"]],
            "findings": [virtual["findings"], len(sockets["findings"])],
        }
        row["within"] = (
            abs(virtual["good"] - sockets["good"]) <= GOOD
            and abs(virtual["attempts_a_part"] - sockets["attempts_a_part"]) <= ATTEMPTS
        )
        rows.append(row)
        click.echo(json.dumps(row))
    RESULTS.mkdir(exist_ok=True)
    kept = {
        "machine": machine(),
        "heavier": heavier,
        "bounds": {"good": GOOD, "attempts_a_part": ATTEMPTS},
        "virtual, sockets": rows,
    }
    name = "model_check.json" if heavier == 1 else "model_check_heavier.json"
    (RESULTS / name).write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main()
