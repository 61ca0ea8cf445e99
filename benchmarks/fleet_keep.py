"""Where the figures of the fleet's view are kept."""

import json
import math
from typing import Any

import click

from benchmarks.bad_day import RESULTS, machine

FILE = RESULTS / "fleet_view.json"


def keep(name: str, value: Any) -> None:
    """Put one result beside the others."""
    found = json.loads(FILE.read_text()) if FILE.exists() else {}
    found["machine"] = machine()
    found[name] = value
    FILE.write_text(json.dumps(found, indent=1) + "\n")
    click.echo(json.dumps({name: value}, indent=1))


def percentile(values: list[float], share: float) -> float:
    """The value that so large a share lies at or below."""
    ordered = sorted(values)
    return ordered[min(math.ceil(share * len(ordered)), len(ordered)) - 1]
