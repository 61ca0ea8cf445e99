"""Commands that change the shard map, as entries of the consensus log. Every size is bounded.

What the leader adds when it forwards a command is in separate fields, so that an entry means the same on
every broker, whatever that broker believes.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.messages import Millis, Name, Text
from quincepath.shards.versions import MAX_NAME_BYTES, MapVersion

MAX_MAP_BYTES = 56 * 1024  # of one map as msgpack; a proposal may contain two
MAX_BROKERS = 1000
MAX_HOLDERS = 4096
MAX_FIGURES = 1000  # of one forecast, and of one measurement
LEADER_COMMANDS = ("use-map", "measured-map")  # only from the leader, not from operators

VersionNumber = Annotated[int, Meta(ge=0, le=1 << 31)]
ShortText = Annotated[str, Meta(max_length=MAX_NAME_BYTES)]
BrokerNames = Annotated[tuple[Name, ...], Meta(max_length=MAX_BROKERS)]
ShardNames = Annotated[tuple[ShortText, ...], Meta(max_length=4096)]
ShardsByHolder = Annotated[dict[Name, ShardNames], Meta(max_length=MAX_HOLDERS)]
MeasuredFigures = Annotated[tuple[tuple[ShortText, ShortText, float], ...], Meta(max_length=MAX_FIGURES)]


class Map(msgspec.Struct, frozen=True, array_like=True):
    """Content of a map, without the number that it gets when it is proposed."""

    label: ShortText
    entries: tuple[tuple[str, str, tuple[str, ...]], ...]
    unlabelled_anywhere: bool = True

    @classmethod
    def of(cls, version: MapVersion) -> "Map":
        """The map of a version, without its number."""
        return cls(version.label, version.entries, version.unlabelled_anywhere)

    def version(self, number: int) -> MapVersion:
        """This map as the version ``number``."""
        return MapVersion(number, self.label, self.entries, self.unlabelled_anywhere)


class Bar(msgspec.Struct, frozen=True, array_like=True):
    """One forecast figure with its 90% interval."""

    kind: ShortText
    where: ShortText
    value: float
    low: float
    high: float


class MapVerdict(msgspec.Struct, frozen=True):
    """The verdict on a map, with its figures. ``answer``: accept, refuse or not known; ``digest``: of the map
    that was judged. ``widened``: by kind, the factor by which the intervals were widened.
    """

    answer: ShortText = "not known"
    why: Annotated[tuple[Text, ...], Meta(max_length=32)] = ("no forecast was made",)
    digest: ShortText = ""
    bars: Annotated[tuple[Bar, ...], Meta(max_length=MAX_FIGURES)] = ()
    widened: dict[str, float] = {}
    queries: int = 0
    heard: int = 0
    of: int = 0


class ProposeMap(msgspec.Struct, tag="propose-map", frozen=True):
    """Proposes a map. ``base``, added by the leader: the configured map, used while the log has none.
    ``may_lose``: values that the next map may omit.
    """

    id: Text
    by: Text
    at: Millis
    map: Map
    may_lose: Annotated[tuple[ShortText, ...], Meta(max_length=1000)] = ()
    base: Map | None = None


class AdoptMap(msgspec.Struct, tag="adopt-map", frozen=True):
    """Adopts the proposed map. Added by the leader: the verdict (``judged``), the configured ``brokers``, the
    shards that each holder ``needs`` under it, and for how long (ms) it will be measured.
    """

    id: Text
    by: Text
    at: Millis
    number: VersionNumber = 0  # 0: the proposed one
    judged: MapVerdict = MapVerdict()
    brokers: BrokerNames = ()
    needs: ShardsByHolder = {}
    measure: Millis = 0


class AwayMap(msgspec.Struct, tag="away-map", frozen=True):
    """An operator states that a broker is gone and need not be waited for. ``belief``, added by the leader:
    dead or left; any other is refused. The broker serves again only after it has read the log and staged what
    is in use.
    """

    id: Text
    by: Text
    at: Millis
    name: Name
    belief: ShortText = ""


class UseMap(msgspec.Struct, tag="use-map", frozen=True):
    """From the leader: which brokers have the map ``number`` of this ``digest`` staged, and which shards
    holders have proved.
    """

    id: Text
    by: Text
    at: Millis
    number: VersionNumber
    digest: ShortText
    staged: BrokerNames
    proved: ShardsByHolder = {}


class MeasuredMap(msgspec.Struct, tag="measured-map", frozen=True):
    """From the leader: the measured figures; by broker, the version in use and the number of queries that
    hold an older one.
    """

    id: Text
    by: Text
    at: Millis
    number: VersionNumber
    figures: MeasuredFigures
    using: Annotated[dict[Name, tuple[VersionNumber, VersionNumber]], Meta(max_length=MAX_BROKERS)]


class BackMap(msgspec.Struct, tag="back-map", frozen=True):
    """Withdraws a proposal that is not in use yet; otherwise rolls back by staging the previous map again."""

    id: Text
    by: Text
    at: Millis
    brokers: BrokerNames = ()
    needs: ShardsByHolder = {}


class ReadMap(msgspec.Struct, tag="read-map", frozen=True):
    """Changes nothing. Once a broker has applied it, the broker has applied all that was committed before."""

    id: Text
    by: Text
    at: Millis


MapCommand = ReadMap | ProposeMap | AdoptMap | AwayMap | UseMap | MeasuredMap | BackMap
MAP_COMMANDS = (ReadMap, ProposeMap, AdoptMap, AwayMap, UseMap, MeasuredMap, BackMap)
