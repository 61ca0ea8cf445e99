"""Scripts of load: what is refused in a file, and verdicts on records written by hand that must fail."""

from pathlib import Path
from typing import Any

import pytest

from quincepath.config.load import ConfigError, load, parse
from quincepath.lab.fleet.faults import summers
from quincepath.lab.fleet.links import Ways
from quincepath.lab.fleet.loads import shard_map
from quincepath.lab.fleet.properties import Properties
from quincepath.lab.fleet.script import FleetScript, Links
from quincepath.lab.fleet.shares import fair_shares, jain
from quincepath.standins.record import Ask, End, Got, Halt, Writer

MS = 1_000_000
SECOND = 1000 * MS
SCRIPTS = sorted(Path("examples/fleet/overload").glob("*.yaml"))
BASE = """\
about: a day
length: 30s
members: 5
load: {rate: 50, holders: 6, sets: 3, worth: {fleet-glance: 0.3}, tenants: [{name: desk}, {name: bulk}]}
faults:
  - {kind: surge, at: 10s, last: 10s, tenant: bulk}
expect: {settle: 5s}
"""


@pytest.mark.parametrize("path", SCRIPTS, ids=lambda path: path.stem)
def test_scripts_of_overload_are_sound_and_say_what_they_expect(path: Path) -> None:
    script = load(path, FleetScript)
    assert script.expect.of_load and script.expect.unanswered == 0 and script.members == 9
    assert script.sections.ledger is not None and script.keepers in (3, 5)


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("tenant: bulk", "tenant: bluk", "no tenant 'bluk'"),
        ("tenant: bulk", "set: d", "no set 'd'; there are a, b, c"),
        ("kind: surge", "kind: pause", "expected tenant with surge only"),
        ("tenant: bulk", "holders: [h6]", "there are h0 to h5"),
        ("holders: 6", "holders: 2", "at least as many holders as sets"),
        ("rate: 50", "rate: 50, at: [b5]", "load: at: no b5"),
        ("{name: bulk}", "{name: desk}", "expected different names"),
        ("members: 5", "members: 5\nsections: {overload: {}}", "expected ledger beside it"),
        ("members: 5", "members: 5\nkeepers: 4", "keepers"),
    ],
)
def test_what_cannot_be_is_refused(old: str, new: str, said: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse(BASE.replace(old, new), FleetScript, "f.yaml")
    assert said in str(error.value)


def test_losses_can_be_kept_to_the_ledgers_datagrams() -> None:
    ways = Ways(Links(), 1)
    way = ways.way("b0", "b1")
    way.lose, way.ledger_only = 1.0, True
    assert ways.fates("b0", "b1", b"\xc1L...") == [] and len(ways.fates("b0", "b1", b"\x95...")) == 1


def test_those_who_sum_up_are_some_of_the_members() -> None:
    names = [f"b{n}" for n in range(9)]
    assert len(summers(names)) == 3 and set(summers(names)) < set(names)


def test_a_fair_share_is_no_more_than_wanted_and_the_rest_goes_by_weight() -> None:
    assert fair_shares({"a": 1.0, "b": 10.0, "c": 10.0}, {"b": 2.0}, 10.0) == {"a": 1.0, "b": 6.0, "c": 3.0}
    assert jain([1.0, 1.0, 1.0]) == 1.0 and jain([3.0, 0.0, 0.0]) == pytest.approx(1 / 3)


class Day:
    """Queries written by hand, one each 20 ms for 30 s: glances of desk, reports of bulk; all good."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.number = 0
        self.lines: list[Any] = []

    def fill(self, change: Any = None) -> "Day":
        for turn in range(1500):
            at = turn * 20 * MS
            kind, tenant, shards = (
                ("fleet-glance", "desk", [0, 3]) if turn % 2 else ("hours-report", "bulk", [1])
            )
            fate = (change(at, kind) if change else None) or {}
            self.number += 1
            name = f"q{self.number}"
            self.lines.append(Ask(at, name, kind, shards, 5 * SECOND, 0, "", tenant))
            for shard in shards * fate.get("work", 1):
                self.lines.append(Got(at + MS, "h0", name, shard, 1, 0, 30 * MS))
            for attempt in range(fate.get("further", 0)):
                self.lines.append(Got(at + 2 * MS, "h1", name, shards[0], 1, attempt + 1, 30 * MS))
            if fate.get("halt"):
                self.lines.append(Halt(at, 0, at + SECOND, True))
            status = fate.get("status", 200)
            if status is not None:
                end = at + fate.get("took", 50 * MS)
                self.lines.append(End(end, name, status, "whole" if status == 200 else "", 1, 1))
        return self

    def judge(self, **expect: Any) -> Properties:
        path = self.folder / "clients.jsonl"
        writer = Writer(path, "clients")
        for line in self.lines:
            writer.write(line)
        writer.close()
        text = BASE.replace(
            "{settle: 5s}", "{settle: 5s, " + ", ".join(f"{k}: {v}" for k, v in expect.items()) + "}"
        )
        return Properties(parse(text, FleetScript, "f"), [path], 0, 30 * SECOND)


def loud(at: int) -> bool:
    return 10 * SECOND <= at < 20 * SECOND


ALL = {
    "usual_within": "2s", "goodput": 0.9, "order": 0.02, "elsewhere": 0.02, "further": 1.0, "quiet": 0.9,
    "tenant_share": 0.9, "unanswered": 0,
}  # fmt: skip
CASES: list[tuple[str, Any]] = [
    ("usual_share", lambda at, kind: {"took": 1900 * MS} if at > 20 * SECOND and "g" in kind else {}),
    ("usual_share", lambda at, kind: {"status": 503} if at > 23 * SECOND else {}),
    ("goodput", lambda at, kind: {"status": 503} if loud(at) and at % (60 * MS) else {}),
    ("order", lambda at, kind: {"status": 503} if loud(at) and kind == "hours-report" else {}),
    ("elsewhere", lambda at, kind: {"status": 503} if loud(at) and kind == "hours-report" else {}),
    ("further", lambda at, kind: {"further": 1} if loud(at) else {}),
    ("quiet", lambda at, kind: {"status": 503} if loud(at) and kind == "fleet-glance" else {}),
    ("tenant_share", lambda at, kind: {"status": 503} if loud(at) and kind == "fleet-glance" else {}),
    ("tries without an answer", lambda at, kind: {"status": 0} if at == 12 * SECOND else {}),
    ("tries without an answer", lambda at, kind: {"status": None} if at == 12 * SECOND else {}),
]


@pytest.mark.parametrize(("name", "change"), CASES, ids=[f"{n} {name}" for n, (name, _) in enumerate(CASES)])
def test_each_expectation_fails_where_it_should(name: str, change: Any, tmp_path: Path) -> None:
    found = Day(tmp_path).fill(change).judge(**ALL)
    assert any(name in finding for finding in found.findings), found.figures


def test_a_good_day_has_no_finding_but_that_nothing_was_refused_to_tell_an_order_by(tmp_path: Path) -> None:
    found = Day(tmp_path).fill().judge(**ALL)
    assert found.findings == ["order: too little happened to tell"], found.figures
    assert found.figures["usual"] == found.figures["usual_share"] == found.figures["goodput"] == 1.0


def test_refusals_of_the_least_worth_are_in_order_and_answers_of_killed_brokers_are_not_owed(
    tmp_path: Path,
) -> None:
    def change(at: int, kind: str) -> dict[str, Any]:
        if at == 12 * SECOND:
            return {"status": 0, "halt": True}
        return {"status": 503} if loud(at) and kind == "fleet-glance" else {}

    assert Day(tmp_path).fill(change).judge(order=0.0, unanswered=0).findings == []


def test_tries_without_an_answer_are_told_by_broker_and_end(tmp_path: Path) -> None:
    def change(at: int, kind: str) -> dict[str, Any]:
        if 12 * SECOND <= at <= 13 * SECOND:
            return {"status": 0}
        return {"status": None} if at == 14 * SECOND else {}

    [finding] = Day(tmp_path).fill(change).judge(unanswered=0).findings
    assert finding == (
        "52 tries without an answer: expected at most 0; "
        "b0: 51 connection lost, asked from 12.00 to 13.00 s, "
        "b0: 1 no end, asked from 14.00 to 14.00 s"
    )


def test_shards_are_numbered_as_brokers_number_them() -> None:
    assert {shard.name: shard.number for shard in shard_map(3).shards} == {
        "s0": 0, "s1": 3, "s2": 1, "s3": 4, "s4": 2, "s5": 5,
    }  # fmt: skip
