"""The codec against hand-built bytes, and the adapter against valid and invalid input."""

import io
import subprocess
import sys
from pathlib import Path

import pytest

from quincepath.drill import Host, serve
from quincepath.interface import (
    Answer,
    Cancel,
    Entry,
    Fail,
    Left,
    Log,
    Members,
    Outcome,
    Part,
    Phase,
    Query,
    Refuse,
    Result,
    Scope,
    Send,
    SetTimer,
    TimerFired,
)
from quincepath.settings import SettingsError, read_settings
from quincepath.wire import Fault, Lists, Start, Stop, WireError, decode_batch, encode_reply

ROOT = Path(__file__).parent.parent
NODE = bytes.fromhex("0a124a07232b")
SETTINGS = """instances=2
tick=5000000
classes.count=1
classes.0.deadline=3000000000
classes.0.effect=read_like
classes.0.target=1500000000
specifics.places=1
specifics.inARow=1
specifics.needByClass=1.0
limits.tryLimit=3
limits.mayCancel=true
limits.mayDuplicate=true
rules.drainGrace=500000000
rules.coldShare=0.18
rules.rampTime=17000000000
rules.fallMultiple=2.0
rules.overloadFor=2000000000
some.future.key=whatever
"""


def record(text: str) -> bytes:
    return bytes.fromhex(text.replace(" ", "")).ljust(56, b"\0")


def batch(now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(records) + tail
    return now.to_bytes(8) + len(body).to_bytes(4) + len(records).to_bytes(4) + body


def start(instance: int, settings_text: str) -> bytes:
    return record(f"0a {instance:08x} 0000000000000007 00000000 {len(settings_text):08x}")


def test_requests_timers_and_disconnects() -> None:
    rows = [
        record(
            "1e 00000003 5d3a91c4 0000000000b71b00 41100000 91f03b7c55d20a64 0003 01 0002"
            "000000000e4e1c00 bf800000 43560000"
        ),
        record(
            "1e 00000003 5d3a91c5 0000000000b71b00 3e000000 91f03b7c55d20a64 0000 01 0002"
            "000000000e4e1c00 40a00000 43560000"
        ),
        record("46 00000003 000000000000004d"),
        record("3c 00000005 0e6f2b19"),
        record("64 00000006"),
    ]
    key = 0x91F03B7C55D20A64
    assert decode_batch(b"".join(rows), 5, {}) == [
        (3, Query(0x5D3A91C4, 214, 9, 1, 2, 240_000_000, key, 0xB71B00, True)),
        (3, Part(0x5D3A91C5, 214, 0.125, 5, key, 0)),
        (3, TimerFired(0x4D)),
        (5, Left(0x0E6F2B19)),
        (6, Stop()),
    ]


def test_outcome_with_a_load_report() -> None:
    row = record("32 00000003 5d3a91c4 0001 0a124a07232b 012f 00000000011a49a0 01 02 3f800000 40000000")
    assert decode_batch(row, 1, {}) == [
        (3, Outcome(0x5D3A91C4, 1, NODE, Result.TIMEOUT, 0x11A49A0, True, (1.0, 2.0)))
    ]


def test_lists_are_resolved_in_event_order() -> None:
    one = bytes.fromhex("00 00 0a124a07232b 0000000000000000 0000 01 3f800000".replace(" ", ""))
    two = bytes.fromhex("00 01 0a9011f22354 000000016b969d00 0002 03 3fc00000".replace(" ", ""))
    update = record("14 00000003 02 00000029 0000")
    rows = [record("6e 0000 00000000 00000001"), update, record("6e 0000 00000017 00000001"), update]
    lists: Lists = {}
    found = decode_batch(b"".join(rows) + one + two, 4, lists)
    first = Entry(NODE, 0, 0, 0, 0, Phase.READY, 1.0)
    second = Entry(bytes.fromhex("0a9011f22354"), 0, 1, 2, 0x16B969D00, Phase.DRAINING, 1.5)
    assert found == [
        (3, Members(Scope.CACHED, 41, (first,))),
        (3, Members(Scope.CACHED, 41, (second,))),
    ]


def test_actions() -> None:
    reply = encode_reply(
        [
            (3, Send(0x5D3A91C4, NODE, 80_000_000)),
            (3, SetTimer(0x213362490, 0x4D)),
            (5, Log("two servers known")),
            (3, Answer(0x0E6F2B19, True)),
            (3, Cancel(1, 2)),
            (3, Refuse(4, 9)),
            (3, Fail(5)),
            (3, Fault("x")),
        ]
    )
    rows = [
        "0a 00000003 5d3a91c4 0a124a07232b 0000000004c4b400",
        "32 00000003 0000000213362490 000000000000004d",
        "5a 00000005 00000000 00000011",
        "82 00000003 0e6f2b19 01",
        "28 00000003 00000001 0002",
        "14 00000003 00000004 0000000000000009",
        "1e 00000003 00000005",
        "64 00000003 00000011 00000001",
    ]
    body = b"".join(bytes.fromhex(row.replace(" ", "")).ljust(24, b"\0") for row in rows)
    tail = b"two servers knownx"
    assert reply == len(rows).to_bytes(4) + (len(body) + len(tail)).to_bytes(4) + body + tail


@pytest.mark.parametrize(
    ("body", "count", "words"),
    [
        (b"\0" * 56, 1, "unknown event code 0"),
        (b"\0" * 50, 1, "do not fit"),
        (record("6e 0000 00000000 00000002"), 1, "past the tail"),
        (record("14 00000003 09 00000029 0000"), 1, "unknown list scope 9"),
        (record("14 00000003 01 00000029 0004"), 1, "list 4 was never registered"),
        (record("32 00000003 5d3a91c4 0001 0a124a07232b 0001"), 1, "unknown outcome 1"),
    ],
)
def test_errors_of_malformed_frames_say_what_and_where(body: bytes, count: int, words: str) -> None:
    with pytest.raises(WireError, match=words):
        decode_batch(body, count, {})


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "quincepath.drill"], cwd=ROOT, input=data, capture_output=True
    )


def test_adapter_ends_cleanly_at_the_end_of_input() -> None:
    done = run_adapter(batch(1, []))
    assert (done.returncode, done.stdout, done.stderr) == (0, b"\0" * 8, b"")


@pytest.mark.parametrize("cut", [7, 20])
def test_adapter_reports_a_truncated_frame_in_one_line(cut: int) -> None:
    done = run_adapter(batch(1, [record("46 00000003 000000000000004d")])[:cut])
    assert done.returncode == 2 and done.stdout == b""
    assert done.stderr.count(b"\n") == 1 and b"input ends inside" in done.stderr


def test_missing_and_unreadable_settings_are_named() -> None:
    with pytest.raises(SettingsError, match="rules.coldShare is missing"):
        read_settings(SETTINGS.replace("rules.coldShare=0.18\n", ""))
    with pytest.raises(SettingsError, match="tick is unreadable"):
        read_settings(SETTINGS.replace("tick=5000000", "tick=soon"))
    assert read_settings(SETTINGS).rules.budget_window == 0


def test_settings_of_calls_and_lists_are_parsed_and_default_to_zero() -> None:
    settings_text = SETTINGS + "specifics.perCallWork=53000000\nrules.mustAskIn=7000000000\n"
    assert read_settings(settings_text).call_work == 53_000_000
    assert read_settings(settings_text).rules.must_ask_in == 7_000_000_000
    left_out = ("specifics.perCallWork", "rules.mustAskIn")
    bare = "".join(line + "\n" for line in SETTINGS.splitlines() if not line.startswith(left_out))
    assert read_settings(bare).call_work == 0 and read_settings(bare).rules.must_ask_in == 0
    with pytest.raises(SettingsError, match="specifics.perCallWork is unreadable"):
        read_settings(bare + "specifics.perCallWork=much\n")


def test_bad_settings_stop_that_instance_only() -> None:
    sink = io.BytesIO()
    serve(io.BytesIO(batch(1, [start(3, "tick=1")], b"tick=1")), sink)
    assert sink.getvalue()[8:13] == bytes.fromhex("6400000003") and b"instances is missing" in sink.getvalue()


def test_an_exception_in_a_decision_stops_that_instance_only(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Host()
    host.run(1, [(3, Start(1, SETTINGS)), (4, Start(1, SETTINGS))])

    def broken(now: int, events: object) -> list[object]:
        raise RuntimeError("lost count")

    monkeypatch.setattr(host.instances[3], "handle", broken)
    out = host.run(2, [(3, TimerFired(1)), (4, TimerFired(1))])
    assert out == [(3, Fault("decision failed: RuntimeError: lost count"))]
    assert list(host.instances) == [4]


def test_events_for_instances_that_are_not_running_are_logged(capsys: pytest.CaptureFixture[str]) -> None:
    host = Host()
    assert host.run(1, [(9, TimerFired(1)), (8, Stop())]) == []
    logged = capsys.readouterr().err
    assert "instance 9" in logged and "instance 8" in logged


def test_kill_and_restart_in_one_batch_drop_earlier_events() -> None:
    host = Host()
    host.run(1, [(3, Start(1, SETTINGS))])
    old = host.instances[3]
    host.run(2, [(3, TimerFired(1)), (3, Stop()), (3, Start(2, SETTINGS))])
    assert host.instances[3] is not old
