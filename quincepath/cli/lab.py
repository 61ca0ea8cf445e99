"""``quincepath rehearse``, ``replay`` and ``hunt``: the laboratory on the command line."""

import json
import sys
import tempfile
import time
from importlib.metadata import version
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from quincepath.config.load import ConfigError, load, parse
from quincepath.config.values import parse_duration
from quincepath.lab.emulator.fault_search import SearchResult, minimize, search_faults
from quincepath.lab.emulator.from_day import from_day
from quincepath.lab.emulator.query_trace import QueryTraceError, trace_query
from quincepath.lab.emulator.recording import RecordingError, RecordingWriter, read_recording
from quincepath.lab.emulator.rehearsal import Outcome, rehearse
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.sockets import SocketRun
from quincepath.lab.emulator.world import RUN_START_NS
from quincepath.observe.logs import setup
from quincepath.standins.record import Ask, End, Line, Mark

BAD_INPUT = 2
FINDINGS_SHOWN = 20
SECOND = 1_000_000_000


def fail(lines: list[str]) -> None:
    """Say what is wrong with the input and end."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(BAD_INPUT)


def _script(path: Path, is_day: bool = False) -> Script:
    try:
        if not is_day:
            return load(path, Script)
        found = from_day(path)
        for note in found.notes:
            click.echo(f"{path.name}: {note}", err=True)
        return found.script
    except ConfigError as error:
        fail(error.lines)
        raise AssertionError from None


def with_settings(script: Script, settings: tuple[str, ...]) -> Script:
    """The script with ``path=value`` changes, checked as a whole. Raises ``ConfigError``."""
    values = _plain(script)
    for setting in settings:
        path, sign, value = setting.partition("=")
        node: Any = values
        *way, last = path.split(".")
        try:
            for step in way:
                node = node[int(step)] if isinstance(node, list) else node[step]
            if not sign or last not in (node if isinstance(node, dict) else range(len(node))):
                raise KeyError(last)
        except (KeyError, IndexError, ValueError, TypeError):
            raise ConfigError(
                [f"--setting {setting!r}: expected path=value with a path of the script"]
            ) from None
        node[last] = json.loads(value) if value[:1] in '[{0123456789-"' and _is_json(value) else value
    return parse(json.dumps(values), Script, "--setting")


def _plain(script: Script) -> dict[str, Any]:
    """The script as a file would hold it."""
    values: dict[str, Any] = script.model_dump(mode="json")
    _durations_back(values)
    return values


def _is_json(text: str) -> bool:
    try:
        json.loads(text)
    except ValueError:
        return False
    return True


DURATIONS = {
    "length",
    "ramp",
    "connect_work",
    "wait",
    "same_zone",
    "cross_zone",
    "at",
    "last",
    "every",
    "pause",
    "work",
    "target",
    "deadline",
    "connect_timeout",
    "idle_close",
    "max_retry_after",
    "drain_grace",
    "ramp_time",
    "overload_for",
    "budget_window",
    "lag",
    "remember",
    "linger",
    "unmarked_within",
}
SIZES = {"max_answer", "max_merged", "most_bytes", "max_bytes", "max_memory"}


def _durations_back(node: Any) -> None:
    """Checked models hold times as ns and sizes as bytes: give them their units again."""
    items = node.items() if isinstance(node, dict) else enumerate(node) if isinstance(node, list) else ()
    for key, value in list(items):
        if key in DURATIONS and isinstance(value, int):
            node[key] = f"{value}ns"
        elif key in SIZES and isinstance(value, int):
            node[key] = f"{value}B"
        elif key == "lag":
            node[key] = [f"{one}ns" for one in value]
        else:
            _durations_back(value)


def _show(outcomes: dict[str, Outcome]) -> None:
    table = Table(title="simulated")
    table.add_column("")
    for name in outcomes:
        table.add_column(name, justify="right")
    rows = {name: outcome.figures() for name, outcome in outcomes.items()}
    for key in next(iter(rows.values())):
        cells = [json.dumps(figures[key]) for figures in rows.values()]
        table.add_row(key.replace("_", " "), *cells)
    Console(width=max(Console().width, 110)).print(table)


def _on_sockets(plan: Script, seed: int | None, as_json: bool) -> None:
    """Play over loopback, say what came of it and end."""
    with tempfile.TemporaryDirectory(prefix="quincepath-rehearse-") as folder:
        figures = SocketRun(plan, plan.seed if seed is None else seed, Path(folder)).run()
    click.echo(json.dumps(figures, indent=None if as_json else 1))
    if figures["void"]:
        behind = f"this machine could not keep up (behind by {figures['late_most_s']} s"
        rest = "or queries without an end when time was up): nothing is shown; take a smaller fleet or load"
        fail([f"{behind}, {rest}"])
    sys.exit(1 if figures["findings"] or figures["fell"] else 0)


def is_fleet(path: Path) -> bool:
    """Whether a script is of a fleet's bad day: it names its ``members``."""
    try:
        return any(line.startswith("members:") for line in path.read_text(encoding="utf-8").splitlines())
    except (OSError, UnicodeDecodeError):
        return False  # told with its cause when it is loaded


def _fleet(path: Path, seed: int | None, sockets: bool, as_json: bool, more: bool) -> None:
    """Play a fleet's bad day, in virtual time or over processes, say what came of it and end."""
    from quincepath.lab.fleet.run import FleetRun, InsideRun
    from quincepath.lab.fleet.script import FleetScript
    from quincepath.lab.fleet.virtual import play

    if more:
        fail([f"{path}: a fleet script takes --seed, --sockets and --json only"])
    try:
        plan = load(path, FleetScript)
    except ConfigError as error:
        fail(error.lines)
    if sockets or plan.expect.of_load:
        player = FleetRun if sockets else InsideRun
        if not sockets:
            setup(level="error")  # the brokers' lines would be this process's own
        with tempfile.TemporaryDirectory(prefix="quincepath-fleet-") as folder:
            try:
                figures = player(plan, seed, Path(folder)).play()
            except ValueError as error:
                fail([f"{path}: {error}"])
        if not sockets:
            figures = {"simulated": True, **figures}
        if figures["void"]:
            click.echo(json.dumps(figures, indent=None if as_json else 1))
            fail([f"this machine could not keep up (behind by {figures['late_most_s']} s): nothing is shown"])
    else:
        figures = {"simulated": True, **play(plan, seed).figures()}
    click.echo(json.dumps(figures, indent=None if as_json else 1))
    sys.exit(1 if figures["findings"] else 0)


class RehearsalMonitor:
    """Hears a rehearsal's lines: moves the bar, keeps and records them where wanted, keeps to a pace.

    ``speed``: simulated seconds a second at most; 0 is as fast as it goes.
    """

    def __init__(
        self, seconds: int, bar: Any, writer: RecordingWriter | None, keep: bool, speed: float = 0.0
    ) -> None:
        self.seconds, self.bar, self.writer, self.keep, self.speed = seconds, bar, writer, keep, speed
        self.began = time.monotonic()
        self.lines: list[Line] = []
        self.seen = self.asked = self.answered = self.ended = 0
        self.last = ""

    @staticmethod
    def shown(monitor: "RehearsalMonitor | int | None") -> str:
        """What the progress bar says beside itself."""
        return monitor.summary() if isinstance(monitor, RehearsalMonitor) else ""

    def summary(self) -> str:
        """How it goes, in a few words."""
        share = self.answered / max(self.ended, 1)
        return f"{self.asked} asked, {share:.1%} of ends answered{self.last and f'; {self.last}'}"

    def on_line(self, line: Line) -> None:
        """Take one line."""
        if self.keep:
            self.lines.append(line)
        if self.writer is not None:
            self.writer.write(line)
        match line:
            case Ask():
                self.asked += 1
            case End():
                self.ended += 1
                self.answered += line.status == 200
            case Mark():
                self.last = line.what
        at = getattr(line, "at", RUN_START_NS) - RUN_START_NS
        if self.speed:
            time.sleep(max(self.began + at / SECOND / self.speed - time.monotonic(), 0))
        second = min(at // SECOND, self.seconds)
        if second > self.seen:
            if self.bar is not None:
                self.bar.update(second - self.seen, self)
            self.seen = second


@click.command(name="rehearse")
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="Instead of the script's.")
@click.option("--record", type=click.Path(path_type=Path), help="Keep a recording in this file.")
@click.option("--report", type=click.Path(path_type=Path), help="Write a page with plots into this folder.")
@click.option("--vs", type=click.Path(path_type=Path), help="Another script to compare with.")
@click.option("--setting", multiple=True, help="path=value: compare with the script so changed.")
@click.option("--json", "as_json", is_flag=True)
@click.option("--from-day", "is_day", is_flag=True, help="SCRIPT is a drawn day of the operators' bench.")
@click.option("--sockets", is_flag=True, help="Over loopback, in real time.")
@click.option(
    "--speed", type=click.FloatRange(0, min_open=True), help="Times real time at most; else as it goes."
)
def rehearse_command(
    script: Path,
    seed: int | None,
    record: Path | None,
    report: Path | None,
    vs: Path | None,
    setting: tuple[str, ...],
    as_json: bool,
    is_day: bool,
    sockets: bool,
    speed: float | None,
) -> None:
    """Play an incident in virtual time. Exit status 1 if a rule broke or a holder fell over.

    A script that names its members is a fleet's bad day: exit status 1 if views were not equal and true at
    the end, or a broker was believed dead that ran.
    """
    if not is_day and is_fleet(script):
        _fleet(script, seed, sockets, as_json, bool(record or report or vs or setting or speed))
    plan = _script(script, is_day)
    if sockets and speed not in (None, 1.0):
        fail([f"--speed {speed}: --sockets plays in real time"])
    if sockets:
        _on_sockets(plan, seed, as_json)
    jobs = {script.name: plan}
    if vs is not None:
        jobs[vs.name] = _script(vs)
    if setting:
        try:
            jobs[", ".join(setting)] = with_settings(plan, setting)
        except ConfigError as error:
            fail(error.lines)
    outcomes: dict[str, Outcome] = {}
    kept: dict[str, list[Line]] = {}
    for name, one in jobs.items():
        writer = None
        if record is not None and one is plan:
            text = json.dumps(_plain(plan)) if is_day else script.read_text(encoding="utf-8")
            chosen = plan.seed if seed is None else seed
            writer = RecordingWriter(record, text, chosen, version("quincepath"))
        seconds = one.length // SECOND
        with click.progressbar(
            length=seconds, label=name, file=sys.stderr, item_show_func=RehearsalMonitor.shown
        ) as bar:
            monitor = RehearsalMonitor(seconds, bar, writer, report is not None, speed or 0.0)
            outcomes[name] = rehearse(one, seed, monitor.on_line)
        kept[name] = monitor.lines
        if writer is not None:
            writer.close()
    if report is not None:
        from quincepath.lab.report import write  # the plotting library takes a second to load

        write(report, plan, {name: (jobs[name], outcomes[name], kept[name]) for name in jobs})
        click.echo(f"report: {report / 'index.html'}", err=True)
    if as_json:
        click.echo(json.dumps({name: outcome.figures() for name, outcome in outcomes.items()}))
    else:
        _show(outcomes)
    first = outcomes[script.name]
    for finding in first.report.findings[:FINDINGS_SHOWN]:
        click.echo(f"{finding} (at {(finding.at - RUN_START_NS) / 1e9:.3f} s)")
    for name in first.fell:
        click.echo(f"{name} fell over")
    sys.exit(1 if first.broken else 0)


@click.command()
@click.argument("record", type=click.Path(path_type=Path))
@click.option("--query", help="Tell the story of this query, such as c12.0.")
@click.option("--at", help="Up to this time of the day, such as 8.5s.")
def replay(record: Path, query: str | None, at: str | None) -> None:
    """Look into a recording; with --query run it again and tell what its broker knew and did."""
    try:
        found = read_recording(record)
        until = None if at is None else RUN_START_NS + parse_duration(at)
    except RecordingError as error:
        fail([str(error)])
        return
    except ValueError as error:
        fail([f"--at {at!r}: {error}"])
        return
    if found.damage:
        click.echo(f"{found.damage}; {len(found.lines)} lines before it", err=True)
    if query is None:
        kinds: dict[str, int] = {}
        for line in found.lines:
            if until is None or getattr(line, "at", 0) <= until:
                name = type(line).__name__.lower()
                kinds[name] = kinds.get(name, 0) + 1
        said = ", ".join(f"{count} {name}" for name, count in sorted(kinds.items()))
        click.echo(f"seed {found.head.seed}, made by {found.head.program}: {said}")
        return
    try:
        script = parse(found.head.script, Script, f"{record.name} (script)")
        for told in trace_query(script, found.head.seed, found.lines, query, until):
            click.echo(told)
    except (ConfigError, QueryTraceError) as error:
        fail([str(error)])


@click.command()
@click.option("--seeds", default=50, help="How many days to draw.")
@click.option("--first", default=0, help="Number of the first.")
@click.option("--large", is_flag=True, help="80 to 110 holders, 23 to 32 brokers.")
@click.option("--worst", default=3, help="How many to cut down and show.")
def hunt(seeds: int, first: int, large: bool, worst: int) -> None:
    """Draw days from ranges and cut the worst down to what matters. Exit status 1 if a rule broke on any."""
    finds: list[SearchResult] = []
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        for find in search_faults(range(first, first + seeds), large):
            finds.append(find)
            bar.update(1)
    finds.sort(key=SearchResult.badness, reverse=True)
    broken = sum(find.broken for find in finds)
    middle = sorted(find.good for find in finds)[len(finds) // 2]
    click.echo(f"{len(finds)} days (simulated): {broken} broke a rule, good in the middle {middle:.3f}")
    for find in finds[:worst]:
        cut = minimize(find)
        kinds = ", ".join(f"{t.kind} at {t.at / 1e9:.1f} s" for t in cut.script.troubles)
        click.echo(f"day {find.number}: good {find.good:.3f}; cut down to {cut.good:.3f}: {kinds}")
        for text in [cut.contract] if cut.outcome is None else cut.outcome.report.findings[:3]:
            click.echo(f"  {text}")
    sys.exit(1 if broken else 0)
