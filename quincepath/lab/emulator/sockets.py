"""Runs an incident script over loopback: emulated holder processes, real broker processes, clients in here.

Queries are drawn as in virtual time, from the same random streams; troubles act on the processes
(``process_troubles``).
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

from quincepath.config.schema import AsksEntry
from quincepath.fronts.remote_read.codec import encode
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest
from quincepath.lab.audit import Report, audit
from quincepath.lab.cluster import Cluster, HolderProcess
from quincepath.lab.emulator.process_troubles import ProcessTroubleInjector
from quincepath.lab.emulator.processes import BrokerProcess, RosterFiles
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.workload import draw_machines, draw_query
from quincepath.lab.load import Client, QueryPlan, QueryResult
from quincepath.net.loop import Loop
from quincepath.standins.data import END_MS, STEP_MS
from quincepath.standins.leaf import HEAVY, INCIDENT, POISON
from quincepath.standins.random_streams import RandomStream
from quincepath.standins.record import Bounds, ClassRules, Mark, Writer, read

MS = 1_000_000
SECOND = 1000 * MS
AUDIT_SLACK_NS = 300 * MS
MAX_LATENESS_NS = SECOND  # further behind its schedule, a run is void
ONE_STEP_MINUTES, TWO_STEPS_MINUTES, RECENT_MINUTES = 20, 60, 30  # of time range


class SocketRun:
    """One run: starts all processes, runs the script in real time, stops them and audits the record."""

    def __init__(self, script: Script, seed: int, folder: Path) -> None:
        self.script, self.seed, self.folder = script, seed, folder
        self.loop = Loop()
        self.troubles: ProcessTroubleInjector | None = None
        self.writer = Writer(folder / "clients.jsonl", "clients")
        self.shards = script.fleet.sets * script.fleet.shards
        self.cluster = Cluster(self._holders())
        self.by_name = {holder.name: holder for holder in self.cluster.holders}
        zones = script.fleet.zones
        self.brokers = [BrokerProcess(n, zones[n % len(zones)], folder) for n in range(script.brokers)]
        self.roster_files: RosterFiles
        self.clients: list[Client] = []
        self.query_draws = RandomStream(seed, "queries")
        self.client_draws = RandomStream(seed, "clients")
        self.burst_draws = RandomStream(seed, "burst")
        self.tell_draws = RandomStream(seed, "tell")
        self.heavy_factors: dict[int, tuple[float, float]] = {}  # by class: share of queries, factor of work
        self.poison_shares: dict[int, float] = {}  # by class: share of queries
        self.heavy_draws, self.poison_draws = RandomStream(seed, "heavy"), RandomStream(seed, "poison")
        self.unreachable_tries = 0
        self.all_ended = False  # whether all queries had ended when the run did
        self.max_lateness = 0  # ns by which this process was behind its schedule
        self.rate_factor = self.patience_divisor = 1.0
        self.immediate_retries = False
        self.asked = self.good = self.tries = self.open_queries = 0
        self.restarted: set[str] = set()

    def district(self, shard: int) -> str:
        """Label value of a shard."""
        return f"d{shard}.example.org"

    def _holders(self) -> list[HolderProcess]:
        fleet = self.script.fleet
        works = ",".join(f"class_{n}={entry.work / MS}" for n, entry in enumerate(self.script.classes))
        kinds = draw_machines(fleet, RandomStream(self.seed, "kinds"))
        options = [
            "--works",
            works,
            "--spread",
            str(self.script.classes[0].spread),
            "--room",
            str(fleet.room),
            "--ramp-s",
            str(fleet.ramp / SECOND),
            "--tractors",
            "1",
            "--seed",
            str(self.seed),
            "--fall-multiple",
            str(self.script.rules.fall_multiple),
        ]
        holders = []
        for s in range(fleet.sets):
            numbers = [s + k * fleet.sets for k in range(fleet.shards)]
            for r in range(fleet.replicas):
                name = f"s{s}r{r}"
                zone = fleet.zones[r % len(fleet.zones)]
                record = self.folder / f"holder-{name}.jsonl"
                districts = [self.district(n) for n in numbers]
                machine = ["--cores", str(kinds[name].cores), "--speed", str(kinds[name].speed)]
                shards = [f"d{n}" for n in numbers]
                holders.append(HolderProcess(name, zone, shards, districts, [*options, *machine], record))
        return holders

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
            "roster": f"roster{number}.yaml",
            "classes": [
                {
                    "name": entry.name,
                    "target": f"{entry.target}ns",
                    "deadline": f"{entry.deadline}ns",
                    "need": entry.need,
                    "floor": entry.need if entry.floor is None else entry.floor,
                    "late_worth": entry.late_worth,
                    "worth": entry.worth,
                    "recent": f"{RECENT_MINUTES}m" if entry.second_step else 0,
                    "when": [{"label": "__name__", "value": f"class_{n}"}],
                }
                for n, entry in enumerate(self.script.classes)
            ],
            "asks": _asks_settings(self.script.asks),
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

    def run(self) -> dict[str, Any]:
        """Run the script and return its figures."""
        try:
            self.cluster.start()
            names, lag = list(self.by_name), RandomStream(self.seed, "list")
            low, high = self.script.discovery.lag
            self.roster_files = RosterFiles(
                self.loop,
                self.brokers,
                self._actual_entry,
                names,
                lambda: lag.between(low, high),
                self.writer,
            )
            self._write_bounds()
            self._start_brokers()
            self._schedule()
            timeout_s = (
                self.script.length / SECOND + max(e.deadline for e in self.script.classes) / SECOND + 5
            )
            self.all_ended = self.loop.run_until(
                lambda: self._all_arrived and not self.open_queries, timeout_s
            )
        finally:
            self._stop()
        records = sorted(self.folder.glob("*.jsonl"))
        marks = Counter(line.what for path in records for _, line in read(path) if isinstance(line, Mark))
        return self._figures(audit(records), sorted(mark for mark in marks if "fell over" in mark))

    def _actual_entry(self, name: str) -> dict[str, Any] | None:
        """Current roster entry of a holder; None if it is gone."""
        troubles = self.troubles
        if troubles is not None and name in troubles.down:
            return None
        entries = self.cluster.entries(self.restarted)
        return next(entry for entry in entries if entry["name"] == name)

    def _figures(self, report: Report, fell: list[str]) -> dict[str, Any]:
        return {
            "good": round(self.good / max(self.asked, 1), 4),
            "tries_a_query": round(self.tries / max(self.asked, 1), 4),
            "attempts_a_part": round(report.attempts_per_part(), 4),
            "answers": report.outcomes,
            "unreachable": self.unreachable_tries,
            "late_most_s": round(self.max_lateness / SECOND, 3),
            # Rules are audited by the times that clients saw: a machine that cannot keep up proves nothing.
            "void": not self.all_ended or self.max_lateness > MAX_LATENESS_NS,
            "fell": fell,
            "findings": [str(finding) for finding in report.findings],
        }

    def _write_bounds(self) -> None:
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
                AUDIT_SLACK_NS,
                self.script.asks.linger,
            )
        )

    def _start_brokers(self) -> None:
        for broker in self.brokers:
            with broker.config.open("w") as file:
                YAML(typ="safe").dump(self._config(broker.number), file)
            broker.launch()
        for broker in self.brokers:
            broker.wait()
            self.clients.append(Client(self.loop, broker.url, self.writer, broker.number))

    def _stop(self) -> None:
        for client in self.clients:
            client.close()
        for broker in self.brokers:
            if self.troubles is not None:
                self.troubles.record_downtime(broker.number)
            broker.stop()
        self.cluster.stop()
        self.writer.close()
        self.loop.close()

    # --- clients ---

    def _schedule(self) -> None:
        draw = RandomStream(self.seed, "arrivals").generator
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
            self.loop.call_at(due, self._arrival(number, due))
        self.troubles = ProcessTroubleInjector(self)

    @property
    def _all_arrived(self) -> bool:
        return self.arrived == self.planned

    def _arrival(self, number: int, due: int) -> Callable[[], None]:
        def arrive() -> None:
            self.arrived += 1
            self.max_lateness = max(self.max_lateness, self.loop.clock() - due)
            self._new_client(number)
            extra, copy = self.rate_factor - 1, 0
            while extra > 0 and (extra >= 1 or self.burst_draws() < extra):
                copy += 1
                self._new_client(number + copy * 10_000_000)
                extra -= 1

        return arrive

    def _new_client(self, number: int) -> None:
        drawn = draw_query(self.query_draws, self.script.classes, self.shards)
        incident = ""
        share, times = self.heavy_factors.get(drawn.kind, (0.0, 1.0))
        if share and self.heavy_draws() < share:
            incident = f"{HEAVY}{times}"
        if self.poison_shares.get(drawn.kind) and self.poison_draws() < self.poison_shares[drawn.kind]:
            incident = POISON
        self.asked += 1
        self.open_queries += 1
        self._try(f"c{number}", drawn.kind, drawn.shards, incident, 0, self.loop.clock())

    def _plan(self, kind: int, shards: list[int], incident: str, patience: int) -> QueryPlan:
        entry = self.script.classes[kind]
        request = ReadRequest()
        minutes = TWO_STEPS_MINUTES if entry.second_step else ONE_STEP_MINUTES
        query = request.queries.add(start_timestamp_ms=END_MS - minutes * STEP_MS, end_timestamp_ms=END_MS)
        query.matchers.add(type=LabelMatcher.EQ, name="__name__", value=f"class_{kind}")
        pattern = "|".join(self.district(n).replace(".", r"\.") for n in shards)
        query.matchers.add(type=LabelMatcher.RE, name="district", value=pattern)
        if incident:  # matches all series: none has this label
            query.matchers.add(type=LabelMatcher.NEQ, name=INCIDENT, value=incident)
        headers = {"X-Quincepath-Timeout": f"{patience}ns"}
        return QueryPlan(entry.name, shards, encode(request), request, patience, headers)

    def _try(
        self, name: str, kind: int, shards: list[int], incident: str, tries: int, started_at: int
    ) -> None:
        entry, traffic = self.script.classes[kind], self.script.traffic
        left = started_at + entry.deadline - self.loop.clock()
        if left <= 10 * MS:
            self.open_queries -= 1
            return
        alive = [client for client, broker in zip(self.clients, self.brokers, strict=True) if broker.alive]
        if not alive:  # connection refused everywhere: the client retries by itself
            self.unreachable_tries += 1
            if tries >= traffic.retries:
                self.open_queries -= 1
                return
            wait = traffic.wait * 2**tries
            self.loop.call_in(wait, lambda: self._try(name, kind, shards, incident, tries + 1, started_at))
            return
        self.tries += 1
        share = self.client_draws.between(*traffic.patience) / self.patience_divisor
        patience = max(min(int(entry.deadline * share), left), 1)
        sends_timeout = traffic.tell >= 1 or self.tell_draws() < traffic.tell
        client = alive[int(self.client_draws() * len(alive))]
        plan = self._plan(kind, shards, incident, patience)
        if not sends_timeout:
            del plan.headers["X-Quincepath-Timeout"]
            plan = replace(plan, stated_timeout=entry.deadline)
        if traffic.marks:
            plan.headers["Idempotency-Key"] = name
        if traffic.desks > 1:
            plan.headers["X-Scope-OrgID"] = f"desk{int(name[1:]) % traffic.desks}"
        if tries:
            plan.headers["Retry-Attempt"] = str(tries)

        def ended(result: QueryResult) -> None:
            headers = result.response.headers if result.response else {}
            if result.status == 200:
                whole = headers.get("quincepath-answer") == "whole"
                self.good += whole and self.loop.clock() <= started_at + entry.target
                self.open_queries -= 1
                return
            if tries >= traffic.retries:
                self.open_queries -= 1
                return
            wait = traffic.wait * 2**tries * self.client_draws.between(0.5, 1.5)
            if self.immediate_retries:
                wait = float(MS)
            elif self.client_draws() < traffic.honour:
                wait = max(wait, int(headers.get("quincepath-retry-after-ms", "0")) * MS)
            self.loop.call_in(
                int(wait), lambda: self._try(name, kind, shards, incident, tries + 1, started_at)
            )

        client.ask(f"{name}.{tries}", plan, ended)


def _asks_settings(asks: AsksEntry) -> dict[str, Any]:
    """The entry as it stands in a configuration file."""
    values = asks.model_dump()
    for name in ("remember", "linger", "unmarked_within"):
        values[name] = f"{values[name]}ns"
    return {**values, "most_bytes": f"{values['most_bytes']}B"}
