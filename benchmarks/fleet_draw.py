"""Plots of the figures of the fleet's view."""

from pathlib import Path
from typing import Any

import matplotlib.pyplot as plt


def plot(found: dict[str, Any], path: Path) -> None:
    """Three plots of what ``benchmarks.fleet_view`` kept: a crash, false deaths, bytes by size."""
    chart, (left, middle, right) = plt.subplots(1, 3, figsize=(13, 4))
    for on, style in ((True, "-"), (False, "--")):
        rows = [row for row in found["detect"] if row["lifeguard"] is on]
        sizes, name = [row["members"] for row in rows], "" if on else ", off"
        left.plot(sizes, [row["doubt_median_s"] for row in rows], f"C0{style}", label=f"first doubt{name}")
        left.plot(
            sizes, [row["know_median_s"] for row in rows], f"C1{style}", label=f"all know, median{name}"
        )
        left.plot(sizes, [row["know_p99_s"] for row in rows], f"C2{style}", label=f"all know, 99th{name}")
    left.set(title="a crash (simulated)", xlabel="members", ylabel="seconds", xscale="log")
    left.set_ylim(bottom=0)
    left.legend(fontsize=7)
    labels = [
        f"{row['lose']:.0%}{', paused' if row['paused'] else ''}"
        for row in found["deaths"]
        if row["lifeguard"]
    ]
    for offset, on in ((-0.2, True), (0.2, False)):
        values = [row["an_hour"] for row in found["deaths"] if row["lifeguard"] is on]
        places = [at + offset for at in range(len(values))]
        middle.bar(places, values, 0.4, label="as it is" if on else "Lifeguard off")
    middle.set(title="false deaths an hour, 10 members (simulated)", xlabel="loss", yscale="symlog")
    middle.set_xticks(range(len(labels)), labels, rotation=30, fontsize=7)
    middle.legend(fontsize=7)
    for lose in (0.0, 0.05):
        rows = [row for row in found["steady"] if row["lose"] == lose]
        right.plot(
            [r["members"] for r in rows], [r["bytes"] for r in rows], marker="o", label=f"loss {lose:.0%}"
        )
    right.set(title="bytes a second a member, calm (simulated)", xlabel="members", xscale="log")
    right.set_ylim(bottom=0)
    right.legend(fontsize=7)
    chart.tight_layout()
    chart.savefig(path)
