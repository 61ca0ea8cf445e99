"""The real brokers of a run: processes of the program, with stand-in nodes and queries of their own."""

import json
import os
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import psutil
from prometheus_client.parser import text_string_to_metric_families
from ruamel.yaml import YAML

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.hosts import ROOT
from benchmarks.capacity.scale.http import Request
from benchmarks.capacity.scale.plan import PORT, Mechanism, MemberPlan, Plan, base_document, fleet_values
from benchmarks.capacity.scale.result import SECOND
from benchmarks.capacity.scale.traffic import figures_of
from benchmarks.capacity.scale.waiting import poll_until
from quincepath.lab.cluster import Cluster, HolderProcess
from quincepath.lab.demo import DISTRICTS, ZONES
from quincepath.lab.load import Client, QueryResult, QuerySource
from quincepath.lab.process import ChildProcess, StartError
from quincepath.net.loop import Loop

GUARDED = ["-m", "benchmarks.capacity.scale.guarded"]
UP_TIME = 60.0  # seconds until all must serve
UP_POLL = 0.05
ANSWER_TIME = 15.0  # seconds until a broker that does not answer counts as one that knows nothing
COUNTED_TIME = 5.0  # seconds within which a broker brings its metrics up to date, at the latest
COUNTED_POLL = 0.03
PATIENCE = 3 * SECOND  # of a query's client, as the class's deadline
SHOWN = 2000  # characters of a broker's log that an error shows
SENT = "quincepath_fleet_sent_total"


class RealError(RuntimeError):
    """A real broker did not come up, or has ended."""


def make_holders(seed: int) -> list[HolderProcess]:
    """One stand-in node for each replica set; not started."""
    found = []
    for group in sorted({group for group, _ in DISTRICTS.values()}):
        shards = {name: values for name, (one, values) in DISTRICTS.items() if one == group}
        districts = [value for values in shards.values() for value in values]
        options = ["--seed", str(seed), "--tractors", "1"]
        found.append(HolderProcess(group, ZONES[0], list(shards), districts, options))
    return found


class RealBroker(ChildProcess):
    """One broker process, its client, and what it was last seen to know."""

    def __init__(self, member: MemberPlan, folder: Path) -> None:
        super().__init__(member.name, folder / f"broker-{member.name}.log")
        self.member = member
        self.config = folder / f"broker-{member.name}.yaml"
        self.metrics: tuple[str, int] = ("", 0)
        self.client: Client | None = None
        self.settled = False
        self.digest = 0
        self.living = 0
        self.drained: frozenset[str] = frozenset()
        self.knows_living_at = self.knows_drained_at = 0

    def note(self, expected_living: int, expected_drained: frozenset[str]) -> None:
        """When it was first seen to know what is expected."""
        now = time.monotonic_ns()
        self.knows_living_at = (self.knows_living_at or now) if self.living == expected_living else 0
        knows_drained = self.drained == expected_drained
        self.knows_drained_at = (self.knows_drained_at or now) if knows_drained else 0

    @property
    def last_words(self) -> str:
        """The end of its log."""
        return "" if self.log is None else self.log.read_text()[-SHOWN:]

    @property
    def processor(self) -> float:
        """Seconds of processor time since its start."""
        times = psutil.Process(self.pid).cpu_times()
        return times.user + times.system

    @property
    def resident(self) -> int:
        """Bytes of memory."""
        return int(psutil.Process(self.pid).memory_info().rss)


class RealBrokers:
    """All of them. ``address(sender, to)`` is how one member's configuration names another."""

    def __init__(self, plan: Plan, loop: Loop, address: Callable[[MemberPlan, MemberPlan], str]) -> None:
        self.plan, self.loop = plan, loop
        self._address = address
        self._folder = Path(plan.folder)
        self.brokers = {one.name: RealBroker(one, self._folder) for one in plan.members[: plan.real]}
        self._cluster = Cluster(make_holders(plan.seed))
        self._source = QuerySource(plan.seed, _district_numbers(), {"fleet-glance": PATIENCE})
        self.answers: Counter[str] = Counter()
        self._asked = 0
        self._living = 0
        self._drained: frozenset[str] = frozenset()
        self._committed: dict[str, str] = {}

    # --- processes ---

    def start(self) -> None:
        """All nodes and brokers; returns when all serve. Raises ``RealError`` and ``StartError``."""
        self._cluster.start()
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        for broker in self.brokers.values():
            with broker.config.open("w") as file:
                YAML(typ="safe").dump(self._document(broker.member), file)
            broker.program = [broker.program[0], *GUARDED]
            broker.start(["--log-level", "warning", "serve", "-c", str(broker.config)], environment)
        brokers = self.brokers.values()
        if not poll_until(self.loop, lambda: all(one.ready() for one in brokers), UP_TIME, UP_POLL):
            raise RealError(f"real brokers: not all served within {UP_TIME:g} s")
        for broker in self.brokers.values():
            self._meet(broker)

    def _meet(self, broker: RealBroker) -> None:
        try:
            where = broker.startup_info()
        except StartError as error:
            raise RealError(f"{error}: {broker.last_words}") from error
        parts = urlsplit(where["metrics"])
        broker.metrics = (parts.hostname or "", parts.port or 0)
        broker.client = Client(self.loop, where["remote_read"])
        if self.plan.queries:
            self._ask(broker, self.loop.clock())

    def _document(self, member: MemberPlan) -> dict[str, Any]:
        values = base_document(self.plan, self._cluster.entries(set()))
        values["broker"].update(number=member.number, zone=member.zone, seed=self.plan.seed + member.number)
        values["fleet"] = fleet_values(self.plan, member, self.plan.relays)
        values["fleet"]["peers"] = [
            {"name": other.name, "address": self._address(member, other)} for other in self.plan.members
        ]
        return values

    def end(self, names: tuple[str, ...]) -> None:
        """Kill those of these that are real."""
        for name in names:
            broker = self.brokers.pop(name, None)
            if broker is not None:
                self._close(broker)

    @staticmethod
    def _close(broker: RealBroker) -> None:
        if broker.client is not None:
            broker.client.close()
        broker.kill()

    def stop(self) -> None:
        """None is left."""
        for broker in self.brokers.values():
            self._close(broker)
        self._cluster.stop()

    def check(self) -> None:
        """Raises ``RealError`` where one has ended by itself."""
        for broker in self.brokers.values():
            status = None if broker.process is None else broker.process.poll()
            if status is not None:
                raise RealError(f"real broker {broker.name} ended, status {status}: {broker.last_words}")

    # --- queries ---

    def _ask(self, broker: RealBroker, due: int) -> None:
        """One query of all replica sets; the next follows at the plan's rate."""
        if broker.name not in self.brokers or broker.client is None:
            return
        self._asked += 1
        broker.client.ask(f"q{self._asked}", self._source.next(glances=1.0), self._answered)
        after = due + int(SECOND / self.plan.queries)
        self.loop.call_at(after, lambda: self._ask(broker, after))

    def _answered(self, seen: QueryResult) -> None:
        self.answers["answered" if seen.status == 200 else "not answered"] += 1

    # --- what they know ---

    def expect(self, living: int, drained: tuple[str, ...]) -> None:
        """As hollow brokers are told."""
        self._living, self._drained = living, frozenset(drained)
        for broker in self.brokers.values():
            broker.note(self._living, self._drained)

    def progress(self) -> m.Progress:
        """Ask each what it knows now, in the form in which hosts say it."""
        self.check()
        waiting: set[str] = set()
        for broker in self.brokers.values():
            self._get(waiting, broker, "/fleet/view", self._viewed)
            if Mechanism.LOG in self.plan.mechanisms:
                self._get(waiting, broker, "/fleet/status", self._drains)
        self.loop.run_until(lambda: not waiting, ANSWER_TIME)
        for broker in self.brokers.values():
            broker.note(self._living, self._drained)
        return self._summary()

    def _get(
        self, waiting: set[str], broker: RealBroker, path: str, take: Callable[[RealBroker, Any], None]
    ) -> None:
        asked = f"{broker.name} {path}"
        waiting.add(asked)

        def done(status: int, body: bytes) -> None:
            waiting.discard(asked)
            if status == 200:
                take(broker, json.loads(body))

        Request(self.loop, broker.metrics, "GET", path, b"", done)

    @staticmethod
    def _viewed(broker: RealBroker, page: Any) -> None:
        broker.settled, broker.living = bool(page["settled"]), int(page["live"])
        broker.digest = int(page["digest"], 16)

    @staticmethod
    def _drains(broker: RealBroker, page: Any) -> None:
        broker.drained = frozenset(one["name"] for one in page["permits"])

    def _summary(self) -> m.Progress:
        brokers = list(self.brokers.values())
        return m.Progress(
            running=len(brokers),
            settled=sum(one.settled for one in brokers),
            knows_living=sum(bool(one.knows_living_at) for one in brokers),
            living_at=max((one.knows_living_at for one in brokers), default=0),
            knows_drained=sum(bool(one.knows_drained_at) for one in brokers),
            drained_at=max((one.knows_drained_at for one in brokers), default=0),
            late_most=0,
            late_usual=0,
            lacking=tuple(one.name for one in brokers if not one.knows_living_at or not one.knows_drained_at),
        )

    def digests(self) -> set[int]:
        """Different views, as last asked for."""
        return {broker.digest for broker in self.brokers.values()}

    def command(self, command: m.Command) -> None:
        """As a hollow broker does it: ``committed`` tells what came of it."""
        order = {"id": command.id, "by": "scale", "names": [command.name]}
        path = "/fleet/undrain" if command.back else "/fleet/drain"

        def done(status: int, body: bytes) -> None:
            self._committed[command.id] = "" if status == 200 else f"status {status}: {body.decode()[:400]}"

        Request(
            self.loop, self.brokers[command.member].metrics, "POST", path, json.dumps(order).encode(), done
        )

    def committed(self, id: str) -> str | None:
        """None as long as nothing came of a command, empty where it took effect, else why not."""
        return self._committed.get(id)

    # --- what they sent ---

    def sent(self) -> dict[str, tuple[int, m.BrokerFigures]]:
        """What each has sent, with the time (ns) at which that was so.

        A broker brings its metrics up to date once a second. They are read until they change, so that two
        readings are apart by what was counted between them.
        """
        first: dict[str, m.BrokerFigures] = {}
        found: dict[str, tuple[int, m.BrokerFigures]] = {}
        asked: set[str] = set()

        def read(broker: RealBroker, figures: m.BrokerFigures) -> None:
            before = first.setdefault(broker.name, figures)
            if before != figures:
                found.setdefault(broker.name, (time.monotonic_ns(), figures))

        def all_changed() -> bool:
            for broker in self.brokers.values():
                if broker.name not in found and broker.name not in asked:
                    self._read_metrics(broker, asked, read)
            return len(found) == len(self.brokers)

        if not poll_until(self.loop, all_changed, COUNTED_TIME, COUNTED_POLL):
            lacking = sorted(set(self.brokers) - set(found))
            raise RealError(f"real broker {lacking[0]} counted nothing for {COUNTED_TIME:g} s")
        return found

    def _read_metrics(
        self, broker: RealBroker, asked: set[str], read: Callable[[RealBroker, m.BrokerFigures], None]
    ) -> None:
        asked.add(broker.name)

        def done(status: int, body: bytes) -> None:
            asked.discard(broker.name)
            if status == 200:
                read(broker, figures_of(broker.name, _sent(body.decode())))

        Request(self.loop, broker.metrics, "GET", "/metrics", b"", done)


def _sent(text: str) -> dict[str, float]:
    """Counts by the label ``what``."""
    found = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == SENT:
                found[sample.labels["what"]] = sample.value
    return found


def _district_numbers() -> dict[str, int]:
    """The number of the shard of each district."""
    rows = [values for _, values in DISTRICTS.values()]
    return {value: number for number, values in enumerate(rows) for value in values}


def direct_address(_: MemberPlan, to: MemberPlan) -> str:
    """Without anything between two members."""
    return f"{to.host}:{PORT}"
