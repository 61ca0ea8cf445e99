"""Footprints of this broker's queries, what brokers told the leader of theirs, and figures measured of them.

Pure: times come in, ns since the epoch unless said. Each version of the map has a sample of its own, so that
what is measured after a change holds no query from before it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from quincepath.fleet.adoption.reports import Measurement
from quincepath.fleet.forecast import (
    Environment,
    FigureKind,
    Footprint,
    Part,
    ReplaySettings,
    Sample,
    SampleAssembler,
    Sampler,
    decode,
    encode,
    forecast,
)
from quincepath.shards.versions import MapVersion

SAMPLE_SIZE = 1024  # footprints of a broker, and of the fleet
SECOND_NS = 1_000_000_000
SEND_INTERVAL_NS = 10 * SECOND_NS  # between samples that one broker sends,
SEND_INTERVAL_PER_BROKER_NS = SECOND_NS // 10  # and so much more for each broker of the fleet


@dataclass(slots=True)
class Samples:
    """``add`` for each query answered; ``due`` and ``messages`` towards the leader; ``receive`` there."""

    member: str
    boot: int
    brokers: int
    version: int = 0
    sampler: Sampler = field(init=False)
    assembler: SampleAssembler = field(init=False)
    _stamp: int = 0
    _stamps: dict[str, int] = field(default_factory=dict)  # of those that are whole, by sender
    _told: tuple[str, str] = ("", "")  # to whom, for which step
    _next: int = 0

    def __post_init__(self) -> None:
        self.begin(0)

    def begin(self, version: int) -> None:
        """Queries of this version from now on."""
        self.version = version
        self.sampler = Sampler(f"{self.member}/{version}", self.boot, SAMPLE_SIZE)
        self.assembler = SampleAssembler(SAMPLE_SIZE)
        self._stamps = {}
        self._told = ("", "")

    def add(
        self, ask: int, at: int, kind: str, tenant: str, target: int, took: int,
        parts: tuple[Part, ...], accepts: tuple[bool, bool],
    ) -> None:  # fmt: skip
        """A query has been answered. ``accepts``: values that nobody knows yet; series without the label."""
        self.sampler.count(at)
        place = self.sampler.hash_if_sampled(ask)
        if place is not None:
            self.sampler.add(Footprint(place, at, kind, tenant, parts, target, took, *accepts))

    # --- towards the leader ---

    def due(self, now: int, leader: str, step: str) -> bool:
        """Whether the sample goes to the leader: at once for each step and leader, then now and then.
        ``now``: ns of any clock."""
        if not leader or leader == self.member:
            return False
        if (leader, step) != self._told or now >= self._next:
            self._told, self._next = (
                (leader, step),
                now + SEND_INTERVAL_NS + SEND_INTERVAL_PER_BROKER_NS * self.brokers,
            )
            return True
        return False

    def messages(self, wall: int) -> list[bytes]:
        """As it stands now; ``wall``, ms, is its stamp."""
        self._stamp = max(self._stamp + 1, wall)
        return encode(self.sampler.sample(), f"{self.member}/{self.version}", self.boot, self._stamp)

    # --- the leader ---

    def receive(self, sender: str, data: bytes) -> str:
        """Why it is not taken: unreadable, another's, or of another version than this broker uses."""
        try:
            message = decode(data)
        except ValueError as error:
            return str(error)
        if message.sender != f"{sender}/{self.version}":
            return f"sample of {message.sender!r}; expected one of {sender!r} for version {self.version}"
        if self.assembler.receive(message):
            self._stamps[sender] = message.stamp
        return ""

    def heard_since(self, wall: int) -> int:
        """Brokers whose sample is of then or later (ms), this one among them."""
        return 1 + sum(stamp >= wall for stamp in self._stamps.values())

    def gathered(self) -> tuple[Sample, int]:
        """The fleet's sample with this broker's own, and how many brokers are in it."""
        own = self.sampler.sample()
        return own.merged(self.assembler.sample()), 1 + len(self.assembler.complete)

    def measured(self, version: MapVersion, holders: Mapping[str, int], slots: int) -> Measurement | None:
        """Figures of what was sampled since the version is in use; None without a query."""
        sample, heard = self.gathered()
        if not sample.footprints:
            return None
        world = Environment(dict(holders), slots, min(heard, self.brokers), self.brokers)
        found = forecast(sample, version, version, world, ReplaySettings(draws=40)).figures
        figures = {place: float(one.value) for place, one in found.items() if place[0] is not FigureKind.MISS}
        queries = list(sample.footprints.values())
        for name in {"", *(one.kind for one in queries)}:
            mine = [one for one in queries if name in ("", one.kind)]
            figures[FigureKind.MISS, name] = sum(one.took > one.target for one in mine) / len(mine)
        return tuple((kind.value, where, value) for (kind, where), value in sorted(figures.items()))
