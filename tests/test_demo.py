"""The command line as processes: demo output, shutdown of a broker, a short scripted day and its audit."""

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


def test_demo_output_answers_and_shutdown_without_child_processes() -> None:
    command = [*COMMAND, "demo", "--seed", "4"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None and process.stderr is not None
        ready = json.loads(process.stdout.readline())
        assert set(ready) == {"remote_read", "metrics", "holders", "shard_label", "classes"}
        assert len(ready["holders"]) >= 6
        for shard in {shard for holder in ready["holders"] for shard in holder["shards"]}:
            assert sum(shard in holder["shards"] for holder in ready["holders"]) == 2
        child_pids = children(process.pid)
        assert len(child_pids) == 6

        def read(url: str) -> Any:
            run = subprocess.run(
                [*COMMAND, "query", url, "__name__=engine_hours", "district=~north.*", "--json"],
                capture_output=True, text=True, check=True,
            )  # fmt: skip
            return json.loads(run.stdout)

        through_broker = read(ready["remote_read"])
        holder = next(h for h in ready["holders"] if "s0" in h["shards"])
        assert through_broker["series"] == read(holder["url"])["series"] != []
        assert through_broker["answer"] == "whole"
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
    assert not [pid for pid in child_pids if Path(f"/proc/{pid}").exists()]


def test_demo_reports_a_port_in_use_and_leaves_no_child_process() -> None:
    import socket

    with socket.create_server(("127.0.0.1", 0)) as occupied:
        run = subprocess.run(
            [*COMMAND, "demo", "--port", str(occupied.getsockname()[1])],
            capture_output=True,
            text=True,
            timeout=30,
        )
    assert run.returncode == 2 and "cannot listen" in run.stderr
    assert not children(os.getpid())


@pytest.mark.parametrize(
    ("command", "wanted"),
    [
        (["query", "http://127.0.0.1:1/x", "nonsense"], "expected LABEL=VALUE"),
        (["query", "http://127.0.0.1:1/x", "a=b"], "no answer"),
        (["serve", "-c", "/nowhere/x.yaml"], "cannot be read"),
        (["day", str(ROOT / "pyproject.toml")], "pyproject.toml:8: not YAML"),
    ],
)
def test_invalid_input_ends_with_a_clear_message(command: list[str], wanted: str) -> None:
    run = subprocess.run([*COMMAND, *command], capture_output=True, text=True, timeout=30)
    assert run.returncode in (1, 2) and wanted in run.stderr and "Traceback" not in run.stderr


def test_short_day_with_faults_breaks_no_rule_and_its_record_can_be_audited_again(tmp_path: Path) -> None:
    record = tmp_path / "day"
    result = run_day(DayScript.model_validate(SHORT_DAY), record)
    assert result.report.findings == []
    assert result.asked > 200 and sum(result.report.outcomes.values()) == result.asked
    # A broker that refuses every query would break no rule, so most queries must be served.
    assert result.good > 0.5
    run = subprocess.run([*COMMAND, "audit", str(record)], capture_output=True, text=True)
    assert run.returncode == 0 and "no rule broken" in run.stdout
    # The audit rejects the same record with one answer removed.
    shutil.copytree(record, tmp_path / "altered")
    path = tmp_path / "altered" / "clients.jsonl"
    lines = path.read_bytes().splitlines(keepends=True)
    at = next(n for n, line in enumerate(lines) if b'"type":"end"' in line)
    path.write_bytes(b"".join(lines[:at] + lines[at + 1 :]))
    run = subprocess.run([*COMMAND, "audit", str(tmp_path / "altered")], capture_output=True, text=True)
    assert run.returncode == 1 and "rule 1: clients.jsonl:" in run.stdout


def test_example_scripts_are_valid() -> None:
    scripts = list((ROOT / "examples").glob("*day*.yaml"))
    assert scripts
    for path in scripts:
        assert load(path, DayScript).troubles


def test_a_process_resumed_after_sigstop_answers_each_query_once(tmp_path: Path) -> None:
    """SIGSTOP for 2 s during queries, on real processes; other tests cover it with a virtual clock."""
    command = [*COMMAND, "demo", "--seed", "4"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        ready = json.loads(process.stdout.readline())
        query = [*COMMAND, "query", ready["remote_read"], "__name__=engine_hours", "--json"]
        process.send_signal(signal.SIGSTOP)
        clients = [subprocess.Popen(query, stdout=subprocess.PIPE, text=True) for _ in range(3)]
        time.sleep(2)  # the length of the stall, not a wait for an event
        process.send_signal(signal.SIGCONT)
        for client in clients:
            out, _ = client.communicate(timeout=20)
            assert client.returncode == 0 and json.loads(out)["answer"] == "whole"
        process.send_signal(signal.SIGTERM)
        assert process.wait(15) == 0
