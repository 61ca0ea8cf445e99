"""State that results from the entries: known maps, the one in use, one proposal, one measurement."""

from enum import StrEnum

import msgspec

from quincepath.fleet.adoption.commands import Map, MapVerdict
from quincepath.shards.versions import MapVersion

EMPTY_RECORD = msgspec.msgpack.encode(({},))  # an encoded AccuracyRecord without ratios


class Step(StrEnum):
    """Stage of a map change."""

    NONE = "none"  # nothing is proposed; the map in use was measured or never changed
    PROPOSED = "proposed"
    STAGING = "staging"
    MEASURING = "measuring"
    HALTED = "halted"  # the measured figures differ from the forecast


class Proposal(msgspec.Struct):
    """The map that may come next. ``number`` is never used for another map. ``going_back``: it has the
    content of the previous version.
    """

    number: int
    by: str
    at: int
    index: int
    staging: bool = False
    staging_since: int = 0
    going_back: bool = False
    judged: MapVerdict = MapVerdict()
    brokers: tuple[str, ...] = ()
    needs: dict[str, tuple[str, ...]] = {}
    away: dict[str, str] = {}
    measure: int = 0


class Measuring(msgspec.Struct):
    """The version in use, until it was compared with its forecast."""

    number: int
    since: int
    span: int
    judged: MapVerdict
    brokers: tuple[str, ...]
    away: dict[str, str]

    @property
    def until(self) -> int:
        """End of the measured time, in the unit of ``since``."""
        return self.since + self.span


class Topology(msgspec.Struct):
    """All that a snapshot contains about maps. ``used`` 0: the configured map, the log has none yet;
    ``before`` 0: there is no version to roll back to. ``record``: the encoded ``AccuracyRecord``.
    """

    maps: dict[int, Map] = {}
    newest: int = 0
    used: int = 0
    before: int = 0
    proposal: Proposal | None = None
    measuring: Measuring | None = None
    halted: str = ""
    record: bytes = b""

    @property
    def step(self) -> Step:
        """Stage of the current map change."""
        if self.proposal is not None:
            return Step.STAGING if self.proposal.staging else Step.PROPOSED
        if self.halted:
            return Step.HALTED
        return Step.MEASURING if self.measuring is not None else Step.NONE

    @property
    def staging(self) -> int:
        """The number of the version being staged; 0: none."""
        return self.proposal.number if self.proposal is not None and self.proposal.staging else 0

    def version(self, number: int) -> MapVersion | None:
        """One of the kept versions: in use, previous, proposed."""
        found = self.maps.get(number)
        return None if found is None else found.version(number)
