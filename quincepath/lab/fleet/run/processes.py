"""The processes that a script is played on: brokers that start, end, stand still and come back; the relay."""

import random
import signal
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

from quincepath.lab.cluster import Cluster, HolderProcess
from quincepath.lab.demo import DISTRICTS, ZONES, demo_config
from quincepath.lab.fleet.links import Ways
from quincepath.lab.fleet.relay import Relay
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.fleet.verdict import SECOND, Verdict, Watcher
from quincepath.lab.load import Client, QuerySource
from quincepath.lab.process import PROGRAM, ChildProcess
from quincepath.net.loop import Loop
from quincepath.standins.record import Halt, Mark, Writer

MS = 1_000_000
LOOK = 50 * MS  # between looks at processes that come up or end


class Seat(ChildProcess):
    """One broker process and what is known of it from outside."""

    def __init__(self, place: str, name: str, number: int, folder: Path) -> None:
        super().__init__(place, folder / f"broker-{place}.log")
        self.member, self.number, self.folder = name, number, folder
        self.url = self.metrics = ""
        self.client: Client | None = None
        self.up = False
        self.still = 0
        self.killed_at = -1
        self.held_at = 0
        self.started = 0

    @property
    def config(self) -> Path:
        """Its configuration file."""
        return self.folder / f"broker-{self.name}.yaml"


class Processes:
    """All processes of one run, and what the relay hears between them. Times: ns of the day."""

    def __init__(self, script: FleetScript, seed: int | None, folder: Path) -> None:
        if any(entry.kind == "drain" for entry in script.faults):
            raise ValueError("drain: only in virtual time; over processes a broker drains when it is stopped")
        if script.members > 40:
            raise ValueError(f"members is {script.members}: expected at most 40 over processes")
        self.script, self.folder = script, folder
        self.seed = script.seed if seed is None else seed
        self.loop = self.make_loop()
        replays = any(entry.kind == "replay" for entry in script.faults)
        self.ways = Ways(script.links, self.seed, replays)
        self.relay = Relay(self.loop, self.ways, self._packet)
        self.watcher = Watcher()
        self.verdict = Verdict(quiet_from=script.quiet_from)
        self.writer = Writer(folder / "clients.jsonl", "clients")
        self.random = random.Random(f"{self.seed} clients")
        groups = script.load.groups
        self.shards = {name: values for name, (group, values) in DISTRICTS.items() if group in groups}
        self.set_of = {name: group for name, (group, _) in DISTRICTS.items()}
        self.seats: dict[str, Seat] = {}
        self.cluster = Cluster(self._holders())
        self.queries: QuerySource
        self.begin = 0
        self.late_most = 0
        self.answers: Counter[str] = Counter()
        self.named = self.asked = self.open = 0  # queries, their tries, and the tries that are open
        self.digests: dict[str, int] = {}
        self.agreed_since = -1
        self.look_at = 0
        self.over = False
        self.retired: list[Client] = []

    def make_loop(self) -> Loop:
        """What all run on, or watch from."""
        return Loop()

    def make_seat(self, place: str, name: str, number: int) -> Seat:
        """Of a broker that is not started yet."""
        return Seat(place, name, number, self.folder)

    def make_holder(
        self, options: list[str], name: str, zone: str, shards: list[str], districts: list[str], record: Path
    ) -> HolderProcess:
        """Not started yet."""
        return HolderProcess(name, zone, shards, districts, options, record)

    @property
    def now(self) -> int:
        """ns of the day."""
        return self.loop.clock() - self.begin

    def at(self, when: int, call: Callable[[], None]) -> None:
        """At a time of the day."""
        self.loop.call_at(self.begin + when, call)

    def running(self) -> list[str]:
        """Names whose process is up."""
        return [seat.member for seat in self.seats.values() if seat.up and seat.name == seat.member]

    def start(self, name: str, place: str = "", ahead: int = 0) -> None:
        """A new process; it takes part when it says that it serves."""
        place = place or name
        seat = self.seats.get(place)
        if seat is None:
            # A second process of a name is another one to those who ask it, and to the audit.
            number = self.script.names.index(name) if place == name else self.script.members + len(self.seats)
            seat = self.seats[place] = self.make_seat(place, name, number)
            with seat.config.open("w") as file:
                YAML(typ="safe").dump(self._config(seat), file)
        if seat.process is not None:
            return
        skewed = [sys.executable, "-m", "quincepath.lab.fleet.skewed", str(ahead / SECOND)]
        seat.program = skewed if ahead else PROGRAM
        seat.start(["--log-level", "info", "serve", "-c", str(seat.config)])
        seat.started = self.now if self.begin else 0
        self.mark(f"started {place}")
        self.loop.call_in(LOOK, lambda: self._look(seat))

    def _look(self, seat: Seat) -> None:
        if seat.process is None or seat.up:
            return
        if not seat.ready():
            self.loop.call_in(LOOK, lambda: self._look(seat))
            return
        self._comes_up(seat)

    def _comes_up(self, seat: Seat) -> None:
        where = seat.startup_info()
        seat.url, seat.metrics = where["remote_read"], where["metrics"]
        host, _, port = where["fleet"].rpartition(":")
        seat.up = True
        if seat.client is None:
            seat.client = Client(self.loop, seat.url, self.writer, seat.number)
        else:
            seat.client.move(seat.url)
        if seat.killed_at >= 0:
            self.writer.write(Halt(seat.killed_at, seat.number, self.loop.clock(), True))
            seat.killed_at = -1
        if seat.name == seat.member:
            self.relay.real[seat.member] = (host, int(port))
            self.watcher.started(seat.member, self.now)
        self.digests.pop(seat.name, None)
        self._unsettle()
        self.mark(f"up {seat.name}")

    def end(self, place: str, leaves: bool) -> None:
        """SIGKILL, or SIGTERM where it leaves in good order."""
        seat = self.seats.get(place)
        if seat is None or seat.process is None:
            return
        self.mark(f"{'stopped' if leaves else 'killed'} {place}")
        if seat.up:
            self.verdict.member_seconds += (self.now - seat.started) / SECOND
        seat.up = False
        seat.still = 0
        self._unsettle()
        self.digests.pop(place, None)
        if leaves:
            seat.signal(signal.SIGTERM)
            self._reap(seat)
        else:
            seat.killed_at = self.loop.clock()
            seat.kill()
        if place == seat.member:
            if not leaves:
                self.relay.real.pop(seat.member, None)
            self.watcher.killed(place, self.now)

    def _reap(self, seat: Seat) -> None:
        process = seat.process
        if process is None:
            return
        if process.poll() is None:
            self.loop.call_in(LOOK, lambda: self._reap(seat))
            return
        self.relay.real.pop(seat.member, None)
        seat.kill()

    def hold(self, name: str) -> None:
        """SIGSTOP."""
        seat = self.seats.get(name)
        if seat is not None and seat.up:
            seat.still += 1
            if seat.still == 1:
                seat.held_at = self.loop.clock()
                seat.signal(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        """SIGCONT."""
        seat = self.seats.get(name)
        if seat is not None and seat.still:
            seat.still -= 1
            if not seat.still:
                seat.signal(signal.SIGCONT)
                self.writer.write(Halt(seat.held_at, seat.number, self.loop.clock(), False))

    def drain(self, name: str, draining: bool) -> None:
        """Not over processes; ``__init__`` refuses such scripts."""
        raise NotImplementedError

    def again(self, to: str, data: bytes) -> None:
        """A datagram of earlier arrives once more."""
        self.relay.send(to, data)

    def mark(self, what: str) -> None:
        """Note something of the script."""
        self.writer.write(Mark(self.loop.clock(), what))

    def _packet(self, place: str, digest: int | None, size: int) -> None:
        self.verdict.messages += 1
        self.verdict.bytes += size + 28
        seat = self.seats.get(place)
        if seat is None or not seat.up or place != seat.member or digest is None:
            return
        if self.digests.get(place) != digest:
            self.digests[place] = digest
            self._unsettle()
        if self.agreed_since < 0 and len(set(self.digests.values())) == 1:
            if set(self.digests) == set(self.running()):
                self.agreed_since = self.now

    def _unsettle(self) -> None:
        self.agreed_since = -1

    # --- files ---

    def _holders(self) -> list[HolderProcess]:
        load, found = self.script.load, []
        report = load.work if load.report_work is None else load.report_work
        works = f"fuel_use_liters={load.work / MS:g},engine_hours={report / MS:g}"
        options = [
            "--seed", str(self.seed), "--works", works, "--tractors", "1", "--cores", str(load.cores),
            "--room", str(load.room),
        ]  # fmt: skip
        for n, name in enumerate(load.holder_names):
            shards = {one: values for one, values in self.shards.items() if self.set_of[one] == load.group(n)}
            districts = [value for values in shards.values() for value in values]
            zone = ZONES[n // load.sets % len(ZONES)]
            record = self.folder / f"holder-{name}.jsonl"
            found.append(self.make_holder(options, name, zone, list(shards), districts, record))
        return found

    def _config(self, seat: Seat) -> dict[str, Any]:
        script, place = self.script, len(self.seats)
        values = demo_config(0, holders=self.cluster.entries(set()))
        values["shards"]["map"] = [one for one in values["shards"]["map"] if one["set"] in script.load.groups]
        values["classes"] = [
            {**one, "worth": script.load.worth.get(one["name"], 1.0)} for one in values["classes"]
        ]
        number = script.names.index(seat.member)
        zone = script.zones[number % len(script.zones)]
        values["broker"] = {
            "number": number, "brokers": script.members, "zone": zone, "seed": self.seed * 1000 + place,
        }  # fmt: skip
        peers = []
        for number, name in enumerate(script.names):
            if name != seat.member:
                host = f"127.{self.seed % 100 + 100}.{place}.{number + 1}"
                peers.append({"name": name, "address": self.relay.add(seat.name, seat.member, name, host)})
        fleet: dict[str, Any] = {"name": "rehearsal", "member": seat.member, "peers": peers}
        fleet["join"] = [name for name in script.join if name != seat.member]
        for name in ("period", "reclaim", "exchange"):
            value = getattr(script.view, name)
            if value is not None:
                fleet[name] = f"{value}ns"
        if script.keepers:
            fleet["keepers"] = script.names[: script.keepers]
            if seat.member in fleet["keepers"]:
                fleet["store"] = f"store-{seat.name}"
        values["fleet"] = fleet
        script.sections.into(values)
        return values
