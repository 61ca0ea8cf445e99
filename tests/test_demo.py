"""The command line as a process: the demo's contract, a broker's stop, a short scripted day and its audit."""

import json
import os
import shutil
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path
from typing import Any

import pytest

from quincepath.config.load import load
from quincepath.lab.day import DayScript, run_day

ROOT = Path(__file__).parent.parent
COMMAND = [sys.executable, "-m", "quincepath"]
SHORT_DAY = {
    "seed": 3,
    "length": "7s",
    "rate": 40,
    "lag": "300ms",
    "leaf": {"work": "6ms", "cores": 2, "cold": "20%", "ramp": "3s"},
    "troubles": [
        {"at": "1s", "holder": "a0", "kind": "hang", "last": "2s"},
        {"at": "1500ms", "holder": "b1", "kind": "errors", "share": "70%", "last": "2s"},
        {"at": "2s", "holder": "c0", "kind": "kill", "last": "1s"},
        {"at": "4s", "holder": "b0", "kind": "drain", "last": "2s"},
        {"at": "4500ms", "holder": "a1", "kind": "cut", "share": "50%", "last": "1500ms"},
    ],
}


def children(pid: int) -> list[int]:
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.append(int(path.parent.name))
    return found


def test_demo_serves_its_contract_and_leaves_no_child() -> None:
    words = [*COMMAND, "demo", "--seed", "4"]
    with subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None and process.stderr is not None
        ready = json.loads(process.stdout.readline())
        assert set(ready) == {"remote_read", "metrics", "holders", "shard_label", "classes"}
        assert len(ready["holders"]) >= 6
        for shard in {shard for holder in ready["holders"] for shard in holder["shards"]}:
            assert sum(shard in holder["shards"] for holder in ready["holders"]) == 2
        own = children(process.pid)
        assert len(own) == 6

        def read(url: str) -> Any:
            run = subprocess.run(
                [*COMMAND, "query", url, "__name__=engine_hours", "district=~north.*", "--json"],
                capture_output=True, text=True, check=True,
            )  # fmt: skip
            return json.loads(run.stdout)

        through = read(ready["remote_read"])
        holder = next(h for h in ready["holders"] if "s0" in h["shards"])
        assert through["series"] == read(holder["url"])["series"] != []
        assert through["answer"] == "whole"
        with urllib.request.urlopen(ready["metrics"]) as page:
            text = page.read().decode()
        assert 'quincepath_queries_total{answer="whole",class="hours-report"} 1.0' in text
        process.send_signal(signal.SIGINT)
        assert process.wait(15) == 0
        lines = [json.loads(line) for line in process.stderr]
        answers = [line for line in lines if line["event"] == "final answer"]
        assert [(line["answer"], line["parts"]) for line in answers] == [
            ("whole", "2/2")
        ]  # one shard, two steps
    assert not [pid for pid in own if Path(f"/proc/{pid}").exists()]


def test_demo_on_a_taken_port_says_so_and_leaves_no_child() -> None:
    import socket

    with socket.create_server(("127.0.0.1", 0)) as taken:
        run = subprocess.run(
            [*COMMAND, "demo", "--port", str(taken.getsockname()[1])],
            capture_output=True,
            text=True,
            timeout=30,
        )
    assert run.returncode == 2 and "cannot listen" in run.stderr
    assert not children(os.getpid())


@pytest.mark.parametrize(
    ("words", "wanted"),
    [
        (["query", "http://127.0.0.1:1/x", "nonsense"], "expected LABEL=VALUE"),
        (["query", "http://127.0.0.1:1/x", "a=b"], "no answer"),
        (["serve", "-c", "/nowhere/x.yaml"], "cannot be read"),
        (["day", str(ROOT / "pyproject.toml")], "pyproject.toml:8: not YAML"),
    ],
)
def test_bad_input_ends_with_a_clear_line(words: list[str], wanted: str) -> None:
    run = subprocess.run([*COMMAND, *words], capture_output=True, text=True, timeout=30)
    assert run.returncode in (1, 2) and wanted in run.stderr and "Traceback" not in run.stderr


def test_short_bad_day_breaks_no_rule_and_the_record_can_be_judged_again(tmp_path: Path) -> None:
    record = tmp_path / "day"
    result = run_day(DayScript.model_validate(SHORT_DAY), record)
    assert result.report.findings == []
    assert result.asked > 200 and sum(result.report.outcomes.values()) == result.asked
    # A broker that refuses all would break no rule: most queries must be served, too.
    assert result.good > 0.5
    run = subprocess.run([*COMMAND, "audit", str(record)], capture_output=True, text=True)
    assert run.returncode == 0 and "no rule broken" in run.stdout
    # The same record with one answer taken out is rejected.
    shutil.copytree(record, tmp_path / "doctored")
    path = tmp_path / "doctored" / "clients.jsonl"
    lines = path.read_bytes().splitlines(keepends=True)
    at = next(n for n, line in enumerate(lines) if b'"type":"end"' in line)
    path.write_bytes(b"".join(lines[:at] + lines[at + 1 :]))
    run = subprocess.run([*COMMAND, "audit", str(tmp_path / "doctored")], capture_output=True, text=True)
    assert run.returncode == 1 and "rule 1: clients.jsonl:" in run.stdout


def test_scripts_in_examples_are_sound() -> None:
    scripts = list((ROOT / "examples").glob("*day*.yaml"))
    assert scripts
    for path in scripts:
        assert load(path, DayScript).troubles


def test_stopped_process_answers_each_query_once_when_it_goes_on(tmp_path: Path) -> None:
    """SIGSTOP for 2 s in the middle of queries: on real processes, what the virtual clock shows elsewhere."""
    words = [*COMMAND, "demo", "--seed", "4"]
    with subprocess.Popen(words, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        ready = json.loads(process.stdout.readline())
        query = [*COMMAND, "query", ready["remote_read"], "__name__=engine_hours", "--json"]
        process.send_signal(signal.SIGSTOP)
        asking = [subprocess.Popen(query, stdout=subprocess.PIPE, text=True) for _ in range(3)]
        time.sleep(2)  # the length of the stall, not a wait for something to happen
        process.send_signal(signal.SIGCONT)
        for one in asking:
            out, _ = one.communicate(timeout=20)
            assert one.returncode == 0 and json.loads(out)["answer"] == "whole"
        process.send_signal(signal.SIGTERM)
        assert process.wait(15) == 0
