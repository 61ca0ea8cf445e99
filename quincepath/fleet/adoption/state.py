"""What the entries come to: maps that are known, the one in use, one proposal, one measurement."""

from enum import StrEnum

import msgspec

from quincepath.fleet.adoption.commands import Map, MapVerdict
from quincepath.shards.versions import MapVersion

EMPTY_RECORD = msgspec.msgpack.encode(({},))  # a record of forecasts without any


class Step(StrEnum):
    """Where a change of the map is."""

    NONE = "none"  # nothing is proposed, what is in use was measured or never changed
    PROPOSED = "proposed"
    STAGING = "staging"
    MEASURING = "measuring"
    HALTED = "halted"  # what was measured differs


class Proposal(msgspec.Struct):
    """The map that may come next. ``number`` names it alone for ever. ``going_back``: it says what the
    version before says."""

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
    """The version in use, until it was held against its forecast."""

    number: int
    since: int
    span: int
    judged: MapVerdict
    brokers: tuple[str, ...]
    away: dict[str, str]

    @property
    def until(self) -> int:
        """End of the time, in the unit of ``since``."""
        return self.since + self.span


class Topology(msgspec.Struct):
    """All that a snapshot holds of maps. ``used`` 0: the configured map, none is in the log yet; ``before``
    0: there is none to go back to. ``record``: how far forecasts were off, as the forecast's room encodes it.
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
        """How far the adoption of a map is."""
        if self.proposal is not None:
            return Step.STAGING if self.proposal.staging else Step.PROPOSED
        if self.halted:
            return Step.HALTED
        return Step.MEASURING if self.measuring is not None else Step.NONE

    @property
    def staging(self) -> int:
        """The number of the version that is being staged; 0: none."""
        return self.proposal.number if self.proposal is not None and self.proposal.staging else 0

    def version(self, number: int) -> MapVersion | None:
        """One of those that are kept: in use, before, proposed."""
        found = self.maps.get(number)
        return None if found is None else found.version(number)
