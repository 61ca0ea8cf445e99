"""The audit accepts a sound record and rejects, for each rule, one that was doctored to break it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import pytest

from quincepath.lab.audit import Report, audit
from quincepath.standins.record import (
    Ask,
    Bounds,
    ClassRules,
    End,
    Got,
    Head,
    Line,
    RecordError,
    Said,
    Told,
    Up,
    Writer,
    read,
)

MS = 1_000_000
SECOND = 1000 * MS


@dataclass
class Tape:
    """Lines of a sound day of four queries; tests change one of them."""

    lines: list[Line] = field(default_factory=list)

    def query(
        self, at: int, name: str, kind: str, shards: list[int], good: list[int], mark: str = "whole"
    ) -> None:
        self.lines.append(Ask(at, name, kind, shards, 2 * SECOND))
        for shard in shards:
            self.lines.append(Got(at + 2 * MS, f"h{shard}", name, shard, 1, 0, 5 * MS))
            ok = shard in good
            self.lines.append(Said(at + 8 * MS, f"h{shard}", name, shard, 1, 0, 200 if ok else 500, ok))
        status = 200 if mark else 503
        self.lines.append(End(at + 10 * MS, name, status, mark, len(good), len(shards)))

    def change(self, kind: type, query: str, **values: object) -> None:
        for at, line in enumerate(self.lines):
            if isinstance(line, kind) and getattr(line, "query", "") == query:
                self.lines[at] = msgspec.structs.replace(line, **values)
                return
        raise AssertionError(f"no {kind.__name__} of {query}")

    def drop(self, kind: type, query: str) -> None:
        self.lines = [x for x in self.lines if not (isinstance(x, kind) and getattr(x, "query", "") == query)]


def sound() -> Tape:
    tape = Tape(
        [
            ClassRules("report", 1.0, 1.0),
            ClassRules("glance", 0.5, 0.5),
            ClassRules("loose", 1.0, 0.5),
            ClassRules("gate", 1.0, 1.0, "unsafe"),
            ClassRules("reading", 1.0, 1.0, "keyed", SECOND),
            Bounds(3, 500 * MS, 100 * MS, 2.0, 2 * SECOND, 10 * SECOND, 10 * SECOND, 2, 0.1, 1, 300 * MS),
            Up(0, "h0", 1.0, SECOND, 2e9),
            Up(0, "h1", 1.0, SECOND, 2e9),
        ]
    )
    tape.query(100 * SECOND, "q1", "report", [0, 1], [0, 1])
    tape.query(101 * SECOND, "q2", "glance", [0, 1], [0])
    tape.query(102 * SECOND, "q3", "loose", [0, 1], [1], "partial")
    tape.query(103 * SECOND, "q4", "report", [0, 1], [0], "")
    tape.query(104 * SECOND, "q5", "gate", [0], [0])
    tape.query(105 * SECOND, "q6", "reading", [0], [0])
    return tape


def judged(tape: Tape, folder: Path) -> Report:
    (folder / "day.jsonl").unlink(missing_ok=True)
    writer = Writer(folder / "day.jsonl", "test")
    for line in tape.lines:
        writer.write(line)
    writer.close()
    return audit([folder / "day.jsonl"])


def test_a_sound_record_passes(tmp_path: Path) -> None:
    report = judged(sound(), tmp_path)
    assert report.findings == []
    assert (report.queries, report.outcomes) == (6, {"partial": 1, "refused": 1, "whole": 4})
    assert report.limit_use == {"1: client's time": 0.005, "6: attempts of a part": pytest.approx(1 / 3)}


def again(query: str, shard: int, attempt: int, at: int) -> Got:
    return Got(at, "h0", query, shard, 1, attempt, 5 * MS)


def cold_rush(tape: Tape) -> None:
    tape.lines.append(Up(106 * SECOND, "h0", 0.2, 10 * SECOND, 2e9))
    tape.lines.append(Told(106 * SECOND + 500 * MS, "h0", "ready"))
    tape.lines.append(Ask(107 * SECOND, "q9", "report", [0], 2 * SECOND))
    tape.lines += [Got(107 * SECOND + n * MS, "h0", "q9", 0, 1, 0, 900 * MS) for n in range(3)]
    tape.lines += [Got(107 * SECOND + n * MS, "h0", f"other{n}", 0, 1, 0, 900 * MS) for n in range(3)]
    tape.lines.append(End(108 * SECOND, "q9", 503))


def sent_to_drained(tape: Tape) -> None:
    tape.lines.append(Told(99 * SECOND, "h1", "draining"))


def late_resend(tape: Tape) -> None:
    tape.change(End, "q6", at=106 * SECOND + 900 * MS)
    tape.lines.append(again("q6", 0, 1, 106 * SECOND + 500 * MS))


def budget_burst(tape: Tape) -> None:
    tape.lines += [again("q1", 0, 1, 100 * SECOND + 3 * MS), again("q2", 0, 1, 101 * SECOND + 3 * MS)]
    tape.lines += [again("q3", 0, 1, 102 * SECOND + 3 * MS), again("q4", 0, 1, 103 * SECOND + 3 * MS)]


DOCTORED: list[tuple[int, str, Callable[[Tape], None]]] = [
    (1, "q1 has no end", lambda tape: tape.drop(End, "q1")),
    (1, "second final answer", lambda tape: tape.lines.append(End(101 * SECOND, "q1", 503))),
    (1, "past its time", lambda tape: tape.change(End, "q1", at=103 * SECOND)),
    (1, "gave up waiting", lambda tape: tape.change(End, "q1", status=-1, at=100 * SECOND + 2250 * MS)),
    (1, "connection was lost", lambda tape: tape.change(End, "q1", status=0)),
    (1, "after its end", lambda tape: tape.lines.append(again("q1", 0, 1, 101 * SECOND))),
    (2, "unsafe query q5 was sent again", lambda tape: tape.lines.append(again("q5", 0, 1, 104_003 * MS))),
    (2, "q5 was refused though", lambda tape: tape.change(End, "q5", status=503, mark="")),
    (2, "past its window", late_resend),
    (3, "past the grace", sent_to_drained),
    (4, "h0, cold, was sent", cold_rush),
    (5, "claims 2 parts, holders gave 1", lambda tape: tape.change(Said, "q1", good=False)),
    (5, "under the floor", lambda tape: tape.change(End, "q4", status=200, mark="partial")),
    (5, "is called whole with 1 of 2", lambda tape: tape.change(End, "q3", mark="whole")),
    (5, "without an honest mark", lambda tape: tape.change(End, "q1", mark="")),
    (6, "sent more than 3 times", lambda tape: tape.change(Got, "q1", attempt=3)),
    (6, "4 extra attempts in a window", budget_burst),
]  # fmt: skip


@pytest.mark.parametrize(("rule", "what", "doctor"), DOCTORED, ids=[what for _, what, _ in DOCTORED])
def test_a_doctored_record_is_rejected_by_rule_and_line(
    tmp_path: Path, rule: int, what: str, doctor: Callable[[Tape], None]
) -> None:
    tape = sound()
    doctor(tape)
    findings = judged(tape, tmp_path).findings
    matching = [finding for finding in findings if finding.rule == rule and what in finding.what]
    assert matching, [str(finding) for finding in findings]
    number = int(matching[0].where.removeprefix("day.jsonl:"))
    assert msgspec.json.decode((tmp_path / "day.jsonl").read_bytes().splitlines()[number - 1])["type"] in (
        "ask", "end", "got",
    )  # fmt: skip


def test_margins_tell_how_near_each_limit_was_come_to(tmp_path: Path) -> None:
    tape = sound()
    tape.lines.append(Told(99 * SECOND + 700 * MS, "h1", "draining"))
    tape.lines.append(Told(100 * SECOND + 500 * MS, "h1", "ready"))
    tape.lines.append(again("q1", 0, 1, 100 * SECOND + 3 * MS))
    tape.lines.append(Up(106 * SECOND, "h0", 0.2, 10 * SECOND, 2e9))
    tape.lines.append(Told(106 * SECOND, "h0", "ready"))
    tape.query(107 * SECOND, "q7", "report", [0], [0])
    report = judged(tape, tmp_path)
    assert report.findings == []
    # News at 99.7 s, read 0.1 s later at the latest, a part at 100.002 s: 202 of 500 ms of grace.
    assert report.limit_use["3: grace after news"] == pytest.approx(202 / 500, abs=0.001)
    assert report.limit_use["6: attempts of a part"] == pytest.approx(2 / 3)
    assert report.limit_use["6: extra attempts"] == pytest.approx(1 / (2 + 0.1 * 6), abs=0.2)
    assert 0 < report.limit_use["4: window of a cold holder"] < 0.05


def test_unseen_attempts_leave_an_unsafe_part_free_to_go_again(tmp_path: Path) -> None:
    tape = sound()
    tape.change(Said, "q5", status=429, good=False)
    tape.lines.append(again("q5", 0, 1, 104 * SECOND + 9 * MS))
    tape.lines.append(Said(104 * SECOND + 9 * MS, "h0", "q5", 0, 1, 1, 200, True))
    assert judged(tape, tmp_path).findings == []


def test_a_record_without_bounds_or_queries_shows_nothing(tmp_path: Path) -> None:
    assert [f.rule for f in judged(Tape(), tmp_path).findings] == [0]


def test_a_torn_line_is_told_with_its_place(tmp_path: Path) -> None:
    path = tmp_path / "torn.jsonl"
    writer = Writer(path, "x")
    writer.close()
    path.write_bytes(path.read_bytes() + b'{"type":"ask","at":1')
    with pytest.raises(RecordError, match="torn.jsonl:2"):
        list(read(path))
    assert any("torn.jsonl:2" in str(finding) for finding in audit([path]).findings)
    path.write_bytes(msgspec.json.encode(Head("x", schema=7)) + b"\n")
    with pytest.raises(RecordError, match="schema 7, this program reads 1"):
        list(read(path))


def shared(
    mark: str = "equal", run: str = "q1", kind: str = "report", shards: list[int] | None = None
) -> Tape:
    """A try that shares the run of q1, or says so."""
    tape = sound()
    at = 100 * SECOND + 2 * MS
    tape.lines.append(Ask(at, "s1", kind, [0, 1] if shards is None else shards, 2 * SECOND))
    tape.lines.append(End(at + 8 * MS, "s1", 200, "whole", 2, 2, joined=mark, run=run))
    return tape


def findings(tape: Tape, tmp_path: Path) -> list[str]:
    return [str(finding) for finding in judged(tape, tmp_path).findings]


def test_a_try_that_shares_a_strangers_run_is_judged_by_that_run(tmp_path: Path) -> None:
    assert findings(shared(), tmp_path) == []
    assert "claims 2 parts, holders gave 0" in findings(shared(run=""), tmp_path)[0]
    assert "asked for something else" in findings(shared(shards=[0]), tmp_path)[0]
    assert "asked for something else" in findings(shared(kind="loose"), tmp_path)[0]


def test_parts_of_a_shared_run_may_go_out_while_any_of_its_tries_is_open(tmp_path: Path) -> None:
    late = Got(100 * SECOND + SECOND, "h0", "q1", 0, 2, 0, MS)
    tape = sound()
    tape.lines.append(late)
    assert "after its end" in findings(tape, tmp_path)[0]
    tape = shared()
    tape.lines.append(late)
    assert "after its end" in findings(tape, tmp_path)[0]
    tape.change(End, "s1", at=100 * SECOND + 1200 * MS)
    assert findings(tape, tmp_path) == []


def test_tries_with_one_key_are_one_ask_and_a_lingering_run_is_bounded(tmp_path: Path) -> None:
    tape = sound()
    tape.change(Ask, "q1", ask="k")
    tape.change(End, "q1", status=-1, mark="")
    tape.lines.append(Got(100 * SECOND + 550 * MS, "h0", "q1", 0, 2, 0, MS))
    given_up = [one for one in findings(tape, tmp_path) if "after its end" in one]
    assert given_up  # 540 ms after the client left, where the slack is 300
    for at, line in enumerate(tape.lines):
        if isinstance(line, Bounds):
            tape.lines[at] = msgspec.structs.replace(line, linger=300 * MS)
    assert not [one for one in findings(tape, tmp_path) if "after its end" in one]


def test_a_client_that_left_before_the_time_it_had_told_is_owed_nothing(tmp_path: Path) -> None:
    tape = sound()
    tape.change(End, "q1", status=-1, mark="", at=100 * SECOND + 1900 * MS)
    assert not [one for one in findings(tape, tmp_path) if "no final answer" in one]
    tape.change(End, "q1", at=100 * SECOND + 2100 * MS)
    assert "the client gave up waiting" in findings(tape, tmp_path)[0]
