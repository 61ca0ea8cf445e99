"""Versions of the shard map as an extension: a query holds its plan's version until its merge is done."""

from collections.abc import Mapping
from functools import partial
from typing import Any

from prometheus_client import CollectorRegistry, Gauge

from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.driver import OpenPart
from quincepath.broker.service.extension import Arrival, Extension
from quincepath.fleet.adoption import Step
from quincepath.fleet.forecast import Part
from quincepath.fleet.topology import MapAdoption
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan, Planner
from quincepath.interface import Result
from quincepath.limits.gate import Rejection
from quincepath.orders import AttemptEnded, Finish, Verdict
from quincepath.shards.shardmap import ShardMap
from quincepath.shards.versions import MapVersion

NOT_READY_RETRY_NS = 1_000_000_000  # retry advice to queries that arrive before the shard map is ready


class ShardMapExtension(Extension):
    """Stages shard maps for the planner; rejects queries until this broker knows which version is in use."""

    def __init__(self, maps: MapAdoption, planner: Planner, log: Any, registry: CollectorRegistry) -> None:
        self.maps, self.planner, self.log = maps, planner, log
        self.cells = planner.map.cells
        self._built: dict[int, ShardMap] = {}
        self._held: dict[int, int] = {}
        self._tenant = ""
        self._tenants: dict[int, str] = {}
        # Duration of the used attempt of step 1, by ask and shard.
        self._attempt_ns: dict[int, dict[int, int]] = {}
        maps.hooks.stage = self._stage
        maps.hooks.on_use = self._on_use
        version = Gauge(
            "quincepath_fleet_map_version", "Version of the shard map that queries begin by; 0: none yet",
            registry=registry,
        )  # fmt: skip
        version.set_function(lambda: maps.follower.usage()[0])
        older = Gauge(
            "quincepath_fleet_map_older_queries", "Queries that hold an older version", registry=registry
        )
        older.set_function(lambda: maps.follower.usage()[1])
        step = Gauge("quincepath_fleet_map_step", "1 at the step of the change", ["step"], registry=registry)
        for known_step in Step:
            step.labels(known_step.value).set_function(partial(self._is_at_step, known_step))

    def _is_at_step(self, step: Step) -> int:
        return int(self.maps.topology.step is step)

    def _stage(self, version: MapVersion) -> bool:
        """Build the map; False, with a log line, if its replica sets are not those of this broker."""
        try:
            built = version.to_shard_map(self.cells)
        except ValueError as error:
            self.log.warning("fleet: shard map cannot be staged", version=version.number, cause=str(error))
            return False
        known = self.maps.topology.maps
        self._built = {number: shard_map for number, shard_map in self._built.items() if number in known}
        self._built[version.number] = built
        return True

    def _on_use(self, version: MapVersion) -> None:
        built = self._built.get(version.number)
        self.planner.use(version.to_shard_map(self.cells) if built is None else built, version.number)

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        """Reject queries until the shard map in use is known and staged."""
        if not self.maps.follower.accepts_queries:
            return Rejection("shard map not read or not staged", NOT_READY_RETRY_NS)
        self._tenant = arrival.attempt.scope
        return None

    def on_ask_begun(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        """Hold the version: this is the turn in which the plan was made, so that both have the same one."""
        version = self.maps.follower.hold(ask)
        if version is not None:
            self._held[ask] = version.number
            self._tenants[ask] = self._tenant

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        """Keep the duration of a successful attempt of the first step."""
        ask = part.query.ask.handle
        if item.result is Result.OK and part.step == 1 and ask in self._held:
            self._attempt_ns.setdefault(ask, {})[part.ask.shard] = now - part.attempts[item.attempt].sent

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        """Sample the footprint of an answered query and release its version."""
        held = self._held.pop(ended.ask, None)
        tenant, durations = self._tenants.pop(ended.ask, ""), self._attempt_ns.pop(ended.ask, {})
        if held is None:
            return
        if held != ended.context.version:
            self.log.error(
                "fleet: a query holds another shard map version than that of its plan", query=ended.name,
                held=held, cut_by=ended.context.version,
            )  # fmt: skip
        finish, plan = ended.finish, ended.context
        if finish is not None and finish.verdict is Verdict.ANSWERED and held == self.maps.samples.version:
            parts = _parts(finish, plan, durations)
            self.maps.samples.add(
                ended.ask, self.maps.wall_ns(), plan.entry.name, tenant, plan.entry.target, finish.took,
                parts, plan.accepts,
            )  # fmt: skip
        self.maps.release(ended.ask)


def _parts(finish: Finish, plan: Plan, durations: Mapping[int, int]) -> tuple[Part, ...]:
    """What each part touched and cost. Holders do not report their work, so that the duration of the attempt
    stands for it; for a part without one, the mean of the other parts does.
    """
    calls: dict[int, int] = {}
    merged: dict[int, int] = {}
    for _step, shard, body in finish.bodies:
        calls[shard] = calls.get(shard, 0) + 1
        size = sum(series.ByteSize() for _index, series_list in body for series in series_list)
        merged[shard] = merged.get(shard, 0) + size
    mean = sum(durations.values()) // max(1, len(durations))
    return tuple(
        Part(
            values,
            calls.get(shard, 1),
            durations.get(shard, mean),
            durations.get(shard, mean),
            merged.get(shard, 0),
        )
        for shard, values in plan.touched
    )
