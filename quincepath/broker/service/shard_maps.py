"""Versions of the shard map as a extension: a query holds the one it was cut by until its merge is done."""

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

UNREAD = 1_000_000_000  # ns until a query that came too early is advised to come again


class ShardMapExtension(Extension):
    """Stages maps for the planner, and takes no query before this broker has read what is in use."""

    def __init__(self, maps: MapAdoption, planner: Planner, log: Any, registry: CollectorRegistry) -> None:
        self.maps, self.planner, self.log = maps, planner, log
        self.cells = planner.map.cells
        self._built: dict[int, ShardMap] = {}
        self._held: dict[int, int] = {}
        self._tenant = ""
        self._tenants: dict[int, str] = {}
        self._took: dict[int, dict[int, int]] = {}  # by ask and shard, ns of the first step's used attempt
        maps.hooks.stage = self._stage
        maps.hooks.on_use = self._use
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
        for one in Step:
            step.labels(one.value).set_function(partial(self._at, one))

    def _at(self, step: Step) -> int:
        return int(self.maps.topology.step is step)

    def _stage(self, version: MapVersion) -> bool:
        """Built and numbered; false, with a line, where its sets are not those of this broker."""
        try:
            built = version.to_shard_map(self.cells)
        except ValueError as error:
            self.log.warning("fleet: shard map cannot be staged", version=version.number, cause=str(error))
            return False
        known = self.maps.topology.maps
        self._built = {number: one for number, one in self._built.items() if number in known}
        self._built[version.number] = built
        return True

    def _use(self, version: MapVersion) -> None:
        found = self._built.get(version.number)
        self.planner.use(version.to_shard_map(self.cells) if found is None else found, version.number)

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        if not self.maps.follower.accepts_queries:
            return Rejection("shard map not read or not staged", UNREAD)
        self._tenant = arrival.attempt.scope
        return None

    def on_ask_begun(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        """In the same turn as its plan was made: the version is the same."""
        version = self.maps.follower.hold(ask)
        if version is not None:
            self._held[ask] = version.number
            self._tenants[ask] = self._tenant

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        ask = part.query.ask.handle
        if item.result is Result.OK and part.step == 1 and ask in self._held:
            self._took.setdefault(ask, {})[part.ask.shard] = now - part.attempts[item.attempt].sent

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        held = self._held.pop(ended.ask, None)
        tenant, took = self._tenants.pop(ended.ask, ""), self._took.pop(ended.ask, {})
        if held is None:
            return
        if held != ended.context.version:
            self.log.error(
                "fleet: a query held another version than it was cut by", query=ended.name, held=held,
                cut_by=ended.context.version,
            )  # fmt: skip
        finish, plan = ended.finish, ended.context
        if finish is not None and finish.verdict is Verdict.ANSWERED and held == self.maps.samples.version:
            parts = _parts(finish, plan, took)
            self.maps.samples.add(
                ended.ask, self.maps.wall_ns(), plan.entry.name, tenant, plan.entry.target, finish.took,
                parts, plan.accepts,
            )  # fmt: skip
        self.maps.release(ended.ask)


def _parts(finish: Finish, plan: Plan, took: Mapping[int, int]) -> tuple[Part, ...]:
    """Every part that was asked: what it touched and cost. What the holder worked is not told: its time
    stands for it, and for a part that nobody waited for the mean of the others.
    """
    calls: dict[int, int] = {}
    merged: dict[int, int] = {}
    for _step, shard, body in finish.bodies:
        calls[shard] = calls.get(shard, 0) + 1
        size = sum(series.ByteSize() for _index, found in body for series in found)
        merged[shard] = merged.get(shard, 0) + size
    mean = sum(took.values()) // max(1, len(took))
    return tuple(
        Part(values, calls.get(shard, 1), took.get(shard, mean), took.get(shard, mean), merged.get(shard, 0))
        for shard, values in plan.touched
    )
