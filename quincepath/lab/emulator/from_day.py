"""Converts a day file of the operators' bench into an incident script: size, traffic and troubles.

The bench's model is not reproduced: kinds, times, places and the strengths whose meaning is unambiguous are
converted; what has no counterpart here is listed in the notes, never dropped silently. Times in a day file
are microseconds.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quincepath.config.load import ConfigError, parse
from quincepath.lab.emulator.script import Script

US_PER_SECOND = 1e6
SCRIPT_KINDS = {
    "answer_lost": "lost_answers",
    "ageing": "ageing",
    "balancer_crash": "broker_crash",
    "burst": "burst",
    "class_fail": "class_errors",
    "discovery_stale": "list_late",
    "fast_errors": "errors",
    "handshake_slow": "slow_handshakes",
    "hang": "hang",
    "heavy_tail": "heavy_tail",
    "neighbour": "preemption",
    "one_sided": "one_sided",
    "pauses": "pauses",
    "poison": "poison",
    "retry_abuse": "retry_storm",
    "slow": "slow",
    "vanish": "silence",
    "zone_loss": "zone_loss",
}
KINDS_WITH_FACTOR = {"slow", "ageing", "burst"}  # their size is a factor of slowness or amount
KINDS_WITH_SHARE = {"neighbour", "class_fail", "fast_errors"}  # their size is a share


@dataclass(slots=True, frozen=True)
class ConvertedDay:
    """The script, and a note for each thing that was left out or converted in part."""

    script: Script
    notes: list[str]


def _us_text(value: float) -> str:
    return f"{max(int(value), 1)}us"


def _holder_names(day: dict[str, Any], replicas: int) -> list[str]:
    """Holder name of each server of the day file: by cell, then by index in it; '' if the script has none."""
    seen: dict[int, int] = {}
    names = []
    for server in day["servers"]:
        index = seen.get(server["cell"], 0)
        seen[server["cell"]] = index + 1
        names.append(f"s{server['cell']}r{index}" if index < replicas else "")
    return names


def _trouble(
    entry: dict[str, Any], day: dict[str, Any], names: list[str], notes: list[str]
) -> dict[str, Any]:
    kind = SCRIPT_KINDS[entry["kind"]]
    trouble: dict[str, Any] = {
        "kind": kind,
        "at": _us_text(entry["at"]),
        "last": _us_text(entry["len"]),
    }
    size, extra = float(entry.get("size", 0)), float(entry.get("extra", 0))
    if kind == "broker_crash":
        trouble["brokers"] = [f"broker{n}" for n in entry["on"]] or 1.0
    elif kind != "zone_loss":
        trouble["holders"] = [names[n] for n in entry["on"] if n < len(names) and names[n]] or 1.0
    if entry["kind"] in KINDS_WITH_FACTOR:
        trouble["times"] = max(size, 0.01)
    elif entry["kind"] in KINDS_WITH_SHARE:
        trouble["share"] = min(size, 1.0)
    elif kind == "list_late":
        usual = day["discovery"]["notice"] / US_PER_SECOND
        trouble["times"] = 1 + size / max(usual, 0.1)
    elif kind == "zone_loss":
        trouble["zone"] = day["zones"][entry["which"]]
    elif kind in ("poison", "heavy_tail"):
        trouble["share"] = min(size, 1.0)
        trouble["times"] = max(extra, 1.0)
    elif size:
        notes.append(f"{entry['kind']} at {entry['at'] / 1e6:.1f} s: size {size:.3g} is not converted")
    if entry["kind"] == "neighbour" and extra:
        trouble["every"] = f"{extra:.3f}s"
    if kind in ("class_errors", "poison", "heavy_tail"):
        trouble["of_class"] = day["classes"][entry["which"]]["name"]
    if entry.get("how") == "silence" and kind == "class_errors":
        notes.append(f"class_fail at {entry['at'] / 1e6:.1f} s: fails with errors here, in silence there")
    return trouble


def from_day(path: Path) -> ConvertedDay:
    """Read a day file. Raises ``ConfigError``."""
    try:
        day = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError([f"{path}: cannot be read: {error}"]) from None
    try:
        return _convert(day, path)
    except (KeyError, IndexError, TypeError) as error:
        raise ConfigError([f"{path}: not a day file of the bench: {type(error).__name__} {error}"]) from None


def _convert(day: dict[str, Any], path: Path) -> ConvertedDay:
    notes: list[str] = []
    fam, cells = day["fam"], day["fam"]["cells"]
    if day.get("family") != "fanout" or fam.get("reach", 1) != 1:
        raise ConfigError([f"{path}: expected the day of a fan-out service whose shards have one cell each"])
    replicas = max(round(len(day["servers"]) / cells), 1)
    names = _holder_names(day, replicas)
    if missing := len(names) - sum(bool(name) for name in names):
        notes.append(f"{missing} servers beyond {replicas} a cell are left out")
    shards = max(fam["shards"] // cells, 1)
    classes = []
    for entry, ask in zip(day["classes"], fam["asks"], strict=True):
        max_parts = min(ask["parts"], cells * shards)
        classes.append(
            {
                "name": entry["name"],
                "share": entry["share"],
                "parts": [max_parts, max_parts],
                "work": _us_text(entry["work"]),
                "spread": entry["cv"],
                "target": _us_text(entry["aim"]),
                "deadline": _us_text(entry["deadline"]),
                "need": ask["need"],
                "floor": ask["floor"],
                "late_worth": entry["late_worth"],
                "second_step": ask["fetch"] > 0,
            }
        )
        if entry["effect"] != "safe":
            notes.append(f"class {entry['name']}: its effect ({entry['effect']}) is taken to be safe")
    total = sum(one["share"] for one in classes)
    work = sum(
        one["share"] / total * one["parts"][1] * one["need"] * float(one["work"][:-2]) for one in classes
    )
    machine = day["tiers"][0]["kinds"][0]
    values: dict[str, Any] = {
        "about": f"from a drawn day of {day['site']} ({day['kind']})",
        "seed": int(day.get("noise", 1)) % (1 << 31),
        "length": _us_text(day["length"]),
        "brokers": len(day["balancers"]),
        "fleet": {
            "sets": cells,
            "replicas": replicas,
            "shards": shards,
            "zones": day["zones"],
            "kinds": [{"name": machine["name"], "cores": machine["cores"], "speed": 1.0}],
            "cold": machine["cold_from"],
            "ramp": _us_text(machine["cold"]),
        },
        "traffic": {
            "rate": round(day["traffic"]["load"] * fam["capacity"] * US_PER_SECOND / work, 3),
            "retries": day["clients"]["retries"],
            "wait": _us_text(day["clients"]["backoff_us"]),
            "honour": day["clients"]["honour"],
        },
        "network": {"same_zone": _us_text(day["net"]["same"]), "cross_zone": _us_text(day["net"]["cross"])},
        "discovery": {"lag": [_us_text(day["discovery"]["notice"] * f) for f in (0.9, 1.1)]},
        "limits": {"attempts": day["allow"]["max_attempts"], "second_copies": day["allow"]["second_copies"]},
        "rules": {"drain_grace": _us_text(day["drain_grace"]), "fall_multiple": day["fall_multiple"],
                  "overload_for": _us_text(day["fall_for"])},
        "classes": classes,
    }  # fmt: skip
    troubles = []
    for entry in day["troubles"]:
        if entry["kind"] not in SCRIPT_KINDS:
            notes.append(f"{entry['kind']} at {entry['at'] / 1e6:.1f} s has no counterpart here")
        elif entry["at"] < day["length"]:
            troubles.append(_trouble(entry, day, names, notes))
    values["troubles"] = troubles
    return ConvertedDay(parse(json.dumps(values), Script, path.name), notes)
