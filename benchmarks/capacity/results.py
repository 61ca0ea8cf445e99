"""What the measurements leave: the shape of ``benchmarks/results/capacity.json``, read strictly.

Values are in base units (seconds, bytes, counts); rows and the page convert them.
"""

import statistics
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

FILE = Path(__file__).parent.parent / "results" / "capacity.json"
SIZE_MOST = 8 << 20  # bytes of a results file
Evidence = Literal["measured on sockets", "simulated"]
Text = Annotated[str, Meta(min_length=1, max_length=400)]


class ResultsError(ValueError):
    """A results file that cannot be used, or lacks something; the text names the place."""


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Repeats at one size."""

    size: float
    values: Annotated[tuple[float, ...], Meta(min_length=1)]

    @property
    def median(self) -> float:
        """Of the repeats."""
        return statistics.median(self.values)


class Series(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One cost at several sizes. ``per`` says what the sizes count; ``load`` is the load average."""

    name: Text
    unit: Text
    per: Text
    evidence: Evidence
    points: Annotated[tuple[Point, ...], Meta(min_length=1)]
    load: float
    seeds: tuple[int, ...] = ()
    note: str = ""

    @property
    def sizes(self) -> list[float]:
        """As measured."""
        return [point.size for point in self.points]

    @property
    def medians(self) -> list[float]:
        """One value a size."""
        return [point.median for point in self.points]


class Fact(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One counted or measured figure that has no size."""

    name: Text
    unit: Text
    value: float
    evidence: Evidence
    note: str = ""


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one run of one group of measurements found, and on what machine."""

    taken_at: str
    seconds: float
    python: str
    machine: str
    cores: int
    load: tuple[float, float]  # load average of the last minute, at the beginning and at the end
    series: tuple[Series, ...] = ()
    facts: tuple[Fact, ...] = ()


class LimitFound(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A limit in the code that the target's configuration meets. ``answer``: what the code says or does."""

    name: Text
    place: Text
    mechanism: Text
    limit: float
    needed: float
    unit: Text
    answer: Text

    @property
    def factor(self) -> float:
        """How many times the limit is needed."""
        return self.needed / self.limit


class Results(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file. ``scale_runs`` are lines of the ``scale`` command, as written."""

    groups: dict[str, Group] = {}
    limits: tuple[LimitFound, ...] = ()
    scale_runs: tuple[dict[str, Any], ...] = ()

    def series(self, group: str, name: str) -> Series:
        """Raises ``ResultsError`` where it was not measured."""
        for one in self._group(group).series:
            if one.name == name:
                return one
        raise ResultsError(f"result {group}/{name} is missing: expected a series in capacity.json")

    def fact(self, group: str, name: str) -> Fact:
        """Raises ``ResultsError`` where it was not measured."""
        for one in self._group(group).facts:
            if one.name == name:
                return one
        raise ResultsError(f"result {group}/{name} is missing: expected a fact in capacity.json")

    def has(self, group: str, name: str) -> bool:
        """Whether a series or fact of that name was measured."""
        found = self.groups.get(group)
        if found is None:
            return False
        return any(one.name == name for one in found.series) or any(one.name == name for one in found.facts)

    def _group(self, name: str) -> Group:
        if name not in self.groups:
            raise ResultsError(f"group {name} is missing in capacity.json: run measure --only {name}")
        return self.groups[name]


def decode(data: bytes, place: str) -> Results:
    """Read a file's bytes; ``place`` stands in errors."""
    if len(data) > SIZE_MOST:
        raise ResultsError(f"{place}: {len(data)} bytes, at most {SIZE_MOST} expected")
    try:
        return msgspec.json.decode(data, type=Results)
    except msgspec.DecodeError as error:
        raise ResultsError(f"{place}: {error}") from None


def load(path: Path = FILE) -> Results:
    """The results, empty where none have been written."""
    return decode(path.read_bytes(), path.name) if path.exists() else Results()


def store(results: Results, path: Path = FILE) -> None:
    """Write all, in a form that diffs well."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
