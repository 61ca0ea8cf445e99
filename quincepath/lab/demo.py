"""Built-in demo configuration: three replica sets of two shards and two holders each, two query classes."""

from pathlib import Path
from typing import Any

from quincepath.lab.cluster import Cluster, HolderProcess

DISTRICTS = {
    "s0": ("a", ["north.example.org"]),
    "s1": ("a", ["ridge.example.org"]),
    "s2": ("b", ["river.example.org"]),
    "s3": ("b", ["coast.example.org"]),
    "s4": ("c", ["valley.example.org"]),
    "s5": ("c", ["south.example.org"]),
}
ZONES = ("upper", "lower")


def shards_entry() -> dict[str, Any]:
    """The shard map as configuration values."""
    return {
        "label": "district",
        "unlabelled": "nowhere",
        "map": [
            {"name": name, "set": group, "values": values} for name, (group, values) in DISTRICTS.items()
        ],
    }


def classes_entry() -> list[dict[str, Any]]:
    """A class that needs 60% of its parts, and one that needs all and has a second step."""
    return [
        {
            "name": "fleet-glance", "target": "1500ms", "deadline": "3s", "need": "60%", "late_worth": 0.3,
            "when": [{"label": "__name__", "value": "fuel_use_.*"}],
        },
        {"name": "hours-report", "target": "2s", "deadline": "5s", "late_worth": 0.1, "recent": "30m"},
    ]  # fmt: skip


def make_cluster(seed: int, options: list[str], record: Path | None, roster: Path | None = None) -> Cluster:
    """A cluster of six holders, which are not started."""
    holders = []
    for group in sorted({group for group, _ in DISTRICTS.values()}):
        shards = [name for name, (holder_group, _) in DISTRICTS.items() if holder_group == group]
        districts = [value for name in shards for value in DISTRICTS[name][1]]
        for number, zone in enumerate(ZONES):
            name = f"{group}{number}"
            record_path = record / f"holder-{name}.jsonl" if record else None
            arguments = ["--seed", str(seed), *options]
            holders.append(HolderProcess(name, zone, shards, districts, arguments, record_path))
    return Cluster(holders, roster)


def demo_config(port: int, **more: Any) -> dict[str, Any]:
    """A configuration as plain values, without holders."""
    return {
        "broker": {"zone": ZONES[0]},
        "listen": {"port": port},
        "shards": shards_entry(),
        "classes": classes_entry(),
        "limits": {"batch": 4, "max_retry_after": "2s"},
        "rules": {
            "cold_share": 0.2, "ramp_time": "10s", "fall_multiple": 2.0, "overload_for": "2s",
            "budget_window": "10s", "budget_free": 20, "budget_ratio": 0.2,
        },
        **more,
    }  # fmt: skip
