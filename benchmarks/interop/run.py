"""The other client against the demo, compared sample by sample with this program's own decoding.

    python -m benchmarks.interop.run --python OTHER/bin/python

``OTHER`` is an environment with ``pure-protobuf`` and ``pyarrow``. Writes
``benchmarks/results/interop.json``; the bytes of the other library's request are kept there for a test.
"""

import json
import subprocess
import sys
import urllib.request
from pathlib import Path

import click

from benchmarks.bad_day import RESULTS, machine
from quincepath.fronts.remote_read.codec import HEADERS, decode_request, decode_response
from quincepath.standins.data import BEGIN_MS, END_MS

HERE = Path(__file__).parent
DEMO = [sys.executable, "-m", "quincepath", "--log-level", "error", "demo"]


@click.command()
@click.option("--python", required=True, help="Of the environment with the other libraries.")
def main(python: str) -> None:
    """Ask both ways and compare."""
    demo = subprocess.Popen(DEMO, stdout=subprocess.PIPE, text=True)
    try:
        assert demo.stdout is not None
        url = json.loads(demo.stdout.readline())["remote_read"]
        words = [python, str(HERE / "other_client.py"), url, "engine_hours", str(BEGIN_MS), str(END_MS)]
        said = json.loads(
            subprocess.run(words, check=True, capture_output=True, text=True, timeout=30).stdout
        )
        body = bytes.fromhex(said["request"])
        with urllib.request.urlopen(urllib.request.Request(url, body, HEADERS), timeout=10) as response:
            answer = decode_response(response.read(), 1 << 26)
    finally:
        demo.terminate()
        demo.wait(10)
    ours = [
        {
            "labels": {label.name: label.value for label in one.labels},
            "samples": [[sample.timestamp, sample.value] for sample in one.samples],
        }
        for one in answer.results[0].timeseries
    ]
    samples = sum(len(one["samples"]) for one in ours)
    same = ours == said["series"] and samples > 0
    request = decode_request(body, 1 << 20)
    RESULTS.mkdir(exist_ok=True)
    kept = {
        "machine": machine(),
        "same": same,
        "series": len(ours),
        "samples": samples,
        "mark": said["mark"],
        "request": said["request"],
        "matchers": [[m.type, m.name, m.value] for m in request.queries[0].matchers],
    }
    (RESULTS / "interop.json").write_text(json.dumps(kept, indent=1) + "\n")
    click.echo(json.dumps({key: kept[key] for key in ("same", "series", "samples", "mark")}))
    sys.exit(0 if same else 1)


if __name__ == "__main__":
    main()
