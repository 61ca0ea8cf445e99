"""Commands of a change of the shard map, as entries of the keepers' log. Every size is bounded.

What the leader adds when it passes a command on stands in fields of its own, so that an entry means the same
on every broker, whatever that one believes.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.messages import Millis, Name, Text
from quincepath.shards.versions import MAX_NAME_BYTES, MapVersion

MAX_MAP_BYTES = 56 * 1024  # of one map as msgpack; a proposal may carry two
MAX_BROKERS = 1000
MAX_HOLDERS = 4096
MAX_FIGURES = 1000  # of one forecast, and of one measurement
LEADER_COMMANDS = ("use-map", "measured-map")  # of the leader; not taken from people

Number = Annotated[int, Meta(ge=0, le=1 << 31)]
Word = Annotated[str, Meta(max_length=MAX_NAME_BYTES)]
Names = Annotated[tuple[Name, ...], Meta(max_length=MAX_BROKERS)]
Shards = Annotated[tuple[Word, ...], Meta(max_length=4096)]
ShardsByHolder = Annotated[dict[Name, Shards], Meta(max_length=MAX_HOLDERS)]
Measures = Annotated[tuple[tuple[Word, Word, float], ...], Meta(max_length=MAX_FIGURES)]


class Map(msgspec.Struct, frozen=True, array_like=True):
    """What a map says; its number is given when it is proposed."""

    label: Word
    entries: tuple[tuple[str, str, tuple[str, ...]], ...]
    unlabelled_anywhere: bool = True

    @classmethod
    def of(cls, version: MapVersion) -> "Map":
        """The map of a version, without its number."""
        return cls(version.label, version.entries, version.unlabelled_anywhere)

    def version(self, number: int) -> MapVersion:
        """This map under a number."""
        return MapVersion(number, self.label, self.entries, self.unlabelled_anywhere)


class Bar(msgspec.Struct, frozen=True, array_like=True):
    """One figure that was forecast, with its 90% bar."""

    kind: Word
    where: Word
    value: float
    low: float
    high: float


class MapVerdict(msgspec.Struct, frozen=True):
    """The verdict on a map, with its figures. ``answer``: accept, refuse or not known; ``digest``: of the map
    that was judged. ``widened``: by kind, the factor by which the bars were widened.
    """

    answer: Word = "not known"
    why: Annotated[tuple[Text, ...], Meta(max_length=32)] = ("no forecast was made",)
    digest: Word = ""
    bars: Annotated[tuple[Bar, ...], Meta(max_length=MAX_FIGURES)] = ()
    widened: dict[str, float] = {}
    queries: int = 0
    heard: int = 0
    of: int = 0


class ProposeMap(msgspec.Struct, tag="propose-map", frozen=True):
    """A map that somebody would like. ``base``, by the leader: the configured one, while none is in the log.
    ``may_lose``: values that the next map may leave out.
    """

    id: Text
    by: Text
    at: Millis
    map: Map
    may_lose: Annotated[tuple[Word, ...], Meta(max_length=1000)] = ()
    base: Map | None = None


class AdoptMap(msgspec.Struct, tag="adopt-map", frozen=True):
    """Use the proposed map. By the leader: ``judged``, the configured ``brokers``, what each holder ``needs``
    under it, and for how long (ms) it will be measured.
    """

    id: Text
    by: Text
    at: Millis
    number: Number = 0  # 0: the one that is proposed
    judged: MapVerdict = MapVerdict()
    brokers: Names = ()
    needs: ShardsByHolder = {}
    measure: Millis = 0


class AwayMap(msgspec.Struct, tag="away-map", frozen=True):
    """A person's word that a broker is not there and need not be waited for. ``belief``, by the leader: dead
    or left; any other is refused. It serves again only once it has read the log and staged what is in use.
    """

    id: Text
    by: Text
    at: Millis
    name: Name
    belief: Word = ""


class UseMap(msgspec.Struct, tag="use-map", frozen=True):
    """The leader's: who has the map ``number`` of this ``digest`` staged, and what holders proved."""

    id: Text
    by: Text
    at: Millis
    number: Number
    digest: Word
    staged: Names
    proved: ShardsByHolder = {}


class MeasuredMap(msgspec.Struct, tag="measured-map", frozen=True):
    """The leader's: what was measured, by broker the version in use and queries that hold an older one."""

    id: Text
    by: Text
    at: Millis
    number: Number
    figures: Measures
    using: Annotated[dict[Name, tuple[Number, Number]], Meta(max_length=MAX_BROKERS)]


class BackMap(msgspec.Struct, tag="back-map", frozen=True):
    """Give up a proposal that nobody uses yet; else go back to the map before, by staging it again."""

    id: Text
    by: Text
    at: Millis
    brokers: Names = ()
    needs: ShardsByHolder = {}


class ReadMap(msgspec.Struct, tag="read-map", frozen=True):
    """Changes nothing: when it takes effect at a broker, all that was committed before has, too."""

    id: Text
    by: Text
    at: Millis


MapCommand = ReadMap | ProposeMap | AdoptMap | AwayMap | UseMap | MeasuredMap | BackMap
MAP_COMMANDS = (ReadMap, ProposeMap, AdoptMap, AwayMap, UseMap, MeasuredMap, BackMap)
