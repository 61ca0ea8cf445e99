"""What goes into a forecast and what comes out of it. Times in ns, rates a second."""

from dataclasses import dataclass, field
from enum import StrEnum


class FigureKind(StrEnum):
    """What a figure is of, and in the comment what its ``where`` names and its unit."""

    PARTS = "parts"  # class; parts a query
    CALLS = "calls"  # replica set; calls a second at one holder of it
    LOAD = "load"  # replica set; busy slots of one holder of it, as a share of its slots
    BYTES = "bytes"  # class, "" for all; bytes merged a second
    MISS = "miss"  # class, "" for all; share of queries that miss their target


FigureKey = tuple[FigureKind, str]


@dataclass(slots=True, frozen=True)
class Figure:
    """A value and its 90% bar."""

    value: float
    low: float
    high: float


@dataclass(slots=True, frozen=True)
class Environment:
    """What is around the sample. ``holders``: by replica set of the new map, how many will serve it; of a
    set that is not named, ``holders_else``. ``slots``: calls that a holder works on at once. ``heard`` of
    ``of`` brokers.
    """

    holders: dict[str, int]
    slots: int
    heard: int
    of: int
    holders_before: dict[str, int] | None = None  # by set of the map in force; None: as ``holders``
    holders_else: int = 1


@dataclass(slots=True, frozen=True)
class ReplaySettings:
    """``uneven``: how far one holder's load may be from the mean of its set, as a share of it. ``draws``: of
    the bootstrap. ``measured_queries``: queries that the figure will be measured over, whose chance is
    part of the bar; 0: as many as the sample stands for."""

    uneven: float = 0.05
    draws: int = 200
    seed: int = 1
    measured_queries: int = 0

    def __post_init__(self) -> None:
        if not 0 <= self.uneven <= 1 or self.draws < 40:
            raise ValueError(f"uneven {self.uneven}, draws {self.draws}; expected 0 to 1, at least 40")


@dataclass(slots=True, frozen=True)
class Forecast:
    """Of one proposal. ``figures`` with bars as widened. Of the sample: ``queries`` in it, ``total`` they
    stand for, ``since`` and ``until``, ``hours`` (24 shares). ``unseen``: values of the new map that neither
    the map in force nor any footprint has; ``homeless``: share of footprints with a value that the new map
    does not place.
    """

    figures: dict[FigureKey, Figure]
    digest: str
    queries: int
    total: int
    since: int
    until: int
    hours: list[float]
    heard: int
    of: int
    unseen: tuple[str, ...] = ()
    homeless: float = 0.0
    full: bool = False
    widened: dict[FigureKind, float] = field(default_factory=dict)
