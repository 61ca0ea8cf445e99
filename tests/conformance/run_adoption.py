"""Runner of the adoption table: commands in order -> the step, versions, and the result of each command.

A command is a mapping with ``do``; maps are named as in tests/fleet/adoption/builders.
``then``: ``step``, ``used``, ``before``, ``newest``, ``maps`` (numbers), ``said`` (result of each command,
"" for applied), ``last`` (of the last one), ``halted``, ``kept`` (adoptions in the record), ``reread``
(whether a snapshot restores the same state).
"""

from typing import Any

from quincepath.fleet.adoption import EMPTY_RECORD, Map, MapVerdict
from quincepath.fleet.budget import Check
from quincepath.fleet.forecast import decode_record
from quincepath.fleet.permits import Back, Close, Grant, Halt, Permits, Resume
from tests.conformance.runner import runner
from tests.fleet.adoption import builders

MAPS = {"first": builders.FIRST, "split": builders.SPLIT, "moved": builders.MOVED}
FIGURES = {"good": builders.GOOD, "bad": builders.BAD, "none": (), "unknown": (("colour", "", 1.0),)}


def map_of(given: Any) -> Map:
    if isinstance(given, str):
        return MAPS[given]
    if "size" in given:
        values = tuple(f"{n:0200d}" for n in range(given["size"]))
        return Map("zone", (*builders.FIRST.entries, ("big", "g1", values)))
    return Map(
        given.get("label", "zone"), tuple((n, g, tuple(values)) for n, (g, values) in given["shards"].items())
    )


def command(log: builders.Log, one: dict[str, Any]) -> str:
    fields = {key: value for key, value in one.items() if key not in ("do", "map", "answer", "why")}
    for key in ("staged", "brokers"):
        if key in fields:
            fields[key] = tuple(fields[key])
    for key in ("needs", "proved"):
        if key in fields:
            fields[key] = {name: tuple(shards) for name, shards in fields[key].items()}
    found = map_of(one.get("map", "split"))
    match one["do"]:
        case "propose":
            return log.propose(found, **({**fields, "base": None} if "base" in fields else fields))
        case "adopt":
            judged = builders.judged(found, one.get("answer", "accept"), *one.get("why", ()))
            return log.adopt(found, judged=MapVerdict() if one.get("answer") == "none" else judged, **fields)
        case "use":
            return log.use(one["number"], found, **{k: v for k, v in fields.items() if k != "number"})
        case "measured":
            fields["figures"] = FIGURES[fields.get("figures", "good")]
            if "using" in fields:
                fields["using"] = {name: tuple(pair) for name, pair in fields["using"].items()}
            return log.measured(fields.pop("number"), **fields)
        case "away":
            return log.away(**fields)
        case "back":
            return log.back(**fields)
        case "halt":
            return log.put(Halt, why="by hand")
        case "resume":
            return log.put(Resume)
        case "grant":
            check = (Check("holders", 1, ("h1",)),)
            at = fields.get("at", 0)
            return log.put(Grant, at, name="h1", purpose="drain", overdue_at=at + 10_000, checks=check)
        case "close":
            return log.put(Close, fields.get("at", 0), name="h1", why="")
        case "undrain":
            return log.put(Back, fields.get("at", 0), name="h1")
    raise ValueError(f"do: {one['do']!r}; expected a command")


@runner("adoption")
def run(given: dict[str, Any]) -> dict[str, Any]:
    log = builders.Log()
    results = [command(log, one) for one in given["log"]]
    found, other = log.topology, Permits()
    other.load(log.permits.dump())
    return {
        "step": found.step.value,
        "used": found.used,
        "before": found.before,
        "newest": found.newest,
        "maps": sorted(found.maps),
        "said": results,
        "last": results[-1],
        "halted": found.halted,
        "kept": len(decode_record(found.record or EMPTY_RECORD).ratios.get("parts", [])),
        "reread": other.state == log.permits.state and other.dump() == log.permits.dump(),
    }
