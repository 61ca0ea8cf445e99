"""Values that a configuration file could not hold, or that conflict with others, are refused with place."""

import msgspec
import pytest

from quincepath.fleet.configuration.changes import ChangeError, Edit
from quincepath.fleet.configuration.resources import decode_resource, encode_resource, format_value
from quincepath.fleet.configuration.table import ResourceTable, Rules, diff_values, merge_deltas
from tests.fleet.configuration.builders import node, query_class, tenant, weights


def refused(name: str, value: bytes) -> list[str]:
    with pytest.raises(ChangeError) as caught:
        decode_resource(name, value)
    assert all(fault.resource == name for fault in caught.value.faults)
    return [str(fault) for fault in caught.value.faults]


@pytest.mark.parametrize(
    ("name", "value"),
    [("node/n1", node("n1", 1)), ("class/quick", query_class("quick")), ("tenant/a b", tenant("a b", 2.0))],
)
def test_a_valid_resource_is_accepted(name: str, value: bytes) -> None:
    assert getattr(decode_resource(name, value), "name") == name.partition("/")[2]  # noqa: B009


def test_the_error_texts_are_those_of_a_configuration_file() -> None:
    messages = refused("class/quick", query_class("quick", "2s", "1s"))
    assert messages == ["class/quick: " + messages[0].removeprefix("class/quick: ")]
    assert messages[0].endswith("expected 0 < target <= deadline")
    messages = refused("class/quick", query_class("quick", "fast"))
    assert "class/quick.target: 'fast'; expected a duration with a unit" in messages[0]
    messages = refused("tenant/a", tenant("a", 1000.0))
    assert messages == ["tenant/a.weight: 1000.0; expected Input should be less than or equal to 100"]


def test_all_faults_are_reported_at_once() -> None:
    value = encode_resource({"name": "n1", "url": "ftp://x", "shards": [], "misspelt": 1})
    places = {message.partition(":")[0] for message in refused("node/n1", value)}
    assert places == {"node/n1.url", "node/n1.shards", "node/n1.misspelt"}


def test_an_unknown_kind_a_wrong_name_and_a_value_that_is_no_map_are_refused() -> None:
    assert "expected one of class, list, node, tenant" in refused("pool/x", b"\x80")[0]
    assert "the resource's own name, 'n2'" in refused("node/n2", node("n1", 1))[0]
    assert "expected a msgpack map" in refused("node/n1", b"\x01")[0]
    assert "expected a msgpack map" in refused("node/n1", b"")[0]
    assert "expected at most 4096" in refused("node/n1", b"x" * 5000)[0]


def test_equal_entries_have_equal_bytes() -> None:
    assert encode_resource({"a": 1, "b": 2}) == encode_resource({"b": 2, "a": 1})


# --- between resources ---


def table(**nodes: int) -> ResourceTable:
    return ResourceTable({f"node/{name}": node(name, port) for name, port in nodes.items()})


def put(name: str, port: int, held: ResourceTable) -> Edit:
    return Edit(f"node/{name}", held.values.get(f"node/{name}"), node(name, port))


def test_two_nodes_at_one_address_are_refused() -> None:
    held = table(a=1, b=2)
    assert [str(fault) for fault in held.faults([put("c", 1, held)])] == [
        "node/c.url: 10.0.0.1:1; expected an address of its own; node/a has it"
    ]
    assert held.faults([put("c", 3, held), put("d", 3, held)])
    assert held.faults([put("a", 2, held), put("b", 2, held)])


def test_nodes_may_swap_addresses_or_succeed_another_at_its_address() -> None:
    held = table(a=1, b=2)
    swap = [put("a", 2, held), put("b", 1, held)]
    assert not held.faults(swap)
    held.apply(swap)
    assert held.faults([put("c", 1, held)]) and held.faults([put("c", 2, held)])
    successor = [Edit("node/a", held.values["node/a"], None), put("c", 2, held)]
    assert not held.faults(successor)
    held.apply(successor)
    assert not held.faults([put("d", 3, held)])
    assert held.faults([put("d", 2, held)])


def test_removing_the_last_class_is_refused() -> None:
    held = ResourceTable({"class/one": query_class("one")})
    gone = Edit("class/one", held.values["class/one"], None)
    assert "at least one class" in str(held.faults([gone])[0])
    assert not held.faults([gone, Edit("class/two", None, query_class("two"))])


def test_a_node_without_a_whole_replica_set_is_refused() -> None:
    held = table()
    edits = [Edit("node/a", None, node("a", 1, ("s1", "s2")))]
    assert not held.faults(edits, Rules(frozenset({frozenset({"s1", "s2"})})))
    found = held.faults(edits, Rules(frozenset({frozenset({"s1"})})))
    assert "node/a.shards: s1+s2; expected a whole replica set" in str(found[0])


def test_too_many_resources_or_bytes_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    held = table(a=1)
    monkeypatch.setattr("quincepath.fleet.configuration.table.MAX_RESOURCES", 1)
    assert "resources: 2; expected at most 1" in str(held.faults([put("b", 2, held)])[0])
    assert not held.faults([put("b", 2, held), Edit("node/a", held.values["node/a"], None)])
    monkeypatch.setattr("quincepath.fleet.configuration.table.MAX_TABLE_BYTES", held.bytes)
    assert not held.faults([put("a", 2, held)])
    assert held.faults([put("a", 20, held)])


def test_the_byte_count_matches_the_values() -> None:
    held = table(a=1, b=2)
    held.apply([put("a", 3000, held), Edit("node/b", held.values["node/b"], None), put("c", 7, held)])
    assert held.bytes == sum(len(name) + len(value) for name, value in held.values.items())


def test_a_wrong_old_value_is_a_conflict() -> None:
    held = ResourceTable({"tenant/a": tenant("a", 2.0)})
    wrong = Edit("tenant/a", tenant("a", 1.0), tenant("a", 3.0))
    [fault] = held.conflicts([wrong])
    assert "'weight': 2.0" in fault.found and "'weight': 1.0" in fault.expected
    [fault] = held.conflicts([Edit("tenant/a", None, tenant("a", 3.0))])
    assert fault.expected.startswith("absent")
    [fault] = held.conflicts([Edit("tenant/b", b"\xc1", None)])
    assert fault.found == "absent" and "no msgpack" in fault.expected


def test_merged_deltas_have_the_effect_of_their_sequence() -> None:
    deltas = weights("a", 1.0, 2.0, 3.0)
    [edit] = merge_deltas(deltas)
    assert (edit.old, edit.new) == (None, tenant("a", 3.0))
    back = merge_deltas(
        [*deltas[1:], *[type(deltas[0])(4, (Edit("tenant/a", tenant("a", 3.0), tenant("a", 1.0)),))]]
    )
    assert back == ()


def test_the_difference_of_two_tables_turns_one_into_the_other() -> None:
    before = {"a/1": b"1", "a/2": b"2", "a/3": b"3"}
    after = {"a/2": b"2", "a/3": b"x", "a/4": b"4"}
    assert set(diff_values(before, after)) == {
        Edit("a/1", b"1", None), Edit("a/3", b"3", b"x"), Edit("a/4", None, b"4"),
    }  # fmt: skip
    assert diff_values(after, after) == ()


def test_a_value_of_another_version_does_not_break_the_table() -> None:
    held = ResourceTable({"node/new": msgspec.msgpack.encode({"address": 5})})
    assert held.values and not held.faults([put("a", 1, held)])


def test_a_deeply_nested_value_is_refused_without_a_crash() -> None:
    deep = b"\x81\xa1x" + b"\x91" * 4000 + b"\x90"
    assert "a msgpack map" in refused("node/x", deep)[0]
    assert format_value(deep) == f"{len(deep)} bytes that are no msgpack"
