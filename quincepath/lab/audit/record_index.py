"""The record of a day, sorted by what its lines are, and what is found in it."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import msgspec

from quincepath.standins.record import (
    Ask,
    Bounds,
    ClassRules,
    End,
    Got,
    Halt,
    Head,
    Line,
    Mark,
    Said,
    Told,
    Up,
)

T = TypeVar("T")
PartKey = tuple[str, int, int]


@dataclass(slots=True, frozen=True)
class Finding:
    """A broken rule, 1 to 6; 0 is a record that does not hold together."""

    rule: int
    at: int
    where: str
    what: str

    def __str__(self) -> str:
        return f"rule {self.rule}: {self.where}: {self.what}" if self.rule else f"{self.where}: {self.what}"


@dataclass(slots=True)
class LocatedLine(Generic[T]):
    """A line with its place."""

    where: str
    line: T


@dataclass(slots=True)
class RecordIndex:
    """All lines, sorted by what they are; times stand in the lines."""

    bounds: Bounds | None = None
    classes: dict[str, ClassRules] = field(default_factory=dict)
    asks: dict[str, LocatedLine[Ask]] = field(default_factory=dict)
    ends: dict[str, list[LocatedLine[End]]] = field(default_factory=lambda: defaultdict(list))
    got: list[LocatedLine[Got]] = field(default_factory=list)
    said: list[LocatedLine[Said]] = field(default_factory=list)
    ups: list[LocatedLine[Up]] = field(default_factory=list)
    told: list[LocatedLine[Told]] = field(default_factory=list)
    halts: list[Halt] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    limit_use: dict[str, float] = field(default_factory=dict)

    def record_limit_use(self, name: str, value: float) -> None:
        """How near a rule's limit was come to: 1 is the limit."""
        self.limit_use[name] = max(self.limit_use.get(name, 0.0), value)


@dataclass(slots=True, frozen=True)
class Report:
    """What was found, earliest first, and what was looked at."""

    findings: list[Finding]
    queries: int
    outcomes: dict[str, int]
    parts_got: int
    parts_tried: int = 0  # parts of which at least one attempt reached a holder
    limit_use: dict[str, float] = field(default_factory=dict)  # by rule, the share of its limit that was used

    def attempts_per_part(self) -> float:
        """Attempts that reached holders, for each part that reached one at all."""
        return self.parts_got / max(self.parts_tried, 1)


def collect(lines: Iterable[tuple[str, Line]]) -> RecordIndex:
    """Sort lines, given with their places, into an index."""
    index = RecordIndex()
    for where, line in lines:
        match line:
            case Bounds():
                index.bounds = line
            case ClassRules():
                index.classes[line.name] = line
            case Ask():
                if line.query in index.asks:
                    index.findings.append(Finding(0, line.at, where, f"query {line.query} was asked twice"))
                index.asks[line.query] = LocatedLine(where, line)
            case End():
                index.ends[line.query].append(LocatedLine(where, line))
            case Got():
                index.got.append(LocatedLine(where, line))
            case Said():
                index.said.append(LocatedLine(where, line))
            case Up():
                index.ups.append(LocatedLine(where, line))
            case Told():
                index.told.append(LocatedLine(where, line))
            case Halt():
                index.halts.append(line)
            case Head() | Mark():
                pass
    # Whose attempt it was is known from the client that asked, not from what the broker says of itself.
    for seen in index.got:
        asked = index.asks.get(seen.line.query)
        if asked is not None and asked.line.broker != seen.line.broker:
            seen.line = msgspec.structs.replace(seen.line, broker=asked.line.broker)
    index.got.sort(key=lambda seen: seen.line.at)
    index.told.sort(key=lambda seen: seen.line.at)
    return index


def ask_key(index: RecordIndex, query: str) -> str:
    """The ask that a try belongs to: its client's key, else the try itself."""
    seen = index.asks.get(query)
    return f"ask {seen.line.ask}" if seen is not None and seen.line.ask else query
