"""Sixty brokers, three of them processes of their own: one change and one kill that somebody never hears of.

What is asked is whether all come to know, not how fast: a slow machine makes the run slower, not false.
"""

from pathlib import Path

import pytest

from tests.capacity_scale.runs import known_by_all, played


def test_all_sixty_know_of_a_change_and_of_a_kill(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    result = played(tmp_path, "--brokers", "60", "--real", "3", "--duration", "5", "--processes", "2")
    assert result["verdict"] in ("good", "void"), result["why"]
    assert (result["real"], result["hollow"]) == (3, 57)
    for what, running in (("drain", 60), ("drain is over", 60), ("kill", 59)):
        assert known_by_all(result, what)
        assert [event["of"] for event in result["events"] if event["what"] == what] == [running]
    assert result["digests"] == 1
    assert result["changes"]["committed"] == 10
    assert result["changes"]["subscribers"] == 57 and result["changes"]["relays"] == 3
    assert result["changes"]["in_force_most_s"] >= result["changes"]["in_force_median_s"] > 0
    assert result["real_brokers"]["queries_answered"] > 0
    for name in ("view", "ledger", "log", "configuration"):
        figures = result["by_mechanism"][name]
        assert figures["messages_a_second"] > 0 and figures["bytes_a_second"] > 0
        assert figures["processor_ms_a_second"] > 0 and figures["memory_bytes"] > 0
    printed = capsys.readouterr()
    assert printed.out.count("\n") == printed.out.count('{"verdict"') > 0  # one line of JSON a run
    assert "calm: " in printed.err
