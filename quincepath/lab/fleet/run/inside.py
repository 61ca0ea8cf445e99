"""The same day in virtual time: brokers, holders, clients and relay on one loop of one process.

The network between them is in memory (``lab/memory_network``), and wall clock, entropy and memory use come
from it too: the same script and seed give the same record byte for byte, whatever else the machine does.
What needs processes of its own is refused: pause, starve and skew. A stopped holder is one that reads no
more.
"""

import signal
from pathlib import Path
from typing import Any, cast

from quincepath.broker.service import Broker
from quincepath.config.load import load
from quincepath.config.schema import Config
from quincepath.fleet.pages import view_page
from quincepath.lab.cluster import HolderProcess
from quincepath.lab.fleet.run.day import FleetRun
from quincepath.lab.fleet.run.processes import Seat
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.virtual_loop import ExactLoop
from quincepath.net.loop import Loop
from quincepath.standins.data import Store
from quincepath.standins.leaf import Faults, Leaf, Service
from quincepath.standins.record import Writer

OF_PROCESSES = ("pause", "starve", "skew")


class _Running:
    """In place of a process: whether it has ended."""

    status: int | None = None

    def poll(self) -> int | None:
        return self.status


class InsideSeat(Seat):
    """A broker on the run's loop."""

    def __init__(self, loop: Loop, place: str, name: str, number: int, folder: Path) -> None:
        super().__init__(place, name, number, folder)
        self.loop = loop
        self.broker: Broker | None = None

    def start(self, words: list[str], environment: dict[str, str] | None = None) -> None:
        self.broker = Broker(load(self.config, Config), self.loop, self.folder)
        self.process = cast(Any, _Running())

    def ready(self) -> bool:
        return True

    def startup_info(self) -> dict[str, Any]:
        assert self.broker is not None and self.broker.fleet is not None
        return {
            "remote_read": self.broker.url, "metrics": self.broker.metrics_url,
            "fleet": self.broker.fleet.address,
        }  # fmt: skip

    def signal(self, number: int) -> None:
        if number != signal.SIGTERM or self.broker is None:
            raise ValueError(f"signal {number}: only SIGTERM inside one process")
        running = cast(Any, self.process)
        self.broker.stop(lambda: setattr(running, "status", 0))

    def kill(self) -> None:
        if self.broker is not None:
            self.broker.close()
        self.broker = self.process = None

    stop = kill


class InsideHolder(HolderProcess):
    """A stand-in holder on the run's loop."""

    def __init__(self, loop: Loop, seed: int, service: Service, *words: Any) -> None:
        super().__init__(*words)
        self.loop, self.seed, self.service = loop, seed, service
        self.leaf: Leaf | None = None

    def launch(self, cold: float = 1.0) -> None:
        writer = Writer(self.record, self.name) if self.record else None
        store = Store(self.seed, self.districts, 1)
        self.leaf = Leaf(self.loop, self.name, store, self.service, writer, self.port)
        self.process = cast(Any, _Running())

    def wait(self) -> None:
        assert self.leaf is not None
        self.port = self.leaf.port

    def ready(self) -> bool:
        return True

    def control(self, fault: str) -> None:
        if self.leaf is not None:
            self.leaf.faults = Faults(fault=fault)

    def signal(self, number: int) -> None:
        self.control("silence" if number == signal.SIGSTOP else "none")

    def kill(self) -> None:
        if self.leaf is not None:
            self.leaf.close(reset=True)
        self.leaf = self.process = None

    stop = kill


class InsideRun(FleetRun):
    """``play`` as over processes; the same script and seed give the same record each time."""

    def __init__(self, script: FleetScript, seed: int | None, folder: Path) -> None:
        for place, entry in enumerate(script.faults):
            if entry.kind in OF_PROCESSES:
                raise ValueError(
                    f"faults[{place}] ({entry.kind}): under load over processes only (--sockets)"
                )
        super().__init__(script, seed, folder)

    def make_loop(self) -> Loop:
        return ExactLoop(self.seed)

    def make_seat(self, place: str, name: str, number: int) -> Seat:
        return InsideSeat(self.loop, place, name, number, self.folder)

    def make_holder(self, options: list[str], *words: Any) -> HolderProcess:
        load = self.script.load
        report = load.work if load.report_work is None else load.report_work
        works = {"fuel_use_liters": load.work, "engine_hours": report}
        service = Service(load.work, load.cores, load.room, works=works)
        name, zone, shards, districts, record = words
        return InsideHolder(self.loop, self.seed, service, name, zone, shards, districts, options, record)

    def _views(self) -> dict[str, Any]:
        found = {}
        for seat in self.seats.values():
            if seat.up and seat.name == seat.member and isinstance(seat, InsideSeat) and seat.broker:
                assert seat.broker.fleet is not None
                view, now = seat.broker.fleet.view, self.loop.clock()
                found[seat.member] = view_page(view, now, self.script.members)
        return found
