"""The configuration in the consensus log: commands, snapshots, followers, and older versions."""

from typing import Any

import msgspec
import pytest

from quincepath.fleet.adoption import MapCommand
from quincepath.fleet.configuration.changes import MAX_CHANGE_BYTES, Change, Edit, encode_change
from quincepath.fleet.configuration.commands import ChangeConfiguration, proposal_refusal, relay_update
from quincepath.fleet.configuration.ports import Committed, Loaded
from quincepath.fleet.configuration.relay import Relay, RelayIdentity
from quincepath.fleet.consensus.core.learner import Learner
from quincepath.fleet.consensus.entries import MAX_COMMAND_BYTES, Entry
from quincepath.fleet.consensus.messages import LearnerEntries, LearnerSnapshotChunk
from quincepath.fleet.permits import SCHEMA, Back, Begun, Close, Command, Grant, Halt, Permits, Resume, encode
from quincepath.fleet.replicated_log import FINAL_REFUSAL, ReplicatedLog
from tests.fleet.configuration.builders import change, tenant


def command(content: Change) -> ChangeConfiguration:
    return ChangeConfiguration(content.id, content.author, content.proposed_at_ms, encode_change(content))


def weight(id: str, old: float | None, new: float, at: int = 1) -> ChangeConfiguration:
    edit = Edit("tenant/a", None if old is None else tenant("a", old), tenant("a", new))
    return command(change(id, edit, at=at))


def entries(*commands: Command) -> list[Entry]:
    return [Entry(index, 1, encode(one)) for index, one in enumerate(commands, 1)]


def machine(*commands: Command) -> Permits:
    found = Permits()
    for entry in entries(*commands):
        found.apply(entry)
    return found


def values(found: Permits) -> dict[str, bytes]:
    return found.configuration.table.values


def test_a_change_in_the_log_takes_effect_and_survives_a_snapshot() -> None:
    found = machine(weight("one", None, 1.0), weight("two", 1.0, 2.0))
    assert found.configuration.revision == 2 and values(found) == {"tenant/a": tenant("a", 2.0)}
    assert found.state.results == {"one": "", "two": ""}
    assert [(line.what, line.result) for line in found.state.history] == [("changeconfiguration", "done")] * 2
    again = Permits()
    again.load(found.dump())
    assert values(again) == values(found) and again.dump() == found.dump()
    for one in (found, again):
        one.apply(Entry(3, 1, encode(weight("three", 1.0, 3.0))))
        one.apply(Entry(4, 1, encode(weight("one", None, 1.0, at=99))))
        assert one.configuration.revision == 2
        assert one.state.results["three"].startswith("tenant/a: {'name': 'a', 'weight': 2.0}; expected")
    assert again.dump() == found.dump()


def test_a_snapshot_of_an_older_version_loads_without_a_configuration() -> None:
    old = msgspec.msgpack.encode({"schema": 2, "halted": "by hand", "results": {"x": ""}})
    found = machine(weight("one", None, 1.0))
    found.load(old)
    assert found.state.halted == "by hand" and found.configuration.revision == 0 and not values(found)
    assert found.state.schema == SCHEMA
    found.load(b"")
    assert found.configuration.revision == 0


def test_a_log_without_configuration_changes_stores_none() -> None:
    found = machine(Halt("h", "ann", 1, "so"))
    assert msgspec.msgpack.decode(found.dump())["configuration"] == b""


def test_an_older_version_cannot_decode_the_command() -> None:
    old: Any = Grant | Begun | Back | Close | Halt | Resume | MapCommand
    with pytest.raises(msgspec.ValidationError):  # Permits notes it as unreadable and continues
        msgspec.msgpack.decode(encode(weight("one", None, 1.0)), type=old)


def test_the_largest_change_fits_into_a_command() -> None:
    edits: list[Edit] = []
    while len(encode_change(change("big", *edits, Edit("tenant/x", None, b"")))) < MAX_CHANGE_BYTES - 4200:
        edits.append(Edit(f"tenant/{len(edits)}", None, b"x" * 4096))
    assert len(encode(command(change("big", *edits)))) <= MAX_COMMAND_BYTES


def test_a_faulty_command_is_refused_before_its_proposal() -> None:
    found = machine(weight("one", None, 1.0), weight("two", 1.0, 2.0))
    history = found.configuration
    assert proposal_refusal(history, weight("new", 2.0, 3.0)) == ""
    assert proposal_refusal(history, weight("one", None, 1.0, at=5)) == ""  # a duplicate: its answer is known
    assert "used for another change" in proposal_refusal(history, weight("one", 2.0, 9.0))
    assert "the old value that the change names" in proposal_refusal(history, weight("new", 1.0, 3.0))
    assert "less than or equal to 100" in proposal_refusal(history, weight("new", 2.0, 300.0))
    assert "edits: none" in proposal_refusal(
        history, ChangeConfiguration("new", "ann", 1, b"\x95\xa3new\xa3ann\x01\x90\x00")
    )
    assert "expected `array`, got `int`" in proposal_refusal(
        history, ChangeConfiguration("new", "ann", 1, b"x")
    )
    other = ChangeConfiguration("other", "ann", 1, weight("new", 2.0, 3.0).change)
    assert (
        proposal_refusal(history, other) == "id: 'new' in the change; expected 'other', as the command says"
    )
    for wrong in (other, ChangeConfiguration("bad", "ann", 1, b"x")):
        found.apply(Entry(3, 1, encode(wrong)))
        assert "expected" in found.state.results[wrong.id]
    assert history.revision == 2


def test_the_leader_refuses_a_faulty_command() -> None:
    leader = ReplicatedLog.__new__(ReplicatedLog)
    leader.machine = machine(weight("one", None, 1.0))
    good, bad = encode(weight("two", 1.0, 2.0)), encode(weight("three", 7.0, 2.0))
    assert leader._prepare_command(good) == (good, "")
    data, why = leader._prepare_command(bad)
    assert data == bad and why.startswith(f"{FINAL_REFUSAL}tenant/a: ")


def test_a_follower_of_the_log_has_the_same_configuration() -> None:
    log: list[Command] = [weight("one", None, 1.0), Halt("h", "ann", 1, "so"), weight("two", 1.0, 2.0)]
    follower = Learner(Permits(), ("v1",))
    follower.receive(0, LearnerEntries(tuple(entries(*log)), 3, "v1"))
    assert isinstance(follower.machine, Permits) and values(follower.machine) == values(machine(*log))
    late = Learner(Permits(), ("v1",))
    data = machine(*log).dump()
    late.receive(0, LearnerSnapshotChunk(3, 0, len(data), data))
    assert isinstance(late.machine, Permits) and late.machine.configuration.revision == 2


def test_a_relay_that_follows_the_log_gets_every_change() -> None:
    found = machine(weight("one", None, 1.0))
    relay = Relay(RelayIdentity("test", "r1", 1), 0)

    def updated() -> Committed | Loaded:
        update = relay_update(found.configuration, relay.log.newest)
        relay.step(0, [update])
        assert (relay.log.newest, relay.values) == (found.configuration.revision, values(found))
        return update

    assert isinstance(updated(), Committed)
    found.apply(Entry(2, 1, encode(weight("two", 1.0, 2.0))))
    assert isinstance(updated(), Committed)
    for number in range(3, 6):
        found.apply(Entry(number, 1, encode(weight(str(number), float(number - 1), float(number)))))
    found.configuration.log.compact(4)
    update = updated()
    assert isinstance(update, Loaded) and [delta.revision for delta in update.deltas] == [5]
    assert updated() == Committed(5, ())
