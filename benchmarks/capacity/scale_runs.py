"""Lines of the ``scale`` command: read, merged into the results, and made into the page's tables. Pure.

Only what the tables show is read; the whole line is kept in the results.
"""

import json
from collections.abc import Iterable, Sequence
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from benchmarks.capacity.results import ResultsError
from benchmarks.capacity.rows import NOT_KNOWN
from benchmarks.capacity.tables import NONE, Table, number
from benchmarks.capacity.target import BROKERS

LINE_MOST = 1 << 20  # bytes of one run's line
SIZES = (100, 300, 900, BROKERS)
SIMULATED = "simulated"  # verdict of a run that is of virtual time alone
ALL_MECHANISMS = 4
EVENTS_MOST = 20  # shown of one run


class Mechanism(msgspec.Struct, frozen=True):
    """A hollow broker's mean and most over the calm phase; None: off, or not measured."""

    messages_a_second: float
    bytes_a_second: float
    bytes_a_second_most: float
    processor_ms_a_second: float | None = None
    memory_bytes: int | None = None


class Event(msgspec.Struct, frozen=True):
    """One thing that all brokers were to know."""

    what: str
    known_after_s: float | None = None


class Changes(msgspec.Struct, frozen=True):
    """Changes of the configuration: seconds from the proposal until in force at every subscriber."""

    committed: int
    subscribers: int
    in_force_median_s: float
    in_force_99th_s: float
    in_force_most_s: float


class NotCarried(msgspec.Struct, frozen=True):
    """A mechanism that the run did not carry, and why."""

    mechanism: str
    why: str


class ScaleRun(msgspec.Struct, frozen=True):
    """One run."""

    verdict: str
    brokers: Annotated[int, Meta(ge=1)]
    real: int = 0
    processes: int = 0
    mechanisms: tuple[str, ...] = ()
    simulated: dict[str, Mechanism] = {}  # what was not carried, at the same size in virtual time
    changes: Changes | None = None
    profile: str = ""
    faults: str = ""
    by_mechanism: dict[str, Mechanism] = {}
    hollow_processor_ms_a_second: float | None = None
    hollow_resident_bytes: int | None = None
    events: tuple[Event, ...] = ()
    late_ms: float | None = None
    not_carried: tuple[NotCarried, ...] = ()

    @property
    def name(self) -> str:
        """Of its rows: what tells it from other runs."""
        more = [one for one in (self.profile, self.faults) if one]
        if 0 < len(self.mechanisms) < ALL_MECHANISMS:
            more.append(" and ".join(self.mechanisms))
        if self.verdict == SIMULATED:
            more.append("virtual time")
        return f"{self.brokers}" + (f" ({', '.join(more)})" if more else "")


def read_line(line: str, place: str) -> dict[str, Any]:
    """One line, checked. Raises ``ResultsError`` naming file and line."""
    if len(line) > LINE_MOST:
        raise ResultsError(f"{place}: {len(line)} characters, at most {LINE_MOST} expected")
    try:
        found = json.loads(line)
        msgspec.convert(found, ScaleRun)
    except (ValueError, msgspec.ValidationError) as error:
        raise ResultsError(f"{place}: {error}; a line of the scale command was expected") from None
    return dict(found)


def _run(value: dict[str, Any]) -> ScaleRun:
    try:
        return msgspec.convert(value, ScaleRun)
    except msgspec.ValidationError as error:
        raise ResultsError(f"capacity.json: scale_runs: {error}") from None


def merged(old: Iterable[dict[str, Any]], new: Iterable[dict[str, Any]]) -> tuple[dict[str, Any], ...]:
    """The newest run of each name, in the order of their sizes."""
    runs = {_run(value).name: value for value in (*old, *new)}
    return tuple(sorted(runs.values(), key=lambda value: (value["brokers"], _run(value).name)))


def _optional(value: float | None, unit: str = "") -> str:
    return NOT_KNOWN if value is None else f"{number(value)}{unit}"


def _events(run: ScaleRun) -> str:
    said = [f"{event.what}: {_optional(event.known_after_s, ' s')}" for event in run.events[:EVENTS_MOST]]
    return "; ".join(said).replace("|", "/") or NONE


def _changes(run: ScaleRun) -> str:
    """Median, 99th percentile and most, with the number of changes and of brokers."""
    found = run.changes
    if found is None:
        return NONE
    times = " / ".join(
        number(value) for value in (found.in_force_median_s, found.in_force_99th_s, found.in_force_most_s)
    )
    return f"{times} s ({found.committed} changes, {found.subscribers:,} brokers)"


def _run_row(run: ScaleRun) -> tuple[str, ...]:
    core = run.hollow_processor_ms_a_second
    memory = run.hollow_resident_bytes
    lacking = "; ".join(f"{one.mechanism}: {one.why}" for one in run.not_carried).replace("|", "/") or NONE
    return (
        run.name, run.verdict, str(run.real), str(run.processes),
        _optional(None if core is None else core / 10, "%"),
        _optional(None if memory is None else memory / 1e6, " MB"),
        _events(run), _changes(run), _optional(run.late_ms, " ms"), lacking,
    )  # fmt: skip


def runs_of_scale(values: Sequence[dict[str, Any]]) -> Table:
    """One row a run; a size without a run is not known."""
    header = (
        "brokers", "verdict", "of these real", "processes", "of a core a hollow broker",
        "memory a hollow broker", "until all know", "change in force everywhere: median / 99th / most",
        "late at most", "not carried",
    )  # fmt: skip
    runs = [_run(value) for value in values]
    rows = [_run_row(run) for run in runs]
    run_sizes = {run.brokers for run in runs}
    rows += [(str(size), *(NOT_KNOWN,) * (len(header) - 1)) for size in SIZES if size not in run_sizes]
    return Table("scale", header, tuple(rows))


def mechanisms_of_scale(values: Sequence[dict[str, Any]]) -> Table:
    """One row for each mechanism of each run."""
    header = (
        "brokers: mechanism", "messages a second", "bytes a second, mean", "bytes a second, most",
        "of a core", "memory",
    )  # fmt: skip
    rows = []
    for run in (_run(value) for value in values):
        costs = {**run.by_mechanism, **{f"{name}, virtual time": one for name, one in run.simulated.items()}}
        for name, cost in costs.items():
            core = cost.processor_ms_a_second
            rows.append(
                (
                    f"{run.name}: {name}", number(cost.messages_a_second), number(cost.bytes_a_second),
                    number(cost.bytes_a_second_most), _optional(None if core is None else core / 10, "%"),
                    _optional(None if cost.memory_bytes is None else cost.memory_bytes / 1e6, " MB"),
                )
            )  # fmt: skip
    return Table("scale by mechanism", header, tuple(rows))
