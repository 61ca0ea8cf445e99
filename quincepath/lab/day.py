"""A scripted day: holder and broker processes on loopback, clients, scheduled faults, and an audit.

The roster that the broker reads lags behind the real state, and contains only whether a process runs and
whether it drains, as the endpoint lists of production fleets do.
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

SLACK_NS = 300_000_000  # for transit and scheduling on a busy machine
DRAIN_TIME_S = 8.0  # for the last answers after the last query
MS = 1_000_000


class LeafEntry(Model):
    """Properties of the holders."""

    work: Duration = 8 * MS
    cores: int = Field(2, ge=1)
    cold: Share = 0.2
    ramp: Duration = 6 * SECOND


class Trouble(Model):
    """A fault at one holder from ``at`` for ``last``; a killed holder restarts cold at its end."""

    at: Duration
    holder: str
    last: Duration = 5 * SECOND
    kind: Literal["hang", "silence", "errors", "full", "reset", "cut", "trickle", "corrupt", "miscount",
                  "oversize", "late", "slow", "kill", "drain"]  # fmt: skip
    share: Share = 1.0
    times: float = Field(6.0, ge=1)


class DayScript(Model):
    """A day. ``rate`` is in queries per second; ``lag`` is the delay of the roster."""

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
                raise ValueError(f"troubles[{place}] starts after the end of the day")
        return self


@dataclass(slots=True, frozen=True)
class DayResult:
    """Result of a day. ``good`` is the share of queries answered whole within the target."""

    report: Report
    good: float
    asked: int
    outcomes: dict[str, int]
    record: Path

    def summary(self) -> str:
        """A summary of a few lines."""
        counts = ", ".join(f"{count} {kind}" for kind, count in self.outcomes.items())
        verdict = f"{len(self.report.findings)} findings" if self.report.findings else "no rule broken"
        return f"{self.asked} queries: {counts}\nwhole within the target: {self.good:.3f}\naudit: {verdict}"


BROKER = [*PROGRAM, "--log-level", "warning", "serve", "-c"]


class _DayRun:
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
        self.restarted: set[str] = set()  # holders whose start time is in the roster
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
            raise ValueError(
                f"unknown holder {', '.join(sorted(unknown))}; known are {', '.join(self.by_name)}"
            )
        config = self.config()
        self.bounds(config)
        try:
            self.cluster.start()
            self.cluster.write_roster({}, set())
            client = Client(self.loop, self.start_broker(), self.writer)
            self.schedule(config, client)
            end = int(self.script.length / 1e9) + DRAIN_TIME_S
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
                rules.budget_ratio, 1, SLACK_NS,
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
            def run_step() -> None:
                self.asked += 1
                client.ask(name, source.next(), lambda seen: self.ended(seen, targets))

            return run_step

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

    # --- faults ---

    def call_later(self, wait: int, call: Callable[[], None]) -> None:
        self.loop.call_in(wait, call)

    def begin(self, trouble: Trouble) -> Callable[[], None]:
        holder = self.by_name[trouble.holder]

        def run_step() -> None:
            self.mark(f"{trouble.kind} {holder.name}")
            if trouble.kind == "kill":
                holder.kill()
                self.call_later(self.script.lag, lambda: self.unlist_lost(holder))
                self.call_later(trouble.last, lambda: self.restart(holder))
            elif trouble.kind == "drain":
                holder.phase = "draining"
                self.call_later(self.script.lag, lambda: self.publish({holder.name: "draining"}))
                self.call_later(trouble.last, lambda: self.undrain(holder))
            else:
                slow = trouble.kind == "slow"
                fault = "none" if slow else trouble.kind
                self.control(holder, Faults(fault, trouble.share, trouble.times if slow else 1.0))
                self.call_later(trouble.last, lambda: self.control(holder, Faults()))

        return run_step

    def mark(self, what: str) -> None:
        self.writer.write(Mark(time.monotonic_ns(), what))

    def control(self, holder: HolderProcess, faults: Faults) -> None:
        """Inject faults. Blocks the loop for about 1 ms: a live holder answers a control call at once."""
        if holder.process is None:
            return
        line = HTTPConnection("127.0.0.1", holder.port, timeout=2)
        try:
            line.request("POST", "/control", msgspec.json.encode(faults))
            if line.getresponse().status != 200:
                raise RuntimeError(f"holder {holder.name} refused the fault {faults}")
        finally:
            line.close()

    def publish(self, changes: dict[str, str]) -> None:
        self.cluster.write_roster(changes, self.restarted)

    def unlist_lost(self, holder: HolderProcess) -> None:
        if holder.process is None or holder.name in self.starting:
            self.cluster.unlisted.add(holder.name)
            self.publish({holder.name: "gone"})

    def restart(self, holder: HolderProcess) -> None:
        """Restart a holder cold on its port; it is polled until it is ready."""
        holder.launch(self.script.leaf.cold)
        self.starting[holder.name] = holder
        self.poll_ready(holder)

    def poll_ready(self, holder: HolderProcess) -> None:
        if not holder.ready():
            self.call_later(20 * MS, lambda: self.poll_ready(holder))
            return
        holder.wait()
        del self.starting[holder.name]
        self.mark(f"back {holder.name}")
        self.call_later(self.script.lag, lambda: self.list_restarted(holder))

    def list_restarted(self, holder: HolderProcess) -> None:
        self.cluster.unlisted.discard(holder.name)
        self.restarted.add(holder.name)
        self.publish({holder.name: "ready"})

    def undrain(self, holder: HolderProcess) -> None:
        holder.phase = "ready"
        self.mark(f"drained {holder.name} serves again")
        self.call_later(self.script.lag, lambda: self.publish({holder.name: "ready"}))


def run_day(
    script: DayScript, record: Path | None = None, seed: int | None = None, broker: list[str] | None = None
) -> DayResult:
    """Run a day and audit it. ``record`` must be new or empty; by default a temporary folder is used.

    ``broker`` is the command that starts a broker, to which the configuration file is appended; it is for
    runs of a baseline.
    """
    chosen = script.seed if seed is None else seed
    command = broker or BROKER
    if record is not None:
        record.mkdir(parents=True, exist_ok=True)
        if any(record.iterdir()):
            raise ValueError(f"{record} is not empty: a folder holds the records of one day")
        return _DayRun(script, record, chosen, command).run()
    with tempfile.TemporaryDirectory(prefix="quincepath-day-") as folder:
        return _DayRun(script, Path(folder), chosen, command).run()


__all__ = ["DayResult", "DayScript", "Trouble", "run_day"]
