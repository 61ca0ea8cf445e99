"""Scale runs as tests play them: through the command line, once more where the machine was too busy."""

import json
from pathlib import Path
from typing import Any

from benchmarks.capacity.scale import command
from benchmarks.capacity.scale.result import Verdict

TRIES = 2


def played(folder: Path, *options: str) -> dict[str, Any]:
    """The result of a run; a void one is played once more, and is then taken as it is."""
    found: dict[str, Any] = {}
    for attempt in range(TRIES):
        out = folder / f"result-{attempt}.json"
        status = command.main([*options, "--out", str(out)])
        found = json.loads(out.read_text())
        assert command.STATUS[Verdict(found["verdict"])] == status
        if found["verdict"] != Verdict.VOID:
            break
    return found


def known_by_all(result: dict[str, Any], what: str) -> bool:
    """Whether an event took place and each broker that ran came to know of it."""
    found = [event for event in result["events"] if event["what"] == what]
    return len(found) == 1 and found[0]["known_by"] == found[0]["of"] and not found[0]["lacking"]
