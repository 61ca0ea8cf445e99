"""Counts of members under every order, loss and duplication of a few reports; finds two planted bugs."""

import itertools
import random
import types
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import quincepath.fleet.load_reports.member_counts as member_counts
from quincepath.fleet.load_reports import Count, LoadCounter, LoadReportSettings
from quincepath.fleet.load_reports.fields import (
    FIELD_COUNT,
    FIRST_REPLICA_SET_FIELD,
    SLOT_TIME_FIELD,
    decode_runs,
    encode_runs,
    flatten,
)
from quincepath.fleet.load_reports.load_counter import MAX_TRACKED_TENANTS
from quincepath.fleet.load_reports.messages import (
    MAX_BODY_BYTES,
    Report,
    ReportBuilder,
    SumMessage,
    TenantUse,
    encode,
    fit_tenants,
    pack,
    split_sum,
    unpack,
)
from quincepath.fleet.load_reports.types import MAX_NAMED_TENANTS, MS, SECOND
from quincepath.fleet.messages import MAX_DATAGRAM_BYTES, Rejected

LONG = LoadReportSettings(window=1000 * SECOND, forget=1000 * SECOND)
# (boot, sequence, uptime in ms, queries taken); the second boot began at 2.0 s, after the first ended
SENT = [(1, 1, 500, 2), (1, 2, 1000, 5), (1, 3, 1500, 9), (2, 1, 400, 1), (2, 2, 900, 4)]
STARTED = {1: 0, 2: 2000}
CONCURRENT = {1: 0, 2: 100}  # or it runs beside the first
OLDEST: dict[int, int] = {}  # or the reports are as old as possible


def mutant(name: str, *changes: tuple[str, str]) -> Any:
    """The module with some of its source lines replaced."""
    source = Path(str(member_counts.__file__)).read_text()
    for old, new in changes:
        assert source.count(old) == 1, old
        source = source.replace(old, new)
    module = types.ModuleType(name)
    __import__("sys").modules[name] = module
    exec(compile(source, name, "exec"), module.__dict__)
    return module


def deliver(
    module: Any, sent: list[tuple[int, ...]], started: dict[int, int], views: list[int | None]
) -> list[str]:
    """Deliver the reports in this order, one every 100 ms from 3 s on; returns the violations found."""
    counts = module.MemberCounts(LONG, Counter())
    highest: dict[int, int] = {}
    previous, findings = 0, []
    for step, ((boot, number, uptime, queries), live_boot) in enumerate(zip(sent, views, strict=True)):
        now = 3000 + 100 * step
        up = now - started[boot] if started else uptime
        counts.apply_report(now * MS, "a", boot, Report(number, up, 0, 0, (0, 1, queries)), live_boot)
        highest[boot] = max(highest.get(boot, 0), queries)
        [(_, sums)] = counts.window_sums(now * MS)
        found = sums.values.get(0, 0)
        if found > sum(highest.values()):
            findings.append(f"{found} of {highest} at most")
        if found < previous:
            findings.append(f"{found} after {previous}")
        if len(highest) == 1 and found != highest[boot]:
            findings.append(f"{found}, not {highest}")
        previous = found
    return findings


def explore_deliveries(module: Any, depth: int) -> tuple[int, list[str]]:
    """Every sequence of reports, each lost, once or repeated, with three constant and two changing views."""
    deliveries, findings = 0, []
    view_sequences: list[list[int | None]] = [
        [None] * depth,
        [1] * depth,
        [2] * depth,
        [1, 2] * depth,
        [1, 1, 2, 2] * depth,
    ]
    for length in range(1, depth + 1):
        for order in itertools.product(SENT, repeat=length):
            for views, started in itertools.product(view_sequences, (STARTED, CONCURRENT, OLDEST)):
                deliveries += 1
                findings += deliver(module, list(order), started, views[:length])
    return deliveries, findings


def test_no_reordering_loss_or_duplication_counts_twice_or_decreases() -> None:
    deliveries, findings = explore_deliveries(member_counts, 4)
    assert deliveries == 15 * (5 + 25 + 125 + 625)
    assert findings == []


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param([("if value > (previous or 0):", "if value != (previous or 0):")], id="merged by last"),
        pytest.param(
            [
                ("if new.boot not in member.previous_boots:", "if True:"),
                ("if new.started_at > old.last_report_at - self._settings.period", "if True"),
            ],
            id="a new boot adds its old counts",
        ),
    ],
)  # fmt: skip
def test_planted_bugs_are_found(changes: list[tuple[str, str]]) -> None:
    assert explore_deliveries(mutant("member_counts_planted", *changes), 3)[1]


def test_a_clean_restart_counts_both_boots_completely() -> None:
    counts = member_counts.MemberCounts(LONG, Counter())
    for now, boot, up, queries, live_boot in [
        (500, 1, 500, 9, 1),
        (2400, 2, 400, 1, 1),
        (2900, 2, 900, 4, 2),
    ]:
        counts.apply_report(now * MS, "a", boot, Report(now, up, 0, 0, (0, 1, queries)), live_boot)
    [(_, sums)] = counts.window_sums(2900 * MS)
    assert sums.values == {0: 13}


def test_memory_is_bounded() -> None:
    counts = member_counts.MemberCounts(LoadReportSettings(), Counter())
    for step in range(3000):
        now = step * 10 * MS
        uses = (TenantUse(f"tenant-{step}", step),)
        counts.apply_report(
            now, f"b{step % 300}", step % 7, Report(step, step, 0, 0, (0, 1, step), uses), None
        )
    assert len(counts) == member_counts.MAX_MEMBERS
    for member in counts._members.values():
        assert (
            len(member.competing) <= member_counts.MAX_COMPETING
            and len(member.previous_boots) <= member_counts.MAX_PREVIOUS_BOOTS
        )
    one = member_counts.MemberCounts(LoadReportSettings(), Counter())
    for step in range(3000):
        one.apply_report(
            step * MS * 10,
            "a",
            1,
            Report(step, step * 10, 0, 0, (0, 1, step), (TenantUse(f"t{step}", step),)),
            1,
        )
    member = one._members["a"]
    assert len(member.tenant_slot_ms) <= member_counts.MAX_MEMBER_TENANTS and len(member.checkpoints) < 64
    one.expire(100 * SECOND)
    assert len(one) == 0


@pytest.mark.parametrize("runs", [(0,), (0, 2, 1), (FIELD_COUNT, 1, 1), (5, 0), (FIELD_COUNT - 1, 2, 1, 1)])
def test_malformed_runs_change_nothing(runs: tuple[int, ...]) -> None:
    counts = member_counts.MemberCounts(LoadReportSettings(), Counter())
    with pytest.raises(ValueError, match="runs"):
        counts.apply_report(0, "a", 1, Report(1, 0, 0, 0, runs), None)
    assert len(counts) == 0


# --- load counter and messages ---


def test_heavy_tenants_are_named_among_a_hundred_thousand_names() -> None:
    counter, rng = LoadCounter(0), random.Random(1)
    used: Counter[str] = Counter()
    before: dict[str, int] = {}
    for step in range(100_000):
        name = f"loud-{step // 2 % 8}" if step % 2 else f"invented-{rng.randrange(100_000)}"
        counter.add_slot_time(name, 10 * MS)
        used[name] += 10 * MS
        if step % 5000 == 4999:
            counts = counter.snapshot(step * MS)
            assert len(counts.tenants) <= MAX_NAMED_TENANTS and len(counter._tenants) <= MAX_TRACKED_TENANTS
            assert {f"loud-{place}" for place in range(8)} <= set(counts.tenants)
            for tenant, count in counts.tenants.items():
                assert count.slot_time - count.base <= used[tenant]  # never more than was used
                assert count.slot_time >= before.get(tenant, 0)  # and it only grows
                before[tenant] = count.slot_time
    assert counts.slot_time == sum(used.values())


def test_classes_and_replica_sets_beyond_the_limits_are_counted_as_uncounted() -> None:
    counter = LoadCounter(0)
    counter.count_arrival(99, 0.5)
    counter.count_replica_set(5000, demand=1)
    counter.add_slot_time("x" * 65, MS)
    counter.count_outcome(0, Count.LATE)
    counts = counter.snapshot(SECOND)
    assert (
        counter.uncounted == 2 and not counts.replica_sets and not counts.tenants and counts.slot_time == MS
    )
    with pytest.raises(ValueError, match="TAKEN"):
        counter.count_outcome(0, Count.TAKEN)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.integers(0, FIELD_COUNT - 1), st.integers(1, (1 << 53) - 1), max_size=400),
    st.integers(0, 1 << 30),
)
def test_reports_fit_datagrams_and_every_field_is_sent(values: dict[int, int], seed: int) -> None:
    rng, builder = random.Random(seed), ReportBuilder(2)
    received: dict[int, int] = {}
    uses = [TenantUse("t" * 60 + str(place), 1 << 40, 9, 1 << 40) for place in range(MAX_NAMED_TENANTS)]
    named = set()
    for _ in range(41):
        for number in rng.sample(sorted(values), len(values) // 2):  # half of all change each time
            values[number] = min(values[number] + 1, (1 << 53) - 1)
        reports = builder.build(values, uses, 1 << 40, 1000, 1 << 20)
        assert 1 <= len(reports) <= 2
        for report in reports:
            data = pack("f" * 32, "s" * 32, (1 << 63) - 1, "t" * 32, encode(report))
            assert len(data) <= MAX_DATAGRAM_BYTES
            assert unpack(data, "f" * 32, "t" * 32)[1] == report
            received.update(decode_runs(report.runs))
            named |= {use.name for use in report.tenants}
    assert set(received) == set(values) and len(named) == MAX_NAMED_TENANTS


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.dictionaries(st.integers(0, FIELD_COUNT - 1), st.integers(1, (1 << 53) - 1), max_size=900))
def test_sums_are_split_into_parts_that_fit_and_name_all_fields(values: dict[int, int]) -> None:
    parts = split_sum(values, MAX_BODY_BYTES // 2)
    assert [low for low, _, _ in parts[1:]] == [high for _, high, _ in parts[:-1]]
    assert parts[0][0] == 0 and parts[-1][1] == FIELD_COUNT
    assert dict(pair for _, _, runs in parts for pair in decode_runs(runs)) == values
    for low, high, runs in parts:
        assert all(low <= number < high for number, _ in decode_runs(runs))
        uses = (
            fit_tenants((TenantUse("t" * 64, 1 << 40, 1 << 20) for _ in range(32)), MAX_BODY_BYTES // 2)
            if not low
            else None
        )
        highest = 1 << 20
        body = SumMessage(
            True, 4, 1024, 1024, 1 << 40, highest, highest, highest, highest, low, high, runs, uses
        )
        assert len(pack("f" * 32, "s" * 32, (1 << 63) - 1, "t" * 32, encode(body))) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    ("data", "cause"),
    [
        (b"", "unreadable"),
        (b"\xc1Lnonsense", "unreadable"),
        (b"\xc1L" + bytes(MAX_DATAGRAM_BYTES), "too large"),
        (pack("other", "a", 1, "me", encode(Report(1, 0, 0, 0, ()))), "wrong fleet"),
        (pack("f", "a", 1, "you", encode(Report(1, 0, 0, 0, ()))), "wrong name"),
        (pack("f", "me", 1, "me", encode(Report(1, 0, 0, 0, ()))), "wrong name"),
        (b"\xc1L" + bytes([0x97, 9, 9, 0xA1]) + b"f\xa1a\xa2me\x01\x91\x63", "too new"),
        (b"\xc1L" + bytes([0x97, 0, 0, 0xA1]) + b"f\xa1a\xa2me\x01\x91\x63", "too old"),
        (b"\xc1L" + bytes([0x97, 1, 1, 0xA1]) + b"f\xa1a\xa2me\x01\x91\x63", "unknown kind"),
    ],
)
def test_invalid_messages_are_dropped(data: bytes, cause: str) -> None:
    with pytest.raises(Rejected) as found:
        unpack(data, "f", "me")
    assert found.value.cause == cause


def test_a_longer_message_of_a_newer_version_is_decoded() -> None:
    values = flatten(LoadCounter(0).snapshot(SECOND))
    assert values == {} and encode_runs(
        {SLOT_TIME_FIELD: 7, FIRST_REPLICA_SET_FIELD: 1}, [SLOT_TIME_FIELD, FIRST_REPLICA_SET_FIELD]
    ) == (SLOT_TIME_FIELD, 1, 7, FIRST_REPLICA_SET_FIELD, 1, 1)
    raw = encode(Report(1, 0, 0, 0, (0, 1, 5)))
    longer = b"\x98" + bytes(raw)[1:] + b"\xa3new"
    assert bytes(raw)[0] == 0x97
    found = unpack(pack("f", "a", 1, "me", msgspec.Raw(longer)), "f", "me")[1]
    assert isinstance(found, Report) and found.runs == (0, 1, 5)
