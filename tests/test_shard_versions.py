"""Versions of the shard map: validation, differences, shard numbers, and the versions in use."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepath.shards.versions import MapVersion, MapVersions, Move, difference, map_problems
from tests.fleet.forecast.builders import version

OLD = version(1, {"s1": ["g1", ["a", "b"]], "s2": ["g1", ["c"]], "s3": ["g2", ["d", "e"]]})


@pytest.mark.parametrize(
    ("number", "entries", "expected"),
    [
        (2, {}, "entries: 0 shards; expected 1 to 4096"),
        (2, {"s": ["g", []]}, "entries[0].values: none; expected at least one value"),
        (2, {"s": ["g", ["a", "a"]]}, "entries[0].values: 'a'; expected a value not in shard 's'"),
        (
            2,
            {"s": ["g", ["a"]], "t": ["g", ["a"]]},
            "entries[1].values: 'a'; expected a value not in shard 's'",
        ),
        (2, {"s": ["", ["a"]]}, "entries[0].set: ''; expected 1 to 256 bytes"),
        (2, {"s": ["g", ["x" * 257]]}, f"entries[0].values: '{'x' * 40}'; expected 1 to 256 bytes"),
        (2, {"s": ["g", ["a*200001"]]}, "entries: 200001 values; expected at most 200000"),
        (
            3,
            {"s": ["g", ["a", "b", "c", "d", "e"]]},
            "number: 3; expected 2, the one after the current version",
        ),
        (2, {"s": ["g", ["a", "c", "d"]]}, "values of 's1': 1 left out: b; expected a shard"),
        (
            2,
            {n: [g, list(v)] for n, g, v in OLD.entries},
            "entries: the same as now; expected something that",
        ),
    ],
)
def test_map_problems_name_place_and_expectation(number: int, entries: dict[str, Any], expected: str) -> None:
    assert any(str(problem).startswith(expected) for problem in map_problems(version(number, entries), OLD))


def test_valid_successor_has_no_problems_and_duplicate_names_are_reported() -> None:
    new = version(2, {"s1": ["g1", ["a", "b", "c"]], "s3": ["g2", ["d"]]})
    assert map_problems(new, OLD, frozenset({"e"})) == [] and map_problems(OLD) == []
    duplicate = MapVersion(2, "district", (("s", "g", ("a",)), ("s", "g", ("b",))))
    assert (
        str(map_problems(duplicate)[0])
        == "entries[1].name: 's'; expected a name other than that of entries[0]"
    )
    other = MapVersion(2, "zone", OLD.entries, True)
    assert [problem.place for problem in map_problems(other, OLD)] == ["label", "unlabelled"]
    assert len(map_problems(version(2, {"s": ["g", ["a"] * 500]}))) == 100


def test_digest_depends_on_content_but_not_on_the_number() -> None:
    assert OLD.digest == MapVersion(7, OLD.label, OLD.entries, False).digest
    for other in (
        ("zone", OLD.entries, False),
        (OLD.label, OLD.entries[:2], False),
        (OLD.label, OLD.entries, True),
    ):
        assert MapVersion(1, *other).digest != OLD.digest


def test_difference_of_two_maps() -> None:
    new = version(2, {"s1": ["g1", ["a", "d"]], "s4": ["g3", ["b", "f"]], "s3": ["g2", ["c", "e"]]})
    diff = difference(OLD, new)
    assert diff.moves == (
        Move("d", ("s3", "g2"), ("s1", "g1")),
        Move("b", ("s1", "g1"), ("s4", "g3")),
        Move("c", ("s2", "g1"), ("s3", "g2")),
    )
    assert (diff.added, diff.lost) == (("f",), ())
    assert diff.splits == {"s1": ("s1", "s4"), "s3": ("s1", "s3")}
    assert diff.merges == {"s1": ("s1", "s3"), "s3": ("s2", "s3")}
    assert (diff.new_sets, diff.gone_sets, diff.numbers_kept) == (("g3",), (), False)
    assert diff.needs == {"g1": {"s1": ("d",)}, "g3": {"s4": ("b", "f")}, "g2": {"s3": ("c",)}}
    assert diff.needed_by({"h1": "g1", "h3": "g3", "h9": "g9"}) == {"h1": ("s1",), "h3": ("s4",)}


def test_split_within_a_set_needs_no_new_data_on_its_holders() -> None:
    diff = difference(
        OLD, version(2, {"x": ["g1", ["a"]], "y": ["g1", ["b", "c"]], "s3": ["g2", ["d", "e"]]})
    )
    assert diff.needs == {} and diff.numbers_kept and diff.splits == {"s1": ("x", "y")}


@given(st.lists(st.sampled_from("abcdefg"), min_size=1, max_size=30))
def test_shard_number_modulo_set_count_is_the_cell_in_every_version(groups: list[str]) -> None:
    entries = {f"s{n}": [group, [f"v{n}"]] for n, group in enumerate(groups)}
    shard_map = version(2, entries).to_shard_map()
    names = list(dict.fromkeys(groups))
    assert len(shard_map.by_number) == len(groups)
    for shard, group in zip(shard_map.shards, groups, strict=True):
        assert shard.number % len(names) == shard.cell == names.index(group)


def numbered(number: int) -> MapVersion:
    return version(number, {"s": ["g", [f"v{number}"]]})


def test_query_keeps_its_version_until_released() -> None:
    versions = MapVersions(numbered(1))
    first = versions.hold(10)
    assert versions.adopt(numbered(2))
    assert versions.hold(10) is first and versions.hold(11) is versions.current
    assert versions.numbers() == (1, 2)
    assert versions.release(10) == 1 and versions.release(10) is None and versions.numbers() == (2,)
    assert versions.release(11) is None and versions.numbers() == (2,)


def test_limits_of_versions_and_queries() -> None:
    versions = MapVersions(numbered(1), max_versions=2, max_queries=3)
    assert versions.hold(1) and versions.adopt(numbered(2)) and versions.hold(2)
    assert not versions.adopt(numbered(3)) and versions.current.number == 2
    assert versions.release(1) == 1 and versions.adopt(numbered(3))
    assert versions.hold(3) and versions.hold(4) and versions.hold(5) is None
    with pytest.raises(ValueError, match="expected a number above 3"):
        versions.adopt(numbered(3))


@settings(max_examples=200)
@given(st.lists(st.tuples(st.sampled_from(["hold", "release", "adopt"]), st.integers(0, 6)), max_size=60))
def test_version_is_kept_exactly_while_current_or_held(steps: list[tuple[str, int]]) -> None:
    versions, model = MapVersions(numbered(1), max_versions=3, max_queries=5), dict[int, int]()
    for action, query in steps:
        if action == "hold":
            held = versions.hold(query)
            if query in model or len(model) < 5:
                model.setdefault(query, versions.current.number)
                assert held is not None and held.number == model[query]
            else:
                assert held is None
        elif action == "release":
            versions.release(query)
            model.pop(query, None)
        else:
            versions.adopt(numbered(versions.current.number + 1))
        assert set(versions.numbers()) == {versions.current.number, *model.values()}
        assert len(versions.numbers()) <= 3
