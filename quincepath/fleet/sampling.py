"""Footprints of this broker's queries, samples received by the leader, and figures measured from them.

Pure: times are passed in, ns since the epoch unless stated. Each version of the map has its own sample, so
that what is measured after a change contains no query from before it.
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

SAMPLE_SIZE = 1024  # footprints, of a broker and of the fleet
SECOND_NS = 1_000_000_000
# Between two samples sent by one broker; it grows with the number of brokers in the fleet.
SEND_INTERVAL_NS = 10 * SECOND_NS
SEND_INTERVAL_PER_BROKER_NS = SECOND_NS // 10


@dataclass(slots=True)
class Samples:
    """``add`` for each query answered; ``due`` and ``messages`` to send to the leader; ``receive`` there."""

    member: str
    boot: int
    brokers: int
    version: int = 0
    sampler: Sampler = field(init=False)
    assembler: SampleAssembler = field(init=False)
    _last_stamp: int = 0
    _stamps: dict[str, int] = field(default_factory=dict)  # of complete samples, by sender
    _sent_for: tuple[str, str] = ("", "")  # leader and step of the last sample sent
    _next_send: int = 0

    def __post_init__(self) -> None:
        self.begin(0)

    def begin(self, version: int) -> None:
        """Samples queries of this version from now on."""
        self.version = version
        self.sampler = Sampler(f"{self.member}/{version}", self.boot, SAMPLE_SIZE)
        self.assembler = SampleAssembler(SAMPLE_SIZE)
        self._stamps = {}
        self._sent_for = ("", "")

    def add(
        self, ask: int, at: int, kind: str, tenant: str, target: int, took: int,
        parts: tuple[Part, ...], accepts: tuple[bool, bool],
    ) -> None:  # fmt: skip
        """A query was answered. ``accepts``: values that are not known yet; series without the label."""
        self.sampler.count(at)
        place = self.sampler.hash_if_sampled(ask)
        if place is not None:
            self.sampler.add(Footprint(place, at, kind, tenant, parts, target, took, *accepts))

    # --- sending to the leader ---

    def due(self, now: int, leader: str, step: str) -> bool:
        """Whether to send the sample to the leader: at once for each new step or leader, then periodically.

        ``now``: ns of any clock.
        """
        if not leader or leader == self.member:
            return False
        if (leader, step) != self._sent_for or now >= self._next_send:
            self._sent_for, self._next_send = (
                (leader, step),
                now + SEND_INTERVAL_NS + SEND_INTERVAL_PER_BROKER_NS * self.brokers,
            )
            return True
        return False

    def messages(self, wall_ms: int) -> list[bytes]:
        """The current sample; ``wall_ms`` is its stamp, increased where needed to stay unique."""
        self._last_stamp = max(self._last_stamp + 1, wall_ms)
        return encode(self.sampler.sample(), f"{self.member}/{self.version}", self.boot, self._last_stamp)

    # --- on the leader ---

    def receive(self, sender: str, data: bytes) -> str:
        """Returns why a message is rejected, empty if it was accepted.

        Rejected: invalid, another sender's, or of another version than this broker uses.
        """
        try:
            message = decode(data)
        except ValueError as error:
            return str(error)
        if message.sender != f"{sender}/{self.version}":
            return f"sample of {message.sender!r}; expected one of {sender!r} for version {self.version}"
        if self.assembler.receive(message):
            self._stamps[sender] = message.stamp
        return ""

    def heard_since(self, wall_ms: int) -> int:
        """Number of brokers with a sample of this time or later, including this broker."""
        return 1 + sum(stamp >= wall_ms for stamp in self._stamps.values())

    def fleet_sample(self) -> tuple[Sample, int]:
        """The fleet's sample including this broker's own, and the number of brokers in it."""
        own = self.sampler.sample()
        return own.merged(self.assembler.sample()), 1 + len(self.assembler.complete)

    def measured(self, version: MapVersion, holders: Mapping[str, int], slots: int) -> Measurement | None:
        """Figures of the queries sampled since the version is in use; None without a query."""
        sample, brokers_heard = self.fleet_sample()
        if not sample.footprints:
            return None
        environment = Environment(dict(holders), slots, min(brokers_heard, self.brokers), self.brokers)
        found = forecast(sample, version, version, environment, ReplaySettings(draws=40)).figures
        figures = {key: float(figure.value) for key, figure in found.items() if key[0] is not FigureKind.MISS}
        queries = list(sample.footprints.values())
        for name in {"", *(query.kind for query in queries)}:
            mine = [query for query in queries if name in ("", query.kind)]
            figures[FigureKind.MISS, name] = sum(query.took > query.target for query in mine) / len(mine)
        return tuple((kind.value, where, value) for (kind, where), value in sorted(figures.items()))
