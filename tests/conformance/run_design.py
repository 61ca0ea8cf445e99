"""Rows of the design through three executors: the module, the driver in virtual time, a broker on sockets.

Counts are made by ordinary queries of one part, one replica listed at a time, a millisecond apart. All three
have to agree; where ties are asked for, outcomes over the seeds are those of the table. Sockets play fewer
seeds and may miss an outcome but not see another one. A row is played once, however often it is compared.
"""

import functools
import json
import tempfile
from pathlib import Path
from typing import Any, Protocol

from ruamel.yaml import YAML

from quincepath.broker.driver import Driver
from quincepath.broker.service import Broker
from quincepath.config.schema import Config
from quincepath.fronts.remote_read.codec import encode
from quincepath.interface import Answer, Entry, Members, Phase, Result, Scope, Send, Settings
from quincepath.lab.load import Client, QueryPlan
from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.orders import (
    Ask,
    AttemptEnded,
    Finish,
    MembershipUpdate,
    PartRequest,
    QueryArrived,
    StartCall,
)
from quincepath.policy import Aggregator
from quincepath.standins.data import Store
from quincepath.standins.leaf import Leaf
from tests.conformance.runner import runner
from tests.helpers import MS, SECOND, START, of_type, query_class, settings
from tests.helpers import Broker as Feeder
from tests.world import config_values, read_request

SEEDS, ON_SOCKETS = 40, 6
Sent = list[str]


class Bench(Protocol):
    """``only``: the replicas that are listed. ``query``: where its first sends went."""

    def only(self, names: set[str]) -> None: ...

    def query(self, kind: int, at: list[str]) -> Sent: ...

    def answered(self) -> int: ...


class Case:
    """A row made ready: sets, replicas and classes (0: the row's, 1: of one part, to make counts)."""

    def __init__(self, given: dict[str, Any]) -> None:
        self.counts: dict[str, list[int]] = given["counts"]
        self.sets = list(self.counts)
        self.at: list[str] = given.get("at", self.sets)
        self.need = given.get("need", len(self.at))
        self.batch, self.floor = given.get("batch", 1), given.get("partial")
        self.replicas = [f"{name}{n}" for name, counts in self.counts.items() for n in range(len(counts))]

    def share(self) -> float:
        return float(self.need) / len(self.at)

    def settings(self) -> Settings:
        row = query_class(need=self.share(), floor=self.floor or self.share())
        limits = {"batch": self.batch}
        return settings((row, query_class()), limits=limits, cells=len(self.sets), instances=1)

    def members(self, names: set[str]) -> Members:
        return Members(Scope.FULL, 1, tuple(
            Entry(node(number), 0, 0, self.sets.index(name[0]), 0,
                  Phase.READY if name in names else Phase.DRAINING, 1.0)
            for number, name in enumerate(self.replicas)
        ))  # fmt: skip

    def shards(self, at: list[str]) -> list[int]:
        """A set that stands twice has further shards: numbers that leave the set's modulo their count."""
        seen: dict[str, int] = {}
        found = []
        for name in at:
            found.append(self.sets.index(name) + seen.get(name, 0) * len(self.sets))
            seen[name] = seen.get(name, 0) + 1
        return found

    def play(self, bench: Bench) -> Sent:
        for name, counts in self.counts.items():
            for replica, count in enumerate(counts):
                bench.only({f"{name}{replica}"})
                for _ in range(count):
                    assert bench.query(1, [name]) == [f"{name}{replica}"]
        bench.only(set(self.replicas))
        return sorted(bench.query(0, self.at))


def node(number: int) -> bytes:
    return bytes((10, 0, 0, number, 0, 80))


class AtModule:
    """Events in, actions out."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.feeder = Feeder(case.settings(), seed, [])
        self.parts: list[int] = []

    def only(self, names: set[str]) -> None:
        self.feeder.feed(self.case.members(names))

    def query(self, kind: int, at: list[str]) -> Sent:
        self.feeder.advance(MS)
        _, _, got = self.feeder.query(self.case.shards(at), kind)
        sends = of_type(got, Send)
        self.parts = [send.part for send in sends]
        return [self.case.replicas[send.node[3]] for send in sends]

    def answered(self) -> int:
        for count, part in enumerate(self.parts, 1):
            if of_type(self.feeder.end(part), Answer):
                return count
        return 0


class AtDriver:
    """Asks in, orders out."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, made = case, case.settings()
        self.driver = Driver(Aggregator(made, seed), made, SECOND)
        self.handles, self.now = 0, START
        self.out: list[tuple[int, int]] = []

    def only(self, names: set[str]) -> None:
        self.driver.step(self.now, [MembershipUpdate(self.case.members(names))])

    def query(self, kind: int, at: list[str]) -> Sent:
        self.handles, self.now = self.handles + 1, self.now + MS
        parts = tuple(PartRequest(shard, 1 / len(at), None) for shard in self.case.shards(at))
        orders = self.driver.step(self.now, [QueryArrived(Ask(self.handles, kind, 4 * SECOND, parts))])
        calls = [order for order in orders if isinstance(order, StartCall)]
        self.out = [(one.part, one.attempt) for call in calls for one in call.attempts]
        return [self.case.replicas[call.node[3]] for call in calls for _ in call.attempts]

    def answered(self) -> int:
        for count, (part, attempt) in enumerate(self.out, 1):
            orders = self.driver.step(self.now + count, [AttemptEnded(part, attempt, Result.OK, ())])
            if any(isinstance(order, Finish) for order in orders):
                return count
        return 0


class Hanging(Leaf):
    """A holder that keeps every call, to be answered when the test says so."""

    kept: list[Any]

    def _inject_fault(self, call: Any) -> bool:
        self.kept.append(call)
        return True

    def answer(self, job: Any) -> None:
        self._answer(job)


class AtSockets:
    """A broker, holders that hang and a client, on loopback; where sends went is seen at the holders."""

    def __init__(self, case: Case, seed: int, folder: Path) -> None:
        self.case, self.folder, self.loop = case, folder, VirtualLoop()
        most = max(case.at.count(name) for name in case.sets)
        shards = [(f"{name}-{n}", name) for n in range(most) for name in case.sets]
        self.values = {shard: f"{shard.lower()}.example.org" for shard, _ in shards}
        store = Store(3, list(self.values.values()))
        self.leaves = {name: Hanging(self.loop, name, store) for name in case.replicas}
        for leaf in self.leaves.values():
            leaf.kept = []
        self.broker: Broker | None = None
        self.only(set())
        config = config_values(roster="roster.yaml", broker={"seed": seed}, limits={"batch": case.batch})
        config["shards"]["map"] = [
            {"name": shard, "set": group, "values": [self.values[shard]]} for shard, group in shards
        ]
        floor = {"floor": case.floor} if case.floor else {}
        config["classes"] = [
            {"name": "fleet-glance", "target": "60s", "deadline": "120s", "need": case.share(), **floor,
             "when": [{"label": "__name__", "value": "fuel.*"}]},
            {"name": "hours-report", "target": "60s", "deadline": "120s"},
        ]  # fmt: skip
        self.broker = Broker(Config.model_validate(config), self.loop, folder)
        self.client = Client(self.loop, self.broker.url)
        self.asked = 0
        self.ends: list[str] = []
        self.newest: list[tuple[Hanging, Any]] = []

    def only(self, names: set[str]) -> None:
        holders = [
            {"name": name, "url": leaf.url, "phase": "ready" if name in names else "draining",
             "shards": [shard for shard in self.values if shard[0] == name[0]]}
            for name, leaf in self.leaves.items()
        ]  # fmt: skip
        with (self.folder / "roster.yaml").open("w") as file:
            YAML(typ="safe").dump({"holders": holders}, file)
        if self.broker is not None:
            self.broker.read_list(force=True)
            self.loop.turn(0)

    def query(self, kind: int, at: list[str]) -> Sent:
        self.asked += 1
        self.loop.at += MS
        before = {name: len(leaf.kept) for name, leaf in self.leaves.items()}
        seen: dict[str, int] = {}
        chosen = []
        for name in at:
            chosen.append(self.values[f"{name}-{seen.get(name, 0)}"])
            seen[name] = seen.get(name, 0) + 1
        metric = ("fleet-glance", "hours-report")[kind]
        request = read_request(metric, "|".join(one.replace(".", r"\.") for one in chosen))
        plan = QueryPlan(metric, [], encode(request), request, 120 * SECOND)
        name = f"q{self.asked}"
        self.client.ask(name, plan, lambda seen: self.ends.append(name))
        wanted = 1 if kind else self.case.need
        if self.case.floor:
            wanted = len(at)

        def came() -> bool:
            self.newest = [
                (leaf, job) for name, leaf in self.leaves.items() for job in leaf.kept[before[name] :]
            ]
            return sum(len(job.parts) for _, job in self.newest) >= wanted

        assert self.loop.run_until(came, 5), "its parts did not come"
        for _ in range(5):  # one more than needed would come now
            self.loop.turn(0)
        came()
        return [leaf.name for leaf, job in self.newest for _ in job.parts]

    def answered(self) -> int:
        count = 0
        for leaf, job in self.newest:
            leaf.answer(job)
            count += len(job.parts)
            for _ in range(20):
                self.loop.turn(0.001)
                if f"q{self.asked}" in self.ends:
                    return count
        return 0

    def close(self) -> None:
        assert self.broker is not None
        self.client.close()
        self.broker.close()
        for leaf in self.leaves.values():
            leaf.close()
        self.loop.close()


@runner("design")
def run(given: dict[str, Any]) -> dict[str, Any]:
    return dict(_run(json.dumps(given)))


@functools.cache
def _run(text: str) -> dict[str, Any]:
    case = Case(json.loads(text))
    pure: list[tuple[Sent, int]] = []
    for seed in range(SEEDS):
        for bench in (AtModule(case, seed), AtDriver(case, seed)):
            pure.append((case.play(bench), bench.answered()))
    found = [*pure]
    for seed in range(ON_SOCKETS):
        with tempfile.TemporaryDirectory() as folder:
            sockets = AtSockets(case, seed, Path(folder))
            found.append((case.play(sockets), sockets.answered()))
            sockets.close()
    outcomes = sorted({tuple(sent) for sent, _ in pure})
    strange = {tuple(sent) for sent, _ in found} - set(outcomes)
    assert not strange, f"a broker on sockets sends to {strange}, the others to {outcomes}"
    answered = {count for _, count in found}
    return {
        "sent": list(outcomes[0]) if len(outcomes) == 1 else None,
        "ties": [list(sent) for sent in outcomes],
        "answered": answered.pop() if len(answered) == 1 else None,
    }
