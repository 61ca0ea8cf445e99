"""The lines of a record, indexed by type, and the findings of the audit."""

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
    """A violation of rule 1 to 6; rule 0 is a record that is inconsistent or cannot be read."""

    rule: int
    at: int
    where: str
    what: str

    def __str__(self) -> str:
        return f"rule {self.rule}: {self.where}: {self.what}" if self.rule else f"{self.where}: {self.what}"


@dataclass(slots=True)
class LocatedLine(Generic[T]):
    """A line with its file and line number."""

    where: str
    line: T


@dataclass(slots=True)
class RecordIndex:
    """All lines of a record by type, the findings, and the use of each limit."""

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
        """Keep the highest use of a rule's limit; 1 is the limit."""
        self.limit_use[name] = max(self.limit_use.get(name, 0.0), value)


@dataclass(slots=True, frozen=True)
class Report:
    """The findings, earliest first, and totals of the record."""

    findings: list[Finding]
    queries: int
    outcomes: dict[str, int]
    parts_got: int
    parts_tried: int = 0  # parts of which at least one attempt reached a holder
    limit_use: dict[str, float] = field(default_factory=dict)  # share used of each rule's limit

    def attempts_per_part(self) -> float:
        """Return the mean number of attempts that reached holders, over parts with at least one."""
        return self.parts_got / max(self.parts_tried, 1)


def collect(lines: Iterable[tuple[str, Line]]) -> RecordIndex:
    """Index lines, each given with its file and line number."""
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
    # The client's record tells which broker an attempt belongs to; the broker's own header is not trusted.
    for entry in index.got:
        ask = index.asks.get(entry.line.query)
        if ask is not None and ask.line.broker != entry.line.broker:
            entry.line = msgspec.structs.replace(entry.line, broker=ask.line.broker)
    index.got.sort(key=lambda entry: entry.line.at)
    index.told.sort(key=lambda entry: entry.line.at)
    return index


def ask_key(index: RecordIndex, query: str) -> str:
    """Return the key of the ask that a try belongs to: its client's key, else the try itself."""
    entry = index.asks.get(query)
    return f"ask {entry.line.ask}" if entry is not None and entry.line.ask else query
