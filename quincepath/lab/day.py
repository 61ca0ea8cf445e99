"""A scripted day: holders, a broker and clients as processes on loopback, troubles at stated times, an audit.

The roster that the broker reads follows the truth with a lag, and knows only whether a process runs and
whether it drains, like the lists of the users' own fleets.
"""

import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path
from typing import Literal

import msgspec
import numpy as np
from pydantic import Field, model_validator
from ruamel.yaml import YAML

from quincepath.config.schema import SECOND, Config, Model
from quincepath.config.values import Duration, Share
from quincepath.lab.audit import Report, audit
from quincepath.lab.cluster import Cluster, HolderProcess
from quincepath.lab.demo import DISTRICTS, demo_config, make_cluster
from quincepath.lab.load import Client, QueryResult, QuerySource
from quincepath.lab.process import PROGRAM, ChildProcess
from quincepath.net.loop import Loop
from quincepath.shards.shardmap import ShardMap
from quincepath.standins.leaf import Faults
from quincepath.standins.record import Bounds, ClassRules, Mark, Writer

SLACK = 300_000_000  # ns for transit and scheduling on a busy machine
DRAIN_TIME = 8.0  # seconds after the last query for the last answers
MS = 1_000_000


class LeafEntry(Model):
    """What the holders of the day are like."""

    work: Duration = 8 * MS
    cores: int = Field(2, ge=1)
    cold: Share = 0.2
    ramp: Duration = 6 * SECOND


class Trouble(Model):
    """One trouble at one holder, from ``at`` on, ``last`` long; a killed one is back, cold, then."""

    at: Duration
    holder: str
    last: Duration = 5 * SECOND
    kind: Literal["hang", "silence", "errors", "full", "reset", "cut", "trickle", "corrupt", "miscount",
                  "oversize", "late", "slow", "kill", "drain"]  # fmt: skip
    share: Share = 1.0
    times: float = Field(6.0, ge=1)


class DayScript(Model):
    """A day. ``rate`` is queries a second, ``lag`` how far the roster runs behind."""

    about: str = ""
    seed: int = 1
    length: Duration = 20 * SECOND
    rate: float = Field(30.0, gt=0, le=2000)
    lag: Duration = 500 * MS
    leaf: LeafEntry = LeafEntry()
    troubles: list[Trouble] = []

    @model_validator(mode="after")
    def _sound(self) -> "DayScript":
        for place, trouble in enumerate(self.troubles):
            if trouble.at > self.length:
                raise ValueError(f"troubles[{place}] begins after the day's end")
        return self


@dataclass(slots=True, frozen=True)
class DayResult:
    """What came of a day. ``good`` is the share of queries answered whole within the target."""

    report: Report
    good: float
    asked: int
    outcomes: dict[str, int]
    record: Path

    def summary(self) -> str:
        """A few lines for people."""
        said = ", ".join(f"{count} {kind}" for kind, count in self.outcomes.items())
        verdict = f"{len(self.report.findings)} findings" if self.report.findings else "no rule broken"
        return f"{self.asked} queries: {said}\nwhole within the target: {self.good:.3f}\naudit: {verdict}"


BROKER = [*PROGRAM, "--log-level", "warning", "serve", "-c"]


class _Day:
    def __init__(self, script: DayScript, folder: Path, seed: int, broker: list[str]) -> None:
        self.script, self.folder, self.seed = script, folder, seed
        self.loop = Loop()
        self.writer = Writer(folder / "clients.jsonl", "clients")
        leaf = script.leaf
        options = [
            "--work-ms", str(leaf.work / MS), "--cores", str(leaf.cores), "--ramp-s", str(leaf.ramp / SECOND),
        ]  # fmt: skip
        self.cluster: Cluster = make_cluster(seed, options, folder, folder / "roster.yaml")
        self.cluster.record = self.writer
        self.by_name = {holder.name: holder for holder in self.cluster.holders}
        self.fresh: set[str] = set()  # holders whose start the roster knows
        self.broker = ChildProcess("the broker", folder / "broker.log", broker)
        self.outcomes: Counter[str] = Counter()
        self.good = 0
        self.starting: dict[str, HolderProcess] = {}

    def config(self) -> Config:
        rules = {"cold_share": self.script.leaf.cold, "ramp_time": f"{self.script.leaf.ramp}ns"}
        values = demo_config(0, roster="roster.yaml")
        values["rules"] = values["rules"] | rules
        with (self.folder / "broker.yaml").open("w") as file:
            YAML(typ="safe").dump(values, file)
        return Config.model_validate(values)

    def run(self) -> DayResult:
        unknown = {trouble.holder for trouble in self.script.troubles} - set(self.by_name)
        if unknown:
            raise ValueError(f"no holder {', '.join(sorted(unknown))}; there are {', '.join(self.by_name)}")
        config = self.config()
        self.bounds(config)
        try:
            self.cluster.start()
            self.cluster.write_roster({}, set())
            client = Client(self.loop, self.start_broker(), self.writer)
            self.schedule(config, client)
            end = int(self.script.length / 1e9) + DRAIN_TIME
            self.loop.run_until(lambda: self.all_asked and not client.open, end)
            client.close()
        finally:
            self.broker.stop()
            self.cluster.stop()
            self.writer.close()
            self.loop.close()
        report = audit(self.folder.glob("*.jsonl"))
        asked = sum(self.outcomes.values())
        outcomes = dict(sorted(self.outcomes.items()))
        return DayResult(report, self.good / max(asked, 1), asked, outcomes, self.folder)

    def bounds(self, config: Config) -> None:
        rules = config.rules
        for entry in config.classes:
            floor = entry.need if entry.floor is None else entry.floor
            self.writer.write(ClassRules(entry.name, entry.need, floor))
        self.writer.write(
            Bounds(
                config.limits.attempts, rules.drain_grace, config.roster_poll, rules.fall_multiple,
                rules.overload_for, rules.ramp_time, rules.budget_window, rules.budget_free,
                rules.budget_ratio, 1, SLACK,
            )
        )  # fmt: skip

    def start_broker(self) -> str:
        self.broker.start([str(self.folder / "broker.yaml")])
        return str(self.broker.startup_value("remote_read"))

    def schedule(self, config: Config, client: Client) -> None:
        script = self.script
        targets = {entry.name: entry.target for entry in config.classes}
        patience = {entry.name: entry.deadline for entry in config.classes}
        shard_map = ShardMap(
            config.shards.label, [(e.name, e.set or e.name, e.values) for e in config.shards.map], False
        )
        numbers = {shard.name: shard.number for shard in shard_map.shards}
        districts = {value: numbers[name] for name, (_, values) in DISTRICTS.items() for value in values}
        source = QuerySource(self.seed, districts, patience)
        gaps = np.random.default_rng([self.seed, 1]).exponential(1 / script.rate, 200_000)
        begin = time.monotonic_ns()
        times = [t for t in begin + (np.cumsum(gaps) * 1e9).astype(int) if t < begin + script.length]
        self.asked, self.total = 0, len(times)

        def ask(name: str) -> Callable[[], None]:
            def go() -> None:
                self.asked += 1
                client.ask(name, source.next(), lambda seen: self.ended(seen, targets))

            return go

        for number, at in enumerate(times):
            self.loop.call_at(int(at), ask(f"d{number}"))
        for trouble in script.troubles:
            self.loop.call_at(begin + trouble.at, self.begin(trouble))

    @property
    def all_asked(self) -> bool:
        return self.asked == self.total

    def ended(self, seen: QueryResult, targets: dict[str, int]) -> None:
        mark = seen.response.headers.get("quincepath-answer", "") if seen.response else ""
        kind = mark or {503: "refused", 502: "failed", 504: "failed", 0: "lost", -1: "none"}.get(
            seen.status, f"status {seen.status}"
        )
        self.outcomes[kind] += 1
        self.good += mark == "whole" and seen.took <= targets[seen.plan.kind]

    # --- troubles ---

    def later(self, wait: int, call: Callable[[], None]) -> None:
        self.loop.call_in(wait, call)

    def begin(self, trouble: Trouble) -> Callable[[], None]:
        holder = self.by_name[trouble.holder]

        def go() -> None:
            self.mark(f"{trouble.kind} {holder.name}")
            if trouble.kind == "kill":
                holder.kill()
                self.later(self.script.lag, lambda: self.lost(holder))
                self.later(trouble.last, lambda: self.back(holder))
            elif trouble.kind == "drain":
                holder.phase = "draining"
                self.later(self.script.lag, lambda: self.publish({holder.name: "draining"}))
                self.later(trouble.last, lambda: self.undrain(holder))
            else:
                slow = trouble.kind == "slow"
                fault = "none" if slow else trouble.kind
                self.control(holder, Faults(fault, trouble.share, trouble.times if slow else 1.0))
                self.later(trouble.last, lambda: self.control(holder, Faults()))

        return go

    def mark(self, what: str) -> None:
        self.writer.write(Mark(time.monotonic_ns(), what))

    def control(self, holder: HolderProcess, faults: Faults) -> None:
        """Off the loop for about a millisecond: a control call to a live holder answers at once."""
        if holder.process is None:
            return
        line = HTTPConnection("127.0.0.1", holder.port, timeout=2)
        try:
            line.request("POST", "/control", msgspec.json.encode(faults))
            if line.getresponse().status != 200:
                raise RuntimeError(f"holder {holder.name} refused the fault {faults}")
        finally:
            line.close()

    def publish(self, news: dict[str, str]) -> None:
        self.cluster.write_roster(news, self.fresh)

    def lost(self, holder: HolderProcess) -> None:
        if holder.process is None or holder.name in self.starting:
            self.cluster.missing.add(holder.name)
            self.publish({holder.name: "gone"})

    def back(self, holder: HolderProcess) -> None:
        """Start it again, on its port, cold; it takes a moment to come up and is looked at until it has."""
        holder.launch(self.script.leaf.cold)
        self.starting[holder.name] = holder
        self.look(holder)

    def look(self, holder: HolderProcess) -> None:
        if not holder.ready():
            self.later(20 * MS, lambda: self.look(holder))
            return
        holder.wait()
        del self.starting[holder.name]
        self.mark(f"back {holder.name}")
        self.later(self.script.lag, lambda: self.known(holder))

    def known(self, holder: HolderProcess) -> None:
        self.cluster.missing.discard(holder.name)
        self.fresh.add(holder.name)
        self.publish({holder.name: "ready"})

    def undrain(self, holder: HolderProcess) -> None:
        holder.phase = "ready"
        self.mark(f"drained {holder.name} serves again")
        self.later(self.script.lag, lambda: self.publish({holder.name: "ready"}))


def run_day(
    script: DayScript, record: Path | None = None, seed: int | None = None, broker: list[str] | None = None
) -> DayResult:
    """Run a day and audit it. ``record`` must be new or empty; without one a temporary folder is used.

    ``broker`` is the command that starts a broker, its configuration file appended: for baselines.
    """
    chosen = script.seed if seed is None else seed
    words = broker or BROKER
    if record is not None:
        record.mkdir(parents=True, exist_ok=True)
        if any(record.iterdir()):
            raise ValueError(f"{record} is not empty: records of two days must not mix")
        return _Day(script, record, chosen, words).run()
    with tempfile.TemporaryDirectory(prefix="quincepath-day-") as folder:
        return _Day(script, Path(folder), chosen, words).run()


__all__ = ["DayResult", "DayScript", "Trouble", "run_day"]
