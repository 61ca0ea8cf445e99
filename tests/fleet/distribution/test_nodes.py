"""Distributed nodes in a broker's list: the cost of a delta, its atomicity, and the nodes of the file."""

from pathlib import Path

import pytest

from quincepath.config.schema import Config, Holder
from quincepath.interface import Entry, Members, NodeId, Phase, Scope
from quincepath.lab.demo import demo_config
from quincepath.membership.source import MembershipSource, node_id
from quincepath.membership.state import HolderInfo, MembershipState
from quincepath.shards.shardmap import ShardMap
from tests.fleet.distribution.virtual_fleet import SHARDS, node

ALL = 12_000


def fact(number: int, phase: Phase = Phase.READY, name: str = "") -> HolderInfo:
    address = bytes([10, 0, number // 250, number % 250]) + (9000).to_bytes(2)
    return HolderInfo(name or f"n{number}", NodeId(address), "/read", 0, number % 3, ("s0",), phase, 0)


class Counting(MembershipState):
    """Counts the nodes that are compared."""

    compared = 0

    def _add_change(self, *words: object) -> None:
        self.compared += 1
        super()._add_change(*words)  # type: ignore[arg-type]


def test_a_change_of_one_node_compares_one_of_twelve_thousand() -> None:
    state = Counting()
    state.apply_list([fact(number) for number in range(ALL)])
    state.compared = 0
    update, changes = state.apply_delta([fact(7, Phase.DRAINING)], [])
    assert state.compared == 1 and len(changes) == 1 and update is not None
    assert update.scope is Scope.DELTA and [entry.phase for entry in update.entries] == [Phase.DRAINING]
    update, changes = state.apply_delta([], [fact(8).node])
    assert state.compared == 1 and update is not None
    assert [(entry.node, entry.phase) for entry in update.entries] == [(fact(8).node, Phase.GONE)]
    assert len(state.holders) == ALL - 1


def test_a_delta_leads_to_the_same_list_as_a_complete_one() -> None:
    before = [fact(number) for number in range(20)]
    after = [*before[2:15], fact(15, Phase.DRAINING), fact(1, name="new"), fact(30)]
    whole, parts = MembershipState(), MembershipState()
    for state in (whole, parts):
        state.apply_list(before)
    announced, _ = whole.apply_list(after)
    gone = [one.node for one in (*before[:2], *before[16:])]
    announced_by_parts, _ = parts.apply_delta([fact(15, Phase.DRAINING), fact(1, name="new"), fact(30)], gone)

    def by_node(update: Members | None) -> dict[NodeId, Entry]:
        assert update is not None
        return {entry.node: entry for entry in update.entries}

    assert parts.holders == whole.holders and by_node(announced_by_parts) == by_node(announced)


def test_a_delta_without_effect_is_not_announced() -> None:
    state = MembershipState()
    state.apply_list([fact(1), fact(2)])
    assert state.apply_delta([fact(1)], []) == (None, [])
    assert state.apply_delta([], [fact(9).node]) == (None, [])
    assert state.version == 1


def test_a_delta_before_a_complete_list_is_refused() -> None:
    with pytest.raises(AssertionError, match="before the first complete list"):
        MembershipState().apply_delta([fact(1)], [])


# --- the source ---


def source(folder: Path) -> MembershipSource:
    holders = [node(f"f{at}", replica_set, 8000 + at) for at, replica_set in enumerate(SHARDS)]
    config = Config.model_validate(demo_config(0, holders=holders))
    shards = config.shards
    entries = [(entry.name, entry.set or entry.name, entry.values) for entry in shards.map]
    return MembershipSource(config, ShardMap(shards.label, entries, True), folder)


def holders(*names: str) -> dict[str, Holder | None]:
    """By name; the first letter is the replica set, the rest the last digits of the port."""
    found: dict[str, Holder | None] = {}
    for name in names:
        found[name] = Holder.model_validate(node(name, name[0], 9000 + int(name[1:])))
    return found


def names(found: MembershipSource) -> set[str]:
    return {one.name for one in found.state.holders.values()}


def test_distributed_nodes_replace_the_nodes_of_the_file(tmp_path: Path) -> None:
    found = source(tmp_path)
    found.poll(force=True)
    assert found.distribute({"nobody": None}) == (None, [], "") and names(found) == {"f0", "f1", "f2"}
    update, _, _ = found.distribute(holders("a1", "b2", "c3"))
    assert names(found) == {"a1", "b2", "c3"} and update is not None
    assert {entry.node for entry in update.entries if entry.phase is Phase.GONE} == {
        node_id(f"http://127.0.0.1:{port}/") for port in (8000, 8001, 8002)
    }
    assert found.poll() == found.poll(force=True) == (None, [], "")
    found.distribute({**holders("a4"), "a1": None})
    assert names(found) == {"a4", "b2", "c3"}


def test_an_incomplete_list_does_not_replace_the_nodes_of_the_file(tmp_path: Path) -> None:
    found = source(tmp_path)
    found.poll(force=True)
    assert found.distribute(holders("a1"), complete=False) == (None, [], "")
    assert found.distribute(holders("b2", "c3")) == (None, [], "") and names(found) == {"f0", "f1", "f2"}
    update, _, _ = found.distribute({}, complete=True)
    assert names(found) == {"a1", "b2", "c3"} and update is not None and len(update.entries) == 6
    found.distribute(holders("a4"))
    update, _, _ = found.distribute({}, complete=False)
    assert names(found) == {"f0", "f1", "f2"} and update is not None and len(update.entries) == 7
    found.distribute({}, complete=True)
    assert names(found) == {"a1", "a4", "b2", "c3"}


def test_without_distributed_nodes_the_nodes_of_the_file_are_used_again(tmp_path: Path) -> None:
    found = source(tmp_path)
    found.poll(force=True)
    found.distribute(holders("a1", "b2", "c3"))
    found.distribute({"a1": None, "b2": None, "c3": None})
    assert names(found) == {"f0", "f1", "f2"}


def test_a_node_that_takes_the_address_of_another_replaces_it(tmp_path: Path) -> None:
    found = source(tmp_path)
    found.poll(force=True)
    found.distribute(holders("a1", "b2", "c3"))
    moved = Holder.model_validate(node("a9", "a", 9001))
    update, _, _ = found.distribute({"a1": None, "a9": moved})
    assert names(found) == {"a9", "b2", "c3"} and update is not None
    assert [entry.phase for entry in update.entries] == [Phase.READY]


def test_a_distributed_change_keeps_an_agreed_drain(tmp_path: Path) -> None:
    found = source(tmp_path)
    found.poll(force=True)
    found.distribute(holders("a1", "b2", "c3"))
    found.drained = frozenset({"a1"})
    update, _, _ = found.poll(force=True)
    assert update is not None and [entry.phase for entry in update.entries] == [Phase.DRAINING]
    found.distribute(holders("a1", "a5"))
    phases = {one.name: one.phase for one in found.state.holders.values()}
    assert phases == {"a1": Phase.DRAINING, "a5": Phase.READY, "b2": Phase.READY, "c3": Phase.READY}
