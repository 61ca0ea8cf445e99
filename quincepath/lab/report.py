"""A rehearsal as one self-contained HTML page with plots by plotly; the page includes its script."""

import html
import json
from collections import defaultdict
from pathlib import Path
from typing import Any

import numpy as np
import plotly.graph_objects as go
from plotly.subplots import make_subplots

from quincepath.lab.emulator.rehearsal import Outcome
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.world import RUN_START_NS
from quincepath.standins.record import Ask, Bounds, End, Got, Line, Mark, Up

SECOND = 1_000_000_000
BAND_COLORS = ("#f4cccc", "#d9ead3", "#cfe2f3", "#fff2cc", "#ead1dc", "#d0e0e3")


class _DayRecords:
    """The records of a day, by second."""

    def __init__(self, script: Script, lines: list[Line]) -> None:
        self.seconds = int(script.length // SECOND) + 1
        self.targets = {entry.name: entry.target for entry in script.classes}
        self.asks: dict[str, Ask] = {}
        self.tries: dict[str, list[Ask]] = defaultdict(list)
        self.ends: dict[str, End] = {}
        self.work: dict[str, np.ndarray[Any, Any]] = {}
        self.ups: list[Up] = []
        self.marks: list[Mark] = []
        self.bounds: Bounds | None = None
        names = script.holder_names()
        self.work = {name: np.zeros(self.seconds) for name in names}
        for line in lines:
            match line:
                case Ask():
                    self.asks[line.query] = line
                    self.tries[line.query.partition(".")[0]].append(line)
                case End():
                    self.ends[line.query] = line
                case Got():
                    self.work[line.holder][min(self.second(line.at), self.seconds - 1)] += line.work / SECOND
                case Up():
                    self.ups.append(line)
                case Mark():
                    self.marks.append(line)
                case Bounds():
                    self.bounds = line
                case _:
                    pass

    @staticmethod
    def second(at: int) -> int:
        return int((at - RUN_START_NS) // SECOND)

    def service(self) -> dict[str, tuple[list[float], list[float], list[float]]]:
        """By class and second of the first try: share good, 50th and 99th percentile latency (s)."""
        asked: dict[str, np.ndarray[Any, Any]] = {n: np.zeros(self.seconds) for n in self.targets}
        good = {n: np.zeros(self.seconds) for n in self.targets}
        latencies: dict[str, list[list[float]]] = {n: [[] for _ in range(self.seconds)] for n in self.targets}
        for tries in self.tries.values():
            first = tries[0]
            at = min(self.second(first.at), self.seconds - 1)
            asked[first.kind][at] += 1
            for one in tries:
                end = self.ends.get(one.query)
                if end is not None and end.status == 200:
                    latencies[first.kind][at].append((end.at - first.at) / SECOND)
                    good[first.kind][at] += (
                        end.mark == "whole" and end.at - first.at <= self.targets[first.kind]
                    )
        found = {}
        for name in self.targets:
            share = [
                float(g / a) if a else float("nan") for g, a in zip(good[name], asked[name], strict=True)
            ]
            median = [float(np.percentile(t, 50)) if t else float("nan") for t in latencies[name]]
            p99 = [float(np.percentile(t, 99)) if t else float("nan") for t in latencies[name]]
            found[name] = (share, median, p99)
        return found

    def bands(self) -> list[tuple[str, float, float]]:
        """Faults as (kind, start, end) in seconds of the day."""
        open_: dict[str, list[float]] = defaultdict(list)
        found = []
        for mark in self.marks:
            what, _, kind = mark.what.partition(": ")
            at = (mark.at - RUN_START_NS) / SECOND
            if what == "begins":
                open_[kind].append(at)
            elif what == "ends" and open_[kind]:
                found.append((kind, open_[kind].pop(0), at))
        found += [(kind, at, float(self.seconds)) for kind, many in open_.items() for at in many]
        return sorted(found, key=lambda band: band[1:])


def figure(script: Script, lines: list[Line]) -> go.Figure:
    """Service, latency and load of the holders over the day, with faults as bands in the background."""
    day = _DayRecords(script, lines)
    titles = ("Whole within the target", "Time to the answer, s", "Work sent to each holder, s a second")
    plot = make_subplots(rows=3, cols=1, shared_xaxes=True, vertical_spacing=0.07, subplot_titles=titles,
                          row_heights=[0.27, 0.27, 0.46])  # fmt: skip
    x = list(range(day.seconds))
    for number, (name, (share, median, p99)) in enumerate(day.service().items()):
        color = ("#1f4e79", "#b45f06", "#38761d", "#741b47")[number % 4]
        plot.add_scatter(x=x, y=share, name=name, line={"color": color}, row=1, col=1)
        plot.add_scatter(x=x, y=median, name=f"{name}, median", line={"color": color}, row=2, col=1)
        plot.add_scatter(x=x, y=p99, name=f"{name}, 99%", line={"color": color, "dash": "dot"}, row=2, col=1)
    holders = list(day.work)
    plot.add_heatmap(x=x, y=holders, z=[day.work[name].tolist() for name in holders], colorscale="Viridis",
                      colorbar={"len": 0.42, "y": 0.2}, row=3, col=1)  # fmt: skip
    plot.add_scatter(
        x=[(up.at - RUN_START_NS) / SECOND for up in day.ups], y=[up.holder for up in day.ups],
        mode="markers", name="started cold", marker={"symbol": "star", "size": 11, "color": "#ff5050"},
        row=3, col=1,
    )  # fmt: skip
    kinds = {
        kind: BAND_COLORS[n % len(BAND_COLORS)]
        for n, kind in enumerate(dict.fromkeys(b[0] for b in day.bands()))
    }
    for kind, begin, end in day.bands():
        for row in (1, 2):
            note = {"annotation_text": kind, "annotation_position": "bottom left"} if row == 1 else {}
            plot.add_vrect(x0=begin, x1=end, fillcolor=kinds[kind], opacity=0.5, layer="below", line_width=0,
                            row=row, col=1, **note)  # fmt: skip
    plot.update_yaxes(range=[0, 1.03], row=1, col=1)
    plot.update_xaxes(title="seconds of the day", row=3, col=1)
    plot.update_layout(height=640 + 12 * len(holders), template="simple_white", margin={"t": 40, "r": 20})
    return plot


def page(script: Script, outcomes: dict[str, tuple[Script, Outcome, list[Line]]]) -> str:
    """The HTML text: a table of figures, then the plots of each run."""
    names = list(outcomes)
    figures = {name: outcome.figures() for name, (_, outcome, _) in outcomes.items()}
    rows = "".join(
        f"<tr><th>{html.escape(key.replace('_', ' '))}</th>"
        + "".join(f"<td>{html.escape(json.dumps(figures[name][key]))}</td>" for name in names)
        + "</tr>"
        for key in figures[names[0]]
    )
    plots = ""
    for number, (name, (one, outcome, lines)) in enumerate(outcomes.items()):
        broken = "".join(f"<li>{html.escape(str(finding))}</li>" for finding in outcome.report.findings[:50])
        verdict = f"<ul>{broken}</ul>" if broken else "<p>No rule broke.</p>"
        drawn = figure(one, lines).to_html(full_html=False, include_plotlyjs=number == 0)
        plots += f"<h2>{html.escape(name)}</h2>{verdict}{drawn}"
    heads = "".join(f"<th>{html.escape(name)}</th>" for name in names)
    style = (
        "body{font:15px/1.5 sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}"
        "table{border-collapse:collapse}td,th{border-bottom:1px solid #ddd;padding:.2em .8em;text-align:left;"
        "font-weight:normal}thead th{font-weight:bold}"
    )
    return (
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>Rehearsal</title><style>{style}</style>"
        f"<h1>Rehearsal</h1><p>{html.escape(script.about)}</p><p>All figures are simulated.</p>"
        f"<table><thead><tr><th></th>{heads}</tr></thead>{rows}</table>{plots}</html>"
    )


def write(path: Path, script: Script, outcomes: dict[str, tuple[Script, Outcome, list[Line]]]) -> None:
    """Write ``index.html`` into a folder, which is created if it is missing."""
    path.mkdir(parents=True, exist_ok=True)
    (path / "index.html").write_text(page(script, outcomes), encoding="utf-8")
