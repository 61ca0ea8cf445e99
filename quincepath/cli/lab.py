"""The commands ``rehearse``, ``replay`` and ``hunt``: the simulation laboratory on the command line."""

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

EXIT_BAD_INPUT = 2
MAX_FINDINGS_SHOWN = 20
SECOND = 1_000_000_000  # ns


def fail(lines: list[str]) -> None:
    """Print what is wrong with the input and exit."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(EXIT_BAD_INPUT)


def _load_script(path: Path, is_day: bool = False) -> Script:
    try:
        if not is_day:
            return load(path, Script)
        converted = from_day(path)
        for note in converted.notes:
            click.echo(f"{path.name}: {note}", err=True)
        return converted.script
    except ConfigError as error:
        fail(error.lines)
        raise AssertionError from None


def with_settings(script: Script, settings: tuple[str, ...]) -> Script:
    """The script with ``path=value`` changes, validated as a whole. Raises ``ConfigError``."""
    values = _as_file_values(script)
    for setting in settings:
        path, separator, value = setting.partition("=")
        node: Any = values
        *parents, last = path.split(".")
        try:
            for key in parents:
                node = node[int(key)] if isinstance(node, list) else node[key]
            if not separator or last not in (node if isinstance(node, dict) else range(len(node))):
                raise KeyError(last)
        except (KeyError, IndexError, ValueError, TypeError):
            raise ConfigError(
                [f"--setting {setting!r}: expected path=value with a path of the script"]
            ) from None
        node[last] = json.loads(value) if value[:1] in '[{0123456789-"' and _is_json(value) else value
    return parse(json.dumps(values), Script, "--setting")


def _as_file_values(script: Script) -> dict[str, Any]:
    """The script with values as a file has them."""
    values: dict[str, Any] = script.model_dump(mode="json")
    _restore_units(values)
    return values


def _is_json(text: str) -> bool:
    try:
        json.loads(text)
    except ValueError:
        return False
    return True


DURATION_KEYS = {
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
SIZE_KEYS = {"max_answer", "max_merged", "most_bytes", "max_bytes", "max_memory"}


def _restore_units(node: Any) -> None:
    """Validated models hold times as ns and sizes as bytes; write them with units again."""
    items = node.items() if isinstance(node, dict) else enumerate(node) if isinstance(node, list) else ()
    for key, value in list(items):
        if key in DURATION_KEYS and isinstance(value, int):
            node[key] = f"{value}ns"
        elif key in SIZE_KEYS and isinstance(value, int):
            node[key] = f"{value}B"
        elif key == "lag":
            node[key] = [f"{duration}ns" for duration in value]
        else:
            _restore_units(value)


def _print_figures(outcomes: dict[str, Outcome]) -> None:
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
    """Run over loopback, print the figures and exit."""
    with tempfile.TemporaryDirectory(prefix="quincepath-rehearse-") as folder:
        figures = SocketRun(plan, plan.seed if seed is None else seed, Path(folder)).run()
    click.echo(json.dumps(figures, indent=None if as_json else 1))
    if figures["void"]:
        cause = f"this machine could not keep up (behind by {figures['late_most_s']} s"
        advice = "or queries without an end when time was up): nothing is shown; take a smaller fleet or load"
        fail([f"{cause}, {advice}"])
    sys.exit(1 if figures["findings"] or figures["fell"] else 0)


def is_fleet_script(path: Path) -> bool:
    """Whether a script simulates a fleet: such a script names its ``members``."""
    try:
        return any(line.startswith("members:") for line in path.read_text(encoding="utf-8").splitlines())
    except (OSError, UnicodeDecodeError):
        return False  # loading the file reports the cause


def _run_fleet_script(
    path: Path, seed: int | None, sockets: bool, as_json: bool, has_other_options: bool
) -> None:
    """Run a fleet script in virtual time or with processes, print the figures and exit."""
    from quincepath.lab.fleet.run import FleetRun, InsideRun
    from quincepath.lab.fleet.script import FleetScript
    from quincepath.lab.fleet.virtual import play

    if has_other_options:
        fail([f"{path}: a fleet script takes --seed, --sockets and --json only"])
    try:
        plan = load(path, FleetScript)
    except ConfigError as error:
        fail(error.lines)
    if sockets or plan.expect.of_load:
        player = FleetRun if sockets else InsideRun
        if not sockets:
            setup(level="error")  # log lines of the brokers would come from this process
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
    """Receives the lines of a simulation: updates the progress bar, keeps and records lines, limits speed.

    ``speed``: maximum simulated seconds per second; 0: unlimited.
    """

    def __init__(
        self, seconds: int, bar: Any, writer: RecordingWriter | None, keep: bool, speed: float = 0.0
    ) -> None:
        self.seconds, self.bar, self.writer, self.keep, self.speed = seconds, bar, writer, keep, speed
        self.started_at = time.monotonic()
        self.lines: list[Line] = []
        self.shown_seconds = self.asked = self.answered = self.ended = 0
        self.last_mark = ""

    @staticmethod
    def shown(monitor: "RehearsalMonitor | int | None") -> str:
        """Text next to the progress bar."""
        return monitor.summary() if isinstance(monitor, RehearsalMonitor) else ""

    def summary(self) -> str:
        """Progress in a few words."""
        share = self.answered / max(self.ended, 1)
        return f"{self.asked} asked, {share:.1%} of ends answered{self.last_mark and f'; {self.last_mark}'}"

    def on_line(self, line: Line) -> None:
        """Process one line."""
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
                self.last_mark = line.what
        at = getattr(line, "at", RUN_START_NS) - RUN_START_NS
        if self.speed:
            time.sleep(max(self.started_at + at / SECOND / self.speed - time.monotonic(), 0))
        second = min(at // SECOND, self.seconds)
        if second > self.shown_seconds:
            if self.bar is not None:
                self.bar.update(second - self.shown_seconds, self)
            self.shown_seconds = second


@click.command(name="rehearse")
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="Overrides the seed of the script.")
@click.option("--record", type=click.Path(path_type=Path), help="Write a recording to this file.")
@click.option("--report", type=click.Path(path_type=Path), help="Write a page with plots to this folder.")
@click.option("--vs", type=click.Path(path_type=Path), help="Another script to compare with.")
@click.option("--setting", multiple=True, help="path=value: compare with the script changed in this way.")
@click.option("--json", "as_json", is_flag=True)
@click.option("--from-day", "is_day", is_flag=True, help="SCRIPT is a generated day of the operators' bench.")
@click.option("--sockets", is_flag=True, help="Run over loopback, in real time.")
@click.option(
    "--speed",
    type=click.FloatRange(0, min_open=True),
    help="Maximum multiple of real time; default: unlimited.",
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
    """Simulate an incident in virtual time. Exit status 1 if a rule is broken or a holder crashed.

    A script that names its members simulates a fleet: exit status 1 if views were not equal and true at the
    end, or if a running broker was believed dead.
    """
    if not is_day and is_fleet_script(script):
        _run_fleet_script(script, seed, sockets, as_json, bool(record or report or vs or setting or speed))
    plan = _load_script(script, is_day)
    if sockets and speed not in (None, 1.0):
        fail([f"--speed {speed}: --sockets plays in real time"])
    if sockets:
        _on_sockets(plan, seed, as_json)
    scripts = {script.name: plan}
    if vs is not None:
        scripts[vs.name] = _load_script(vs)
    if setting:
        try:
            scripts[", ".join(setting)] = with_settings(plan, setting)
        except ConfigError as error:
            fail(error.lines)
    outcomes: dict[str, Outcome] = {}
    lines_by_name: dict[str, list[Line]] = {}
    for name, current in scripts.items():
        writer = None
        if record is not None and current is plan:
            text = json.dumps(_as_file_values(plan)) if is_day else script.read_text(encoding="utf-8")
            used_seed = plan.seed if seed is None else seed
            writer = RecordingWriter(record, text, used_seed, version("quincepath"))
        seconds = current.length // SECOND
        with click.progressbar(
            length=seconds, label=name, file=sys.stderr, item_show_func=RehearsalMonitor.shown
        ) as bar:
            monitor = RehearsalMonitor(seconds, bar, writer, report is not None, speed or 0.0)
            outcomes[name] = rehearse(current, seed, monitor.on_line)
        lines_by_name[name] = monitor.lines
        if writer is not None:
            writer.close()
    if report is not None:
        from quincepath.lab.report import write  # loading the plotting library takes a second

        write(report, plan, {name: (scripts[name], outcomes[name], lines_by_name[name]) for name in scripts})
        click.echo(f"report: {report / 'index.html'}", err=True)
    if as_json:
        click.echo(json.dumps({name: outcome.figures() for name, outcome in outcomes.items()}))
    else:
        _print_figures(outcomes)
    first = outcomes[script.name]
    for finding in first.report.findings[:MAX_FINDINGS_SHOWN]:
        click.echo(f"{finding} (at {(finding.at - RUN_START_NS) / 1e9:.3f} s)")
    for name in first.fell:
        click.echo(f"{name} fell over")
    sys.exit(1 if first.broken else 0)


@click.command()
@click.argument("record", type=click.Path(path_type=Path))
@click.option("--query", help="Trace this query, such as c12.0.")
@click.option("--at", help="Stop at this time of the day, such as 8.5s.")
def replay(record: Path, query: str | None, at: str | None) -> None:
    """Summarize a recording; with --query, rerun it and print what the broker of that query knew and did."""
    try:
        recording = read_recording(record)
        until = None if at is None else RUN_START_NS + parse_duration(at)
    except RecordingError as error:
        fail([str(error)])
        return
    except ValueError as error:
        fail([f"--at {at!r}: {error}"])
        return
    if recording.damage:
        click.echo(f"{recording.damage}; {len(recording.lines)} lines before it", err=True)
    if query is None:
        kinds: dict[str, int] = {}
        for line in recording.lines:
            if until is None or getattr(line, "at", 0) <= until:
                name = type(line).__name__.lower()
                kinds[name] = kinds.get(name, 0) + 1
        counts = ", ".join(f"{count} {name}" for name, count in sorted(kinds.items()))
        click.echo(f"seed {recording.head.seed}, made by {recording.head.program}: {counts}")
        return
    try:
        script = parse(recording.head.script, Script, f"{record.name} (script)")
        for text in trace_query(script, recording.head.seed, recording.lines, query, until):
            click.echo(text)
    except (ConfigError, QueryTraceError) as error:
        fail([str(error)])


@click.command()
@click.option("--seeds", default=50, help="Number of days to generate.")
@click.option("--first", default=0, help="Number of the first day.")
@click.option("--large", is_flag=True, help="80 to 110 holders, 23 to 32 brokers.")
@click.option("--worst", default=3, help="Number of days to reduce and show.")
def hunt(seeds: int, first: int, large: bool, worst: int) -> None:
    """Generate days from ranges and reduce the worst to what matters. Exit status 1 if any broke a rule."""
    finds: list[SearchResult] = []
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        for find in search_faults(range(first, first + seeds), large):
            finds.append(find)
            bar.update(1)
    finds.sort(key=SearchResult.badness, reverse=True)
    broken = sum(find.broken for find in finds)
    median = sorted(find.good for find in finds)[len(finds) // 2]
    click.echo(f"{len(finds)} days (simulated): {broken} broke a rule, median good {median:.3f}")
    for find in finds[:worst]:
        cut = minimize(find)
        kinds = ", ".join(f"{t.kind} at {t.at / 1e9:.1f} s" for t in cut.script.troubles)
        click.echo(f"day {find.number}: good {find.good:.3f}; cut down to {cut.good:.3f}: {kinds}")
        for text in [cut.contract] if cut.outcome is None else cut.outcome.report.findings[:3]:
            click.echo(f"  {text}")
    sys.exit(1 if broken else 0)
