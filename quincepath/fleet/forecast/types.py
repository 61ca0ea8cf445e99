"""Inputs and results of a forecast. Times in ns, rates per second."""

from dataclasses import dataclass, field
from enum import StrEnum


class FigureKind(StrEnum):
    """What a figure describes; the comment says what its ``where`` names, and its unit."""

    PARTS = "parts"  # class; parts per query
    CALLS = "calls"  # replica set; calls per second at one of its holders
    LOAD = "load"  # replica set; busy slots of one of its holders, as a share of its slots
    BYTES = "bytes"  # class, "" for all; bytes merged per second
    MISS = "miss"  # class, "" for all; share of queries that miss their target


FigureKey = tuple[FigureKind, str]  # kind, where


@dataclass(slots=True, frozen=True)
class Figure:
    """A value and its 90% interval."""

    value: float
    low: float
    high: float


@dataclass(slots=True, frozen=True)
class Environment:
    """Facts that the sample does not contain. ``holders``: by replica set of the new map, how many will serve
    it; for sets not named, ``default_holders``. ``slots``: calls that a holder works on at once. The sample
    has footprints of ``brokers_heard`` of ``brokers`` brokers.
    """

    holders: dict[str, int]
    slots: int
    brokers_heard: int
    brokers: int
    holders_before: dict[str, int] | None = None  # by set of the map in use; None: as ``holders``
    default_holders: int = 1


@dataclass(slots=True, frozen=True)
class ReplaySettings:
    """``imbalance``: how far one holder's load may be from the mean of its set, as a share of that mean.
    ``draws``: of the bootstrap. ``measured_queries``: number of queries that the figures will be measured
    over; their random variation is part of the interval; 0: as many as the sample represents.
    """

    imbalance: float = 0.05
    draws: int = 200
    seed: int = 1
    measured_queries: int = 0

    def __post_init__(self) -> None:
        if not 0 <= self.imbalance <= 1 or self.draws < 40:
            raise ValueError(
                f"imbalance {self.imbalance}, draws {self.draws}; expected 0 to 1, at least 40 draws"
            )


@dataclass(slots=True, frozen=True)
class Forecast:
    """Forecast for one proposed map. ``figures`` have their intervals already widened. Of the sample:
    ``queries`` in it, ``total`` that they represent, ``since`` and ``until``, ``hour_shares`` (24 shares).
    ``unseen``: values of the new map that are neither in the map in use nor in any footprint; ``unplaced``:
    share of footprints with a value that the new map does not place; ``truncated``: sources may be missing.
    """

    figures: dict[FigureKey, Figure]
    digest: str
    queries: int
    total: int
    since: int
    until: int
    hour_shares: list[float]
    brokers_heard: int
    brokers: int
    unseen: tuple[str, ...] = ()
    unplaced: float = 0.0
    truncated: bool = False
    widened: dict[FigureKind, float] = field(default_factory=dict)
