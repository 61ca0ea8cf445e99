"""The front with map versions: plan, numbers and cells of a query stay those of its first version."""

from typing import Any

import pytest
from prometheus_client import CollectorRegistry
from structlog.testing import CapturingLogger

from quincepath.asks.registry import Try
from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.service.extension import Arrival
from quincepath.broker.service.shard_maps import ShardMapExtension
from quincepath.config.load import parse
from quincepath.config.schema import Config
from quincepath.fleet.adoption import AdoptMap, Map, ProposeMap, UseMap
from quincepath.fleet.consensus.entries import Entry
from quincepath.fleet.permits import Permits, encode
from quincepath.fleet.topology import AdoptionHooks, MapAdoption, configured_map
from quincepath.fronts.remote_read.plan import Plan, Planner
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, Query, ReadRequest
from quincepath.shards.shardmap import ShardMap
from quincepath.shards.versions import MapVersion
from tests.fleet.adoption.builders import digest, judged
from tests.fleet.adoption.test_wiring import ENTRY
from tests.test_config import VALID_CONFIG


class Front:
    """A planner and its extension on a log with one broker."""

    def __init__(self) -> None:
        self.config = parse(VALID_CONFIG.replace("[north.example.org]", "[n1, n2, n3]"), Config, "f.yaml")
        self.first = configured_map(self.config.shards)
        cells = {name: cell for cell, name in enumerate(self.config.shards.sets())}
        self.planner = Planner(self.config, self.first.to_shard_map(cells))
        self.log: Any = CapturingLogger()
        ports = AdoptionHooks(lambda: ("m0",), dict)
        self.maps = MapAdoption("m0", 1, self.first, ENTRY, Permits(), ports, self.log)
        self.registry = CollectorRegistry()
        self.extension = ShardMapExtension(self.maps, self.planner, self.log, self.registry)
        self.index = 0

    def shown(self, name: str, **labels: str) -> float | None:
        return self.registry.get_sample_value(f"quincepath_fleet_map_{name}", labels)

    def put(self, command: Any) -> str:
        self.index += 1
        self.maps.machine.apply(Entry(self.index, 1, encode(command)))
        self.maps.on_applied()
        return self.maps.machine.state.results[command.id]

    def adopt(self, entries: Any, number: int) -> None:
        found = Map(self.first.label, entries, self.first.unlabelled_anywhere)
        assert not self.put(ProposeMap(f"p{number}", "ann", 0, found, base=Map.of(self.first)))
        assert not self.put(AdoptMap(f"a{number}", "ann", 0, number, judged(found), ("m0",)))
        assert not self.put(UseMap(f"u{number}", "ann", 0, number, digest(found), ("m0",)))

    def split(self) -> list[Any]:
        """Each shard with several values is split into one shard per value in the same set."""
        entries: list[Any] = []
        for name, group, values in self.first.entries:
            cut = [(f"{name}.{value}", group, (value,)) for value in values]
            entries += cut if len(values) > 1 else [(name, group, values)]
        return entries

    def plan(self) -> Plan:
        query = Query(start_timestamp_ms=0, end_timestamp_ms=1000)
        query.matchers.add(type=LabelMatcher.EQ, name="__name__", value="rain")
        return self.planner.plan(ReadRequest(queries=[query]))


def ended(ask: int, plan: Plan) -> Any:
    return AskEnded(plan, "q", None, None, 1, ask)


def test_broker_rejects_queries_until_it_has_read_the_log() -> None:
    front = Front()
    rejection = front.extension.admit(0, Arrival(None, None, None))  # type: ignore[arg-type]
    assert rejection is not None and rejection.cause == "shard map not read or not staged"
    front.maps.on_log_read()
    assert front.extension.admit(0, Arrival(Try(1, "t", b"", 0, None, True, 0), None, None)) is None  # type: ignore[arg-type]


def test_query_keeps_the_version_it_was_planned_with() -> None:
    front = Front()
    front.maps.on_log_read()
    before = front.plan()
    front.extension.on_ask_begun(0, 1, {})
    front.adopt(front.split(), 2)
    after = front.plan()
    front.extension.on_ask_begun(0, 2, {})
    assert (before.version, after.version) == (1, 2)
    assert (len(before.parts), len(after.parts)) == (2, 4)
    assert front.maps.follower.usage() == (2, 1)
    assert (front.shown("version"), front.shown("older_queries")) == (2, 1)
    assert (front.shown("step", step="measuring"), front.shown("step", step="none")) == (1, 0)
    front.extension.on_ask_ended(0, ended(1, before))
    assert front.maps.follower.usage() == (2, 0)
    front.extension.on_ask_ended(0, ended(2, after))
    assert not [
        call for call in front.log.calls if "another shard map version than that of its plan" in str(call)
    ]


def test_query_planned_with_another_version_than_it_holds_is_logged() -> None:
    front = Front()
    front.maps.on_log_read()
    before = front.plan()
    front.adopt(front.split(), 2)
    front.extension.on_ask_begun(0, 1, {})
    front.extension.on_ask_ended(0, ended(1, before))
    assert [
        call for call in front.log.calls if "another shard map version than that of its plan" in str(call)
    ]


def test_shard_numbers_of_every_version_map_to_the_cell_of_their_set() -> None:
    front = Front()
    cells = front.planner.map.cells
    for version in (front.first, MapVersion(2, front.first.label, tuple(reversed(front.split())))):
        built = version.to_shard_map(cells)
        assert len({shard.number for shard in built.shards}) == len(built.shards)
        groups = {name: group for name, group, _values in version.entries}
        for shard in built.shards:
            assert shard.number % len(cells) == cells[groups[shard.name]] == built.cell_of_shard(shard.number)
            assert not shard.exclusive  # a holder may serve shards of two versions


def test_map_with_unknown_sets_is_not_staged_and_logged() -> None:
    front = Front()
    front.maps.on_log_read()
    entries = [(name, "elsewhere", values) for name, _group, values in front.first.entries]
    found = Map(front.first.label, tuple(entries), front.first.unlabelled_anywhere)
    assert not front.put(ProposeMap("p", "ann", 0, found, base=Map.of(front.first)))
    assert not front.put(AdoptMap("a", "ann", 0, 2, judged(found), ("m0",)))
    assert 2 not in front.maps.follower.staged
    logged = [call for call in front.log.calls if "cannot be staged" in str(call)]
    assert logged and "replica set 'elsewhere'" in logged[0].kwargs["cause"]
    with pytest.raises(ValueError, match="replica set 'elsewhere': expected one of"):
        ShardMap("l", entries, True, front.planner.map.cells)
