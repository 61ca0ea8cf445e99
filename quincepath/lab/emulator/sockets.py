"""An incident script over loopback: the same model in holder processes, real broker processes, clients here.

Queries are drawn as in virtual time, from the same sources. What the processes cannot be made to do from
outside (part of the kinds of trouble) is refused by name before anything is started.
"""

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import msgspec
from ruamel.yaml import YAML

from quincepath.fronts.remote_read.codec import encode
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest
from quincepath.lab.audit import Report, audit
from quincepath.lab.cluster import Cluster, HolderProcess, StartError
from quincepath.lab.emulator.chance import Source, draw_query
from quincepath.lab.emulator.script import Script, TroubleEntry
from quincepath.lab.load import Client, QueryPlan, Seen
from quincepath.lab.record import Bounds, ClassRules, Halt, Mark, Writer
from quincepath.net.loop import Loop
from quincepath.standins.data import END_MS, STEP_MS
from quincepath.standins.leaf import Faults

MS = 1_000_000
SECOND = 1000 * MS
SLACK = 300 * MS
ONE_STEP, TWO_STEPS, RECENT = 20, 60, 30  # minutes of time range
FAULTS: dict[str, Callable[[TroubleEntry], Faults]] = {
    "hang": lambda entry: Faults(fault="hang"),
    "slow": lambda entry: Faults(slow=entry.times),
    "slowdown": lambda entry: Faults(slow=entry.times),
    "errors": lambda entry: Faults(fault="errors", share=entry.share),
    "lost_answers": lambda entry: Faults(lose=entry.share),
    "preemption": lambda entry: Faults(steal=min(entry.share, 0.95)),
}
CLIENTS = {"burst", "impatience", "retry_storm"}
SUPPORTED = {*FAULTS, *CLIENTS, "kill", "restart", "drain", "pauses", "broker_stall"}
BROKER = [sys.executable, "-m", "quincepath", "--log-level", "error", "serve", "-c"]


class NotOnSockets(ValueError):
    """A kind of trouble that only virtual time has; the text names it."""


class SocketRun:
    """One run. ``play`` starts all processes, plays the day in real time, ends them and audits."""

    def __init__(self, script: Script, seed: int, folder: Path) -> None:
        unknown = sorted({entry.kind for entry in script.troubles} - SUPPORTED)
        if unknown:
            raise NotOnSockets(
                f"not on sockets: {', '.join(unknown)}; there are {', '.join(sorted(SUPPORTED))}"
            )
        self.script, self.seed, self.folder = script, seed, folder
        self.loop = Loop()
        self.writer = Writer(folder / "clients.jsonl", "clients")
        self.shards = script.fleet.sets * script.fleet.shards
        self.cluster = Cluster(self._holders(), folder / "roster.yaml", self.writer)
        self.by_name = {holder.name: holder for holder in self.cluster.holders}
        self.brokers: list[subprocess.Popen[str]] = []
        self.clients: list[Client] = []
        self.queries = Source(seed, "queries")
        self.chance = Source(seed, "clients")
        self.factor = self.hurry = 1.0
        self.storm = False
        self.asked = self.good = self.tries = self.open = 0
        self.fresh: set[str] = set()
        self.parts_asked = self.parts_got = 0

    def district(self, shard: int) -> str:
        """The label value of a shard."""
        return f"d{shard}.example.org"

    def _holders(self) -> list[HolderProcess]:
        fleet = self.script.fleet
        works = ",".join(f"class_{n}={entry.work / MS}" for n, entry in enumerate(self.script.classes))
        machine = fleet.kinds[0]
        options = [
            "--works",
            works,
            "--spread",
            str(self.script.classes[0].spread),
            "--cores",
            str(machine.cores),
            "--ramp-s",
            str(fleet.ramp / SECOND),
            "--tractors",
            "1",
            "--seed",
            str(self.seed),
            "--fall-multiple",
            str(self.script.rules.fall_multiple),
        ]
        found = []
        for s in range(fleet.sets):
            numbers = [s + k * fleet.sets for k in range(fleet.shards)]
            for r in range(fleet.replicas):
                name = f"s{s}r{r}"
                zone = fleet.zones[r % len(fleet.zones)]
                record = self.folder / f"holder-{name}.jsonl"
                districts = [self.district(n) for n in numbers]
                found.append(
                    HolderProcess(name, zone, [f"d{n}" for n in numbers], districts, options, record)
                )
        return found

    def _config(self, number: int) -> dict[str, Any]:
        fleet, rules, limits = self.script.fleet, self.script.rules, self.script.limits
        order = [s + k * fleet.sets for k in range(fleet.shards) for s in range(fleet.sets)]
        return {
            "broker": {
                "number": number,
                "brokers": self.script.brokers,
                "seed": self.seed * 1000 + number + 1,
                "zone": fleet.zones[number % len(fleet.zones)],
            },
            "shards": {
                "label": "district",
                "unlabelled": "nowhere",
                "map": [
                    {"name": f"d{n}", "set": f"s{n % fleet.sets}", "values": [self.district(n)]}
                    for n in order
                ],
            },
            "roster": "roster.yaml",
            "classes": [
                {
                    "name": entry.name,
                    "target": f"{entry.target}ns",
                    "deadline": f"{entry.deadline}ns",
                    "need": entry.need,
                    "floor": entry.need if entry.floor is None else entry.floor,
                    "late_worth": entry.late_worth,
                    "recent": f"{RECENT}m" if entry.second_step else 0,
                    "when": [{"label": "__name__", "value": f"class_{n}"}],
                }
                for n, entry in enumerate(self.script.classes)
            ],
            "limits": {
                "attempts": limits.attempts,
                "second_copies": limits.second_copies,
                "batch": limits.batch,
                "max_retry_after": f"{limits.max_retry_after}ns",
            },
            "rules": {
                "drain_grace": f"{rules.drain_grace}ns",
                "cold_share": fleet.cold,
                "ramp_time": f"{fleet.ramp}ns",
                "fall_multiple": rules.fall_multiple,
                "overload_for": f"{rules.overload_for}ns",
                "budget_window": f"{rules.budget_window}ns",
                "budget_free": rules.budget_free,
                "budget_ratio": rules.budget_ratio,
            },
        }

    def play(self) -> dict[str, Any]:
        """The figures of the day; ``report`` is the audit's."""
        try:
            self.cluster.start()
            self.cluster.write_roster({}, set())
            self._bounds()
            self._start_brokers()
            self._schedule()
            longest = self.script.length / SECOND + max(e.deadline for e in self.script.classes) / SECOND + 5
            self.loop.run_until(lambda: self._all_asked and not self.open, longest)
        finally:
            self._stop()
        report = audit(sorted(self.folder.glob("*.jsonl")))
        return self._figures(report)

    def _figures(self, report: Report) -> dict[str, Any]:
        return {
            "good": round(self.good / max(self.asked, 1), 4),
            "tries_a_query": round(self.tries / max(self.asked, 1), 4),
            "attempts_a_part": round(report.parts_got / max(self.parts_asked, 1), 4),
            "answers": report.ended,
            "findings": [str(finding) for finding in report.findings],
        }

    def _bounds(self) -> None:
        rules, limits = self.script.rules, self.script.limits
        for entry in self.script.classes:
            self.writer.write(
                ClassRules(entry.name, entry.need, entry.need if entry.floor is None else entry.floor)
            )
        self.writer.write(
            Bounds(
                limits.attempts,
                rules.drain_grace,
                100 * MS,
                rules.fall_multiple,
                rules.overload_for,
                self.script.fleet.ramp,
                0,
                0.0,
                0.0,
                self.script.brokers,
                SLACK,
            )
        )

    def _start_brokers(self) -> None:
        for number in range(self.script.brokers):
            path = self.folder / f"broker{number}.yaml"
            with path.open("w") as file:
                YAML(typ="safe").dump(self._config(number), file)
            with (self.folder / f"broker{number}.log").open("w") as log:
                process = subprocess.Popen(
                    [*BROKER, str(path)], stdout=subprocess.PIPE, stderr=log, text=True
                )
            self.brokers.append(process)
        for number, process in enumerate(self.brokers):
            assert process.stdout is not None
            line = process.stdout.readline()
            try:
                url = json.loads(line)["remote_read"]
            except (ValueError, KeyError):
                raise StartError(f"broker {number} said {line!r}, see its log in {self.folder}") from None
            self.clients.append(Client(self.loop, url, self.writer, number))

    def _stop(self) -> None:
        for client in self.clients:
            client.close()
        for process in self.brokers:
            process.terminate()
        for process in self.brokers:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self.cluster.stop()
        self.writer.close()
        self.loop.close()

    # --- clients ---

    def _schedule(self) -> None:
        draw = Source(self.seed, "arrivals").generator
        self.begin = self.loop.clock()
        at, times = float(100 * MS), []
        while True:
            at += float(draw.exponential(SECOND / self.script.traffic.rate))
            if at >= self.script.length:
                break
            times.append(self.begin + int(at))
        self.planned = len(times)
        self.arrived = 0
        for number, due in enumerate(times):
            self.loop.call_at(due, self._arrival(number))
        for entry in self.script.troubles:
            self.loop.call_at(self.begin + entry.at, self._trouble(entry))

    @property
    def _all_asked(self) -> bool:
        return self.arrived == self.planned

    def _arrival(self, number: int) -> Callable[[], None]:
        def arrive() -> None:
            self.arrived += 1
            for copy in range(max(round(self.factor), 1)):
                drawn = draw_query(self.queries, self.script.classes, self.shards)
                self.asked += 1
                self.open += 1
                self._try(f"c{number + copy * 10_000_000}", drawn.kind, drawn.shards, 0, self.loop.clock())

        return arrive

    def _plan(self, kind: int, shards: list[int], patience: int) -> QueryPlan:
        entry = self.script.classes[kind]
        request = ReadRequest()
        minutes = TWO_STEPS if entry.second_step else ONE_STEP
        query = request.queries.add(start_timestamp_ms=END_MS - minutes * STEP_MS, end_timestamp_ms=END_MS)
        query.matchers.add(type=LabelMatcher.EQ, name="__name__", value=f"class_{kind}")
        pattern = "|".join(self.district(n).replace(".", r"\.") for n in shards)
        query.matchers.add(type=LabelMatcher.RE, name="district", value=pattern)
        headers = {"X-Quincepath-Timeout": f"{patience}ns"}
        return QueryPlan(entry.name, shards, encode(request), request, patience, headers)

    def _try(self, name: str, kind: int, shards: list[int], tries: int, began: int) -> None:
        entry, traffic = self.script.classes[kind], self.script.traffic
        left = began + entry.deadline - self.loop.clock()
        if left <= 10 * MS:
            self.open -= 1
            return
        self.tries += 1
        share = self.chance.between(*traffic.patience) / self.hurry
        patience = max(min(int(entry.deadline * share), left), 1)
        client = self.clients[int(self.chance() * len(self.clients))]
        plan = self._plan(kind, shards, patience)
        if tries:
            plan.headers["Retry-Attempt"] = str(tries)

        def ended(seen: Seen) -> None:
            headers = seen.response.headers if seen.response else {}
            self.parts_asked += int(headers.get("quincepath-parts", "0/0").partition("/")[2])
            if seen.status == 200:
                whole = headers.get("quincepath-answer") == "whole"
                self.good += whole and self.loop.clock() <= began + entry.target
                self.open -= 1
                return
            if tries >= traffic.retries:
                self.open -= 1
                return
            wait = traffic.wait * 2**tries * self.chance.between(0.5, 1.5)
            if self.storm:
                wait = float(MS)
            elif self.chance() < traffic.honour:
                wait = max(wait, int(headers.get("quincepath-retry-after-ms", "0")) * MS)
            self.loop.call_in(int(wait), lambda: self._try(name, kind, shards, tries + 1, began))

        client.ask(f"{name}.{tries}", plan, ended)

    # --- troubles ---

    def _trouble(self, entry: TroubleEntry) -> Callable[[], None]:
        draw = Source(self.seed, f"trouble {self.script.troubles.index(entry)}")

        def go() -> None:
            names = list(self.by_name)
            chosen = names if entry.kind == "slowdown" else draw.pick(names, entry.holders)
            self.writer.write(Mark(time.monotonic_ns(), f"begins: {entry.kind}"))
            if entry.kind in CLIENTS:
                self._excite(entry.kind, entry.times)
                self.loop.call_in(entry.last, lambda: self._excite(entry.kind, 1 / entry.times, over=True))
                return
            if entry.kind == "broker_stall":
                for broker in draw.pick([f"broker{n}" for n in range(len(self.brokers))], entry.brokers):
                    self._stall(int(broker[6:]), entry.last)
                return
            for name in chosen:
                holder = self.by_name[name]
                if entry.kind == "pauses":
                    self._pause(holder, entry, draw)
                elif entry.kind in FAULTS:
                    self._control(holder, FAULTS[entry.kind](entry))
                    self.loop.call_in(entry.last, lambda h=holder: self._control(h, Faults()))  # type: ignore[misc]
                elif entry.kind == "drain":
                    holder.phase = "draining"
                    self._told(name, "draining")
                    self.loop.call_in(entry.last, lambda h=holder: self._undrain(h))  # type: ignore[misc]
                else:
                    holder.kill()
                    self.cluster.missing.add(name)
                    self._told(name, "gone")
                    self.loop.call_in(entry.last, lambda h=holder: self._restart(h))  # type: ignore[misc]

        return go

    def _excite(self, kind: str, times: float, over: bool = False) -> None:
        """Clients come in greater number, with less patience, or back at once; or no longer so."""
        if kind == "burst":
            self.factor *= times
        elif kind == "impatience":
            self.hurry *= times
        else:
            self.storm = not over

    def _stall(self, number: int, last: int) -> None:
        """Stop a broker's process and let it go on; what it owed meanwhile is excused by this line."""
        process, now = self.brokers[number], time.monotonic_ns()
        self.writer.write(Halt(now, number, now + last, False))
        process.send_signal(signal.SIGSTOP)
        self.loop.call_in(last, lambda: process.send_signal(signal.SIGCONT))

    def _pause(self, holder: HolderProcess, entry: TroubleEntry, draw: Source) -> None:
        at, now = int(draw() * entry.every), self.loop.clock()
        while at < entry.last:
            self.loop.call_at(now + at, lambda: self._control(holder, Faults(paused=True)))
            self.loop.call_at(now + at + entry.pause, lambda: self._control(holder, Faults()))
            at += int(entry.every * draw.between(0.8, 1.2))

    def _undrain(self, holder: HolderProcess) -> None:
        holder.phase = "ready"
        self._told(holder.name, "ready")

    def _restart(self, holder: HolderProcess) -> None:
        holder.start(self.script.fleet.cold)
        self._look(holder)

    def _look(self, holder: HolderProcess) -> None:
        if not holder.ready():
            self.loop.call_in(20 * MS, lambda: self._look(holder))
            return
        holder.wait()
        self.cluster.missing.discard(holder.name)
        self.fresh.add(holder.name)
        self._told(holder.name, "ready")

    def _told(self, name: str, phase: str) -> None:
        low, high = self.script.discovery.lag
        self.loop.call_in((low + high) // 2, lambda: self.cluster.write_roster({name: phase}, self.fresh))

    @staticmethod
    def _control(holder: HolderProcess, faults: Faults) -> None:
        if holder.process is None:
            return
        line = HTTPConnection("127.0.0.1", holder.port, timeout=2)
        try:
            line.request("POST", "/control", msgspec.json.encode(faults))
            line.getresponse().read()
        finally:
            line.close()
