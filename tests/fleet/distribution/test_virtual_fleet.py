"""Configuration distribution by complete brokers in virtual time: atomicity, conflicts, status and faults."""

from pathlib import Path
from typing import Any

import pytest

from quincepath.fleet.configuration.messages import Deltas, Heartbeat, Subscribe, encode_body, pack, unpack
from tests.fleet.distribution.virtual_fleet import (
    RELAYS,
    VOTERS,
    VirtualFleet,
    complete_list,
    node,
    region_of,
    running,
)

ALL_NODES = {name.removeprefix("node/") for name in complete_list()}
IN_FORCE_S = 7.0  # seconds of virtual time, until a change is in force everywhere


def commit_all_nodes(world: VirtualFleet) -> None:
    """Commit the complete list of nodes as revision 1 and wait until all brokers have it."""
    answer = world.propose("m7", "first", 0, set=complete_list())
    assert (answer.status, answer.content) == (200, {"revision": 1})
    world.until_all_at(1, IN_FORCE_S)


def assert_revisions_only_grow(world: VirtualFleet) -> None:
    """Check that no broker applied a revision twice, or an older one than before."""
    assert all(seen == sorted(set(seen)) for seen in world.revisions.values()), world.revisions


# --- in force ---


def test_a_change_replaces_the_nodes_of_the_file_at_every_broker(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        assert world.nodes("m7") == {"f0", "f1", "f2"}
        commit_all_nodes(world)
        assert all(world.nodes(name) == ALL_NODES for name in world.names)
        answer = world.propose("m5", "second", 1, remove=["node/a1"])
        assert answer.content == {"revision": 2}
        world.until_all_at(2, IN_FORCE_S)
        assert all(world.nodes(name) == ALL_NODES - {"a1"} for name in world.names)
        back = world.ask("m6", "POST", "rollback", {"id": "third", "by": "ann", "revision": 2})
        assert back.content == {"revision": 3}
        world.until_all_at(3, IN_FORCE_S)
        assert all(world.nodes(name) == ALL_NODES for name in world.names)
        assert_revisions_only_grow(world)


def test_a_change_of_several_nodes_is_applied_at_once(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        seen: dict[str, list[frozenset[str]]] = {name: [] for name in world.names}
        for name, broker in world.brokers.items():
            announce = broker.holders.on_membership

            def record(update: Any, name: str = name, announce: Any = announce) -> None:
                announce(update)
                seen[name].append(frozenset(world.nodes(name)))

            broker.holders.on_membership = record
        commit_all_nodes(world)
        new = {"node/a1": node("a1", "a", 9001, phase="draining"), "node/b5": node("b5", "b", 9015)}
        world.propose("m6", "second", 1, set=new, remove=["node/c1"])
        world.until_all_at(2, IN_FORCE_S)
        after = frozenset(ALL_NODES - {"a1", "c1"} | {"b5"})
        assert all(lists == [frozenset(ALL_NODES), after] for lists in seen.values())


def test_a_list_of_several_changes_is_in_force_only_after_the_last_one(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        parts = list(complete_list().items())
        first = dict(parts[:2]) | {"list/nodes": {"name": "nodes", "whole": False}}
        assert world.propose("m7", "one", 0, set=first).content == {"revision": 1}
        assert world.propose("m6", "two", 1, set=dict(parts[2:4])).content == {"revision": 2}
        early = world.propose("m6", "early", 2, remove=["list/nodes"])
        assert early.status == 409 and "none in service with the shards s4+s5" in early.content["error"]
        assert world.propose("m6", "three", 2, set=dict(parts[4:])).content == {"revision": 3}
        world.until_all_at(3, IN_FORCE_S)
        assert all(world.nodes(name) == {"f0", "f1", "f2"} for name in world.names)
        assert world.propose("m5", "now", 3, remove=["list/nodes"]).content == {"revision": 4}
        world.until_all_at(4, IN_FORCE_S)
        assert all(world.nodes(name) == ALL_NODES for name in world.names)
        back = world.ask("m6", "POST", "rollback", {"id": "back", "by": "ann", "revision": 4})
        assert back.content == {"revision": 5}
        world.until_all_at(5, IN_FORCE_S)
        assert all(world.nodes(name) == {"f0", "f1", "f2"} for name in world.names)


def test_a_distributed_weight_overrides_the_file_until_it_is_removed(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        assert world.weights("m7") == {"desk": 5.0}
        new = {"tenant/desk": {"name": "desk", "weight": 2}, "tenant/bulk": {"name": "bulk", "weight": 0.5}}
        assert world.propose("m5", "first", 0, set=new).status == 200
        world.until_all_at(1, IN_FORCE_S)
        assert all(world.weights(name) == {"desk": 2.0, "bulk": 0.5} for name in world.names)
        assert world.nodes("m7") == {"f0", "f1", "f2"}  # no revision sets a node yet
        assert world.propose("m6", "second", 1, remove=["tenant/desk", "tenant/bulk"]).status == 200
        world.until_all_at(2, IN_FORCE_S)
        assert all(world.weights(name) == {"desk": 5.0} for name in world.names)


def test_a_broker_that_starts_later_gets_the_distributed_nodes(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        world.kill("m6")
        world.propose("m5", "second", 1, remove=["node/a1"])
        world.until_all_at(2, IN_FORCE_S)
        world.revisions["m6"].clear()
        world.start("m6")
        assert world.nodes("m6") == {"f0", "f1", "f2"}  # those of the file, until a relay has answered
        world.until_all_at(2, IN_FORCE_S)
        assert world.nodes("m6") == ALL_NODES - {"a1"}


def test_the_same_seed_gives_the_same_run(tmp_path: Path) -> None:
    found = []
    for place in ("one", "two"):
        (tmp_path / place).mkdir()
        with running(tmp_path / place, seed=5) as world:
            commit_all_nodes(world)
            world.propose("m5", "second", 1, remove=["node/a1"])
            world.until_all_at(2)
            sent = {name: dict(world.fleet(name).transport.sent) for name in world.names}
            found.append((world.loop.at, sent, world.revisions))
    assert found[0] == found[1]


# --- requests ---


def test_a_repeated_key_takes_effect_once(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        for at in ("m7", "m0", "m5"):
            assert world.propose(at, "first", 0, set=complete_list()).content == {"revision": 1}
        assert world.propose("m5", "second", 1, remove=["node/a1"]).content == {"revision": 2}
        world.until_all_at(2, IN_FORCE_S)
        assert world.propose("m6", "second", 1, remove=["node/a1"]).content == {"revision": 2}
        other = world.propose("m6", "second", 2, remove=["node/b1"])
        assert other.status == 409 and "used for another change" in other.content["error"]
        world.rest(3)
        assert {world.revision(name) for name in world.names} == {2}


def test_of_two_conflicting_changes_the_second_is_refused(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        looked = world.show("m6", "node/a1").content
        assert looked["revision"] == 1 and looked["resources"]["node/a1"]["name"] == "a1"
        moved = {"node/a1": node("a1", "a", 9500)}
        assert world.propose("m5", "mine", 1, set=moved).status == 200
        world.until_all_at(2, IN_FORCE_S)
        late = world.propose("m6", "yours", 1, remove=["node/a1"])
        assert late.status == 400 and "node/a1: changed after revision 1; expected untouched" in str(
            late.content
        )
        assert "http://127.0.0.1:9500/read" in late.content["error"]
        assert world.propose("m6", "yours", 2, remove=["node/a1"]).status == 200


def test_of_two_concurrent_conflicting_changes_one_takes_effect(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        found = [
            world.begin("m5", "propose", {"id": "mine", "by": "ann", "revision": 1, "remove": ["node/a1"]}),
            world.begin("m6", "propose", {
                "id": "yours", "by": "bob", "revision": 1, "set": {"node/a1": node("a1", "a", 9500)},
            }),
        ]  # fmt: skip
        world.until(lambda: all(one.status for one in found))
        assert sorted(one.status for one in found) == [200, 409]
        refused = next(one for one in found if one.status == 409)
        assert "the old value that the change names" in refused.content["error"]
        world.until_all_at(2, IN_FORCE_S)


@pytest.mark.parametrize(
    ("order", "said"),
    [
        ({"set": {"class/quick": {"name": "quick"}}}, "class/quick"),
        (
            {"set": {"class/quick": {"name": "quick", "target": "1s", "deadline": "2s"}}},
            "class/quick: {'deadline': '2s', 'name': 'quick', 'target': '1s'}; expected no change: a running",
        ),
        ({"set": {"tenant/a": {"name": "a", "weight": 200}}}, "tenant/a.weight: 200; expected"),
        (
            {"set": {f"tenant/a{n}": {"name": f"a{n}", "weight": 2} for n in range(500)}},
            "tenants: 1002; expected at most 1000",
        ),
        ({"set": {"node/a1": {"name": "a1"}}}, "node/a1.url"),
        ({"set": {"node/a1": node("a2", "a", 9001)}}, "node/a1.name: 'a2'; expected"),
        ({"set": {"node/a9": node("a9", "a", 9001)}}, "an address of its own; node/a1 has it"),
        ({"set": {"node/a9": {**node("a9", "a", 9500), "shards": ["s0"]}}}, "a whole replica set"),
        ({"set": {"node/m1": node("m1", "a", 9500)}}, "'m1'; expected a name that no broker"),
        ({"remove": ["node/a0", "node/a1"]}, "none in service with the shards s0+s1; expected at least"),
        ({"set": {"list/nodes": {"name": "nodes"}}}, "list/nodes.whole"),
        ({"set": {"list/all": {"name": "all", "whole": True}}}, "list/all.name: 'all'; expected"),
        ({"remove": ["node/a7"]}, "edit that changes something"),
        ({"remove": ["node/a0"], "set": {"node/a0": node("a0", "a", 9500)}}, "set and removed"),
        ({}, "at least one resource in set or remove"),
        ({"remove": ["node/a0"], "revision": 9}, "revision: 9; expected 0 to 3"),
        ({"remove": ["node/a0"], "weight": 3}, "unknown field `weight`"),
        ({"remove": ["Node/a0"]}, "matching regex"),
        ({"remove": ["node/a0"], "id": ""}, "length >= 1"),
    ],
)  # fmt: skip
def test_an_invalid_change_is_refused_with_an_explanation(
    order: dict[str, Any], said: str, fleet: VirtualFleet
) -> None:
    whole = {"id": f"bad {said}"[:60], "by": "ann", "revision": 3, **order}
    answer = fleet.ask("m7", "POST", "propose", whole)
    assert answer.status in (400, 409) and said in answer.content["error"], answer.content
    assert fleet.replicated_log(fleet.leader).machine.configuration.revision == 3


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Any:
    with running(tmp_path_factory.mktemp("fleet")) as world:
        commit_all_nodes(world)
        many = {f"tenant/b{n}": {"name": f"b{n}", "weight": 2} for n in range(502)}
        assert world.propose("m6", "many", 1, set=dict(list(many.items())[:500])).status == 200
        assert world.propose("m6", "more", 1, set=dict(list(many.items())[500:])).status == 200
        world.until_all_at(3, IN_FORCE_S)
        yield world


def with_name(value: bytes) -> bytes:
    """A request that sets one node, with this JSON as its name."""
    return b'{"id": "x", "by": "ann", "revision": 3, "set": {"node/x": {"name": ' + value + b"}}}"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"id": "x"',
        b'{"id": "x", "by": "ann", "revision": -1}',
        with_name(b"[" * 90_000 + b"]" * 90_000),
        with_name(b"[" * 800 + b"]" * 800),
        with_name(b"1" + b"0" * 30),
        with_name(b'"\xff"'),
    ],
)
def test_an_invalid_body_is_refused_without_a_crash(body: bytes, fleet: VirtualFleet) -> None:
    for what in ("propose", "rollback"):
        answer = fleet.raw("m7", what, body)
        assert answer.status in (400, 409) and "expected" in answer.content["error"], answer.content


def test_wrong_paths_and_rollbacks_are_explained(fleet: VirtualFleet) -> None:
    lost = fleet.ask("m7", "GET", "history")
    assert lost.status == 404 and "'history': expected GET status, show" in lost.content["error"]
    assert (
        fleet.ask("m7", "POST", "undo", {}).content["error"].startswith("path: 'undo'; expected GET status")
    )
    order = {"id": "r", "by": "ann", "revision": 7}
    assert "rolls_back: 7; expected a revision from 1 to 3" in str(
        fleet.ask("m7", "POST", "rollback", order).content
    )
    assert fleet.show("m7", "node/none").status == 404
    page = fleet.ask("m7", "GET", "show").content
    assert page["revision"] == 3 and set(page["resources"]) > set(complete_list())


# --- status ---


def test_the_status_is_everywhere_only_when_all_brokers_have_the_change(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        world.until(lambda: world.ask("m0", "GET", "status").content["everywhere"])
        silent = "m7"
        world.cut |= {(relay, silent) for relay in RELAYS}
        world.propose("m5", "second", 1, remove=["node/a1"])
        world.until(lambda: all(world.revision(name) == 2 for name in world.names if name != silent))
        world.rest(4)
        page = world.ask("m0", "GET", "status").content
        assert not page["everywhere"] and page["fleet"]["expected"] == 8
        world.cut.clear()
        world.until_all_at(2, IN_FORCE_S)
        world.until(lambda: world.ask("m1", "GET", "status").content["everywhere"])
        assert (
            "revision 2: in force at 8 of 8 brokers" in world.ask("m1", "GET", "status").content["lines"][0]
        )
        elsewhere = world.ask("m7", "GET", "status").content
        assert elsewhere["fleet"] is None and elsewhere["keepers"] == VOTERS
        assert elsewhere["own"]["revision"] == 2


def test_a_voter_whose_log_is_behind_knows_the_newest_revision(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        behind = next(name for name in VOTERS if name != world.leader)
        world.until(lambda: world.ask(behind, "GET", "status").content["everywhere"])
        world.log_cut |= {(voter, behind) for voter in VOTERS}
        world.propose("m5", "second", 1, remove=["node/a1"])
        world.until(lambda: world.revision(behind) == 2, IN_FORCE_S)
        assert world.replicated_log(behind).machine.configuration.revision == 1
        page = world.ask(behind, "GET", "status").content
        assert not page["everywhere"] and page["fleet"]["newest"] == 2


def test_a_revision_that_no_broker_can_apply_is_refused_and_reported(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        for name in VOTERS:  # as if a leader of another version proposed it
            world.replicated_log(name).change_refusal = lambda command: ""
        bad = {"node/m1": node("m1", "a", 9500)}
        assert world.propose("m5", "second", 1, set=bad, remove=["node/a1"]).content == {"revision": 2}
        world.until(lambda: world.ask("m0", "GET", "status").content["fleet"]["refused"] == 8)
        page = world.ask("m0", "GET", "status").content
        refusal = page["fleet"]["refusals"][0]
        assert refusal["resource"] == "node/m1" and "no broker of the fleet" in refusal["reason"]
        assert any("refuses 2: m7, stays at 1: node/m1" in line for line in page["lines"])
        assert not page["everywhere"] and all(world.nodes(name) == ALL_NODES for name in world.names)
        back = world.ask("m6", "POST", "rollback", {"id": "third", "by": "ann", "revision": 2})
        assert back.content == {"revision": 3}
        # The two revisions together change nothing, and can be applied.
        world.until_all_at(3, IN_FORCE_S)
        world.until(lambda: world.ask("m0", "GET", "status").content["everywhere"])
        assert all(world.nodes(name) == ALL_NODES for name in world.names)
        assert_revisions_only_grow(world)


# --- faults ---


def test_a_relay_killed_amid_a_delta_does_not_delay_the_change(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        relay = max(RELAYS, key=lambda one: len(world.served_by(one)))
        assert len(world.served_by(relay)) >= 3
        distribution = world.distribution(relay)
        send = distribution._send
        receivers: list[str] = []

        def dying(to: str, data: bytes) -> None:
            if receivers and receivers[0] != to:
                return
            send(to, data)
            if isinstance(unpack(data, "orchard", to, to == relay)[1], Deltas) and to != relay:
                receivers.append(to)
                world.loop.call_in(0, lambda: world.kill(relay))

        distribution._send = dying  # type: ignore[method-assign]
        world.propose("m5" if relay != "m5" else "m6", "second", 1, remove=["node/a1"])
        world.until(lambda: relay not in world.brokers)
        assert len(receivers) == 1
        world.until_all_at(2, IN_FORCE_S)
        assert_revisions_only_grow(world)


def test_the_end_of_a_relay_s_connection_is_noticed_before_its_timeout(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        served = [name for name in world.served_by("m3") if name != "m3"]
        assert served
        world.kill("m3")
        world.until(lambda: all(world.subscriber(name).chooser.current == "m4" for name in served), 2.5)


def test_a_relay_that_is_silent_but_connected_is_left(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        served = [name for name in world.served_by("m3") if name != "m3"]
        assert served
        world.cut |= {("m3", name) for name in world.names if name != "m3"}
        world.propose("m5", "second", 1, remove=["node/a1"])
        world.until_all_at(2, IN_FORCE_S)
        assert {world.subscriber(name).chooser.current for name in served} == {"m4"}
        assert_revisions_only_grow(world)


def test_a_broker_keeps_its_revision_at_a_relay_that_lags(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        world.log_cut |= {(voter, "m3") for voter in VOTERS}
        world.propose("m5", "second", 1, remove=["node/a1"])
        others = [name for name in world.names if name not in world.served_by("m3")]
        world.until(lambda: all(world.revision(name) == 2 for name in others), IN_FORCE_S)
        world.until(lambda: world.served_by("m3") == [], IN_FORCE_S)  # its data are stale
        world.kill("m4")
        others = [name for name in world.brokers if name != "m3"]
        world.until(lambda: set(others) <= set(world.served_by("m3")), 30)
        world.rest(5)
        assert all(world.revision(name) == 2 for name in others)
        relay = world.distribution("m3").relay
        assert relay is not None and relay.log.newest == 1
        world.log_cut.clear()
        world.propose("m5", "third", 2, set={"node/a1": node("a1", "a", 9001)})
        world.until_all_at(3, IN_FORCE_S)
        assert_revisions_only_grow(world)


def test_a_leader_killed_after_a_commit_neither_loses_nor_repeats_the_change(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        leader = world.leader
        replicated_log = world.replicated_log(leader)
        send = replicated_log.hooks.send
        dead: list[str] = []

        def dying(to: str, data: bytes) -> None:
            if replicated_log.machine.configuration.revision < 2:
                send(to, data)
            elif not dead:
                dead.append(leader)
                world.loop.call_in(0, lambda: world.kill(leader))

        replicated_log.hooks.send = dying
        answer = world.propose("m7", "second", 1, remove=["node/a1"])
        assert leader not in world.brokers and answer.content == {"revision": 2}
        world.until_all_at(2, IN_FORCE_S)
        assert world.propose("m6", "second", 1, remove=["node/a1"]).content == {"revision": 2}
        world.rest(3)
        assert {world.revision(name) for name in world.brokers} == {2}


def test_a_region_that_was_cut_off_keeps_its_state_and_catches_up(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        inside = [name for name in world.names if name not in VOTERS and region_of(name) == "west"]
        outside = [name for name in world.names if name not in inside]
        assert inside == ["m4", "m5", "m7"]
        world.cut_off(inside, outside)
        world.propose("m6", "second", 1, remove=["node/a1"])
        world.until(lambda: all(world.revision(name) == 2 for name in outside), IN_FORCE_S)
        alone = world.propose("m7", "alone", 1, remove=["node/b1"])
        assert alone.status == 409 and "not known to be done" in alone.content["error"]
        world.rest(10)
        assert all(world.revision(name) == 1 and world.nodes(name) == ALL_NODES for name in inside)
        assert world.subscriber("m7").status(world.loop.clock()).age_ms > 10_000
        world.kill("m7")
        world.start("m7")
        # From the relay inside the region.
        world.until(lambda: world.nodes("m7") == ALL_NODES, IN_FORCE_S)
        world.cut.clear()
        world.until_all_at(2, IN_FORCE_S)
        assert all(world.nodes(name) == ALL_NODES - {"a1"} for name in world.names)


def test_messages_of_unknown_members_or_of_itself_from_outside_are_dropped(tmp_path: Path) -> None:
    with running(tmp_path) as world:
        commit_all_nodes(world)
        distribution = world.distribution("m7")
        dropped = world.fleet("m7").view.dropped
        before = dict(dropped)
        raw = encode_body(Heartbeat(9, 0))
        distribution.receive(pack("orchard", "x9", 1, "m7", raw))
        distribution.receive(pack("orchard", "m7", 1, "m7", raw))
        distribution.receive(pack("orchard", "m3", 1, "m7", encode_body(Subscribe(0, 0))))
        distribution.receive(b"\xc1Cnonsense")
        found = {cause: dropped[cause] - before.get(cause, 0) for cause in dropped}
        assert {cause: count for cause, count in found.items() if count} == {
            "unknown member": 1, "wrong name": 1, "unknown kind": 1, "unreadable": 1,
        }  # fmt: skip
