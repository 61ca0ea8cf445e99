"""Never too many out at once: whoever is out counts, whatever the reason, and permits do not expire."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepath.fleet.budget import Limit, Limits, Reason, Refusal, Unit, checks, refusals
from quincepath.fleet.consensus.entries import Entry
from quincepath.fleet.permits import (
    MAX_HISTORY,
    MAX_RESULTS,
    Back,
    Begun,
    Close,
    Command,
    Grant,
    Halt,
    Permits,
    Resume,
    State,
    encode,
)  # fmt: skip

UNITS = {f"b{n}": Unit(f"b{n}", "broker", "upper" if n % 2 else "lower") for n in range(8)}
UNITS |= {
    f"{group}{n}": Unit(f"{group}{n}", "holder", "upper" if n % 2 else "lower", (group,))
    for group in ("s", "t")
    for n in range(3)
}
LIMITS = {
    "broker": Limits(total=Limit(share=0.4), zone=Limit(number=2)),
    "holder": Limits(total=Limit(number=3), zone=Limit(number=3), ready_least=2),
}
HOUR = 3600_000


def violations(name: str, out: dict[str, Reason]) -> list[Refusal]:
    return refusals(name, checks(name, UNITS, LIMITS), out)


class Log:
    """A log of entries applied in order."""

    def __init__(self) -> None:
        self.permits = Permits()
        self.entries: list[Entry] = []
        self.count = 0

    def append(self, command: Command) -> str:
        """Append and apply; returns the reason of a refusal, empty for done."""
        entry = Entry(len(self.entries) + 1, 1, encode(command))
        self.entries.append(entry)
        self.permits.apply(entry)
        return self.permits.state.results[command.id]

    def grant(self, name: str, at: int = 0, last: int = HOUR, **out: str) -> str:
        self.count += 1
        limits = checks(name, UNITS, LIMITS) if name in UNITS else ()
        return self.append(Grant(f"g{self.count}", "ann", at, name, "drain", at + last, limits, out))

    def submit(self, kind: Any, name: str, *more: str) -> str:
        self.count += 1
        return self.append(kind(f"s{self.count}", "ann", 1, name, *more))


# --- budget ---


@pytest.mark.parametrize(
    ("limit", "configured", "most"),
    [
        (Limit(number=2), 10, 2),
        (Limit(share=0.25), 10, 2),
        (Limit(share=0.05), 10, 1),  # rounded down, and at least one
        (Limit(share=0.05, least=0), 10, 0),
        (Limit(number=1, share=0.5), 10, 1),
        (Limit(share=0.3), 10, 3),  # 0.3 * 10 is a little under 3 in floats
        (Limit(), 10, 10),
    ],
)
def test_shares_are_rounded_down_and_the_smaller_limit_counts(
    limit: Limit, configured: int, most: int
) -> None:
    assert limit.maximum(configured) == most


def test_the_last_ready_nodes_of_a_set_stay_and_the_refusal_names_who_is_out() -> None:
    assert violations("s0", {}) == []
    found = violations("s0", {"s1": Reason.SUSPECT})
    assert [str(one) for one in found] == [
        "holders of replica set 's': at most 1 out, would be 2; out now: s1 (suspected)"
    ]
    assert violations("t0", {"s1": Reason.SUSPECT}) == []


@pytest.mark.parametrize("reason", Reason)
def test_every_reason_counts(reason: Reason) -> None:
    out = {"b0": reason, "b1": reason, "b2": reason}
    texts = " ".join(str(one) for one in violations("b4", out))
    assert "brokers: at most 3 out, would be 4" in texts and f"b0 ({reason.value})" in texts


def test_a_failed_unit_may_be_repaired_unless_the_limits_are_violated_already() -> None:
    dead = Reason.DEAD
    assert violations("s1", {"s1": dead}) == []
    assert violations("s1", {"s1": dead, "s0": dead}) != []  # the budget is exceeded by failures already


# --- permits ---


def test_concurrent_requests_for_both_nodes_get_one_permit() -> None:
    log = Log()
    assert log.grant("s0") == ""
    assert "replica set 's'" in log.grant(
        "s1"
    )  # as if its leader had not known of the first when it proposed it
    assert list(log.permits.state.permits) == ["s0"]


def test_a_permit_does_not_expire_and_an_overdue_one_blocks_all_grants() -> None:
    log = Log()
    log.grant("b0", last=1000)
    assert log.permits.overdue(1000) == [] and log.permits.overdue(1001) == ["b0"]
    refusal = log.grant("b1", at=5000)
    assert refusal.startswith("overdue: b0")
    assert "b0" in log.permits.state.permits  # indefinitely, if need be
    assert log.permits.out({}, 5000) == {"b0": Reason.OVERDUE}
    assert log.submit(Back, "b0") == ""
    assert log.grant("b1", at=5000) == ""


def test_beliefs_at_the_proposal_count_when_the_grant_is_applied() -> None:
    log = Log()
    assert "suspected" in log.grant("s0", s1="SUSPECT")
    assert "believed dead" in log.grant("b0", b1="DEAD", b2="DEAD", b3="LEFT")
    assert log.grant("b0", b1="DEAD") == ""
    assert "suspected" in log.grant("t0", t1="A_WORD_OF_A_LATER_VERSION")


def test_a_halt_stops_grants_only_and_commands_are_idempotent() -> None:
    log = Log()
    log.grant("b0")
    assert log.append(Halt("h", "ann", 1, "crashes")) == ""
    assert log.grant("b1") == "halted: crashes"
    assert log.submit(Begun, "b0") == "" and log.submit(Back, "b0") == ""
    assert log.append(Resume("r", "ann", 1)) == ""
    assert log.append(Halt("h", "ann", 1, "crashes")) == ""  # the same command again
    assert log.permits.state.halted == "" and log.grant("b1") == ""
    assert "b1 has a permit already, by ann" in log.grant("b1")
    assert log.submit(Back, "b5") == "b5 has no permit"
    assert log.submit(Close, "b1", "its machine is gone") == ""
    assert "none of the configured" in log.grant("b77")
    assert [line.result for line in log.permits.state.history if line.what == "close"] == ["done"]


def test_an_unreadable_command_changes_nothing_and_is_in_the_history() -> None:
    log = Log()
    log.permits.apply(Entry(1, 1, b"\x93nonsense"))
    assert log.permits.state.permits == {} and log.permits.state.history[0].result.startswith("refused")


def test_history_and_results_are_bounded() -> None:
    log = Log()
    for number in range(MAX_RESULTS + 100):
        log.append(Halt(f"x{number}", "ann", 1, "again"))
    assert len(log.permits.state.history) == MAX_HISTORY and len(log.permits.state.results) == MAX_RESULTS


def test_a_snapshot_is_complete_and_another_schema_is_refused() -> None:
    log = Log()
    log.grant("b0")
    log.submit(Begun, "b0")
    other = Permits()
    other.load(log.permits.dump())
    assert other.state == log.permits.state and other.status(HOUR + 1)["overdue"] == ["b0"]
    with pytest.raises(ValueError, match="permits of schema 9"):
        other.load(encode(State(schema=9)))  # type: ignore[arg-type]


NAMES = sorted(UNITS)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["grant", "grant", "grant", "begun", "back", "close", "halt", "resume"]),
        st.sampled_from(NAMES),
        st.lists(st.sampled_from(NAMES), max_size=3),
        st.integers(0, 5000),
    ),
    max_size=60,
)


@given(STEPS)
@settings(max_examples=200, deadline=None)
def test_permits_alone_never_violate_a_limit_and_every_replica_has_the_same_state(steps: Any) -> None:
    log = Log()
    for kind, name, believed, at in steps:
        before = set(log.permits.state.permits)
        match kind:
            case "grant":
                log.grant(name, at, 2000, **dict.fromkeys(believed, "DEAD"))
            case "begun":
                log.submit(Begun, name)
            case "back":
                log.submit(Back, name)
            case "close":
                log.submit(Close, name, "x")
            case "halt":
                log.count += 1
                log.append(Halt(f"h{log.count}", "ann", at, "x"))
            case "resume":
                log.count += 1
                log.append(Resume(f"r{log.count}", "ann", at))
        permits = log.permits.state.permits
        assert before - set(permits) <= ({name} if kind in ("back", "close") else set())
        out = dict.fromkeys(permits, Reason.PERMITTED)
        for held in permits:
            assert violations(held, out) == [], "permits break a limit by themselves"
    replayed = Permits()
    half = len(log.entries) // 2
    for entry in log.entries[:half]:
        replayed.apply(entry)
    replayed.load(replayed.dump())
    for entry in log.entries[half:]:
        replayed.apply(entry)
    assert replayed.state == log.permits.state
