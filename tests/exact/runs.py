"""One run of each simulation in virtual time, and its record as bytes.

``python -m tests.exact.runs NAME FOLDER`` runs one and writes its record to FOLDER/record. Records keep the
order of memory, nothing is sorted for them: a dependency on the order of a set or on an address shows.
"""

import json
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from quincepath.config.load import load
from quincepath.fleet.load_reports.types import SECOND
from quincepath.lab import map_simulation
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script
from quincepath.lab.fair_plan import Plan, Tenant
from quincepath.lab.fair_schedulers import FairQueueing
from quincepath.lab.fair_simulation import Simulation as FairSimulation
from quincepath.lab.fleet.ledger_world import LedgerWorld, Network
from quincepath.lab.fleet.run import InsideRun
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.fleet.virtual import Virtual
from quincepath.lab.overload_simulation import Simulation, Strategy, scenes
from quincepath.limits.fair import FairSettings
from tests.fleet.test_inside import DAY

ROOT = Path(__file__).parents[2]
Run = Callable[[Path], bytes]
LINE = b"\n"


def inside(script: FleetScript, folder: Path) -> bytes:
    """Brokers, storage nodes and clients on one loop: figures and all record lines of the audit."""
    figures = InsideRun(script, None, folder).play()
    records = [path.name.encode() + LINE + path.read_bytes() for path in sorted(folder.glob("*.jsonl"))]
    return LINE.join([json.dumps(figures).encode(), *records])


def all_faults_of_load(folder: Path) -> bytes:
    """Nodes killed, hung and stopped; one broker killed, one leaving."""
    return inside(FleetScript.model_validate(DAY), folder)


def overload_with_kills(folder: Path) -> bytes:
    """A shortened example script: three times the load while brokers are killed and restarted."""
    script = load(ROOT / "examples/fleet/overload/summers-killed.yaml", FleetScript)
    return inside(script.model_copy(update={"length": 20 * SECOND}), folder)


def fleet_view(folder: Path) -> bytes:
    """Fleet membership over lossy links: every change of a view."""
    world = Virtual(load(ROOT / "examples/fleet/bad-links.yaml", FleetScript))
    world.keep_changes = True
    return repr((world.run().figures(), world.changes)).encode()


def emulator(folder: Path) -> bytes:
    """Brokers over faulty nodes in the emulator: every line of the recording."""
    lines: list[str] = []
    script = load(ROOT / "examples/incidents/holders-hang.yaml", Script)
    outcome = rehearse(script, sink=lambda line: lines.append(repr(line)), until=20 * SECOND)
    return "\n".join([repr(outcome.figures()), *lines]).encode()


def ledger(folder: Path) -> bytes:
    """Load totals of 20 brokers over a network that loses, duplicates and delays messages."""
    network = Network(loss=0.1, doubled=0.1, late=0.1)
    world = LedgerWorld(20, 1, lambda name, now: 100.0, network)
    found = []
    for second in range(1, 13):
        world.run(second * SECOND)
        found.append((world.truth(), [(one, process.totals) for one, process in world.of.items()]))
    return repr(found).encode()


def overload(folder: Path) -> bytes:
    """Overload control of 20 brokers under five times the load."""
    plan = replace(scenes.step(scenes.base(20, 20), 5.0), length=18 * SECOND)
    return repr(Simulation(plan, Strategy.FLEET, 1).run()).encode()


def fair(folder: Path) -> bytes:
    """Fair-queueing slots of five brokers, one of which is killed."""
    everywhere = tuple(range(5))
    tenants = tuple(Tenant(f"tenant {n}", everywhere, clients=2 + 2 * n) for n in range(4))
    settings = FairSettings(slots=10, quick_slots=2)
    plan = Plan(
        tenants, FairQueueing, settings, brokers=5, holders=10, length=15 * SECOND,
        report_age=lambda random: random.randrange(SECOND), kill=(12 * SECOND, 1),
    )  # fmt: skip
    return repr(FairSimulation(plan, 3).run()).encode()


def maps(folder: Path) -> bytes:
    """Queries through a drawn shard map and the one after it."""
    pair = map_simulation.draw(5)
    return repr(
        [map_simulation.simulate(pair, version, 500, 5) for version in (pair.before, pair.after)]
    ).encode()


RUNS: dict[str, Run] = {
    run.__name__: run
    for run in (all_faults_of_load, overload_with_kills, fleet_view, emulator, ledger, overload, fair, maps)
}


def main(words: list[str]) -> None:
    """Run one simulation and write its record to a folder."""
    name, folder = words
    (Path(folder) / "record").write_bytes(RUNS[name](Path(folder)))


if __name__ == "__main__":
    main(sys.argv[1:])
