"""Encodes a sample as msgpack messages of bounded size, and assembles samples from messages. Pure.

Each message has a table of the value lists that its footprints refer to, since queries of a class share
lists. A sample is used only when complete: with messages missing, it would no longer hold the queries with
the smallest hashes.
"""

from dataclasses import dataclass, field

import msgspec

from quincepath.fleet.forecast.footprints import Footprint, Part, Sample, Source, SourceKey, bounded

MAX_MESSAGE_BYTES = 32_768
MAX_MESSAGES = 256  # per sample
MAX_SENDERS = 1024  # assembled at once; the one that started first is dropped

FootprintRow = tuple[
    int, int, str, str, int, int, bool, bool, tuple[tuple[int, int, int, int, int, int], ...]
]


class SampleMessage(msgspec.Struct, frozen=True, array_like=True):
    """Message number ``place`` of the ``count`` messages of one sample.

    ``stamp`` distinguishes the samples of one sender.
    """

    sender: str
    boot: int
    stamp: int
    place: int
    count: int
    size: int
    sources: tuple[tuple[str, int, int, Source], ...]
    lists: tuple[tuple[str, ...], ...]
    lines: tuple[FootprintRow, ...]


def _to_row(footprint: Footprint, lists: dict[tuple[str, ...], int]) -> FootprintRow:
    parts = tuple(
        (
            lists.setdefault(part.values, len(lists)),
            part.calls,
            part.service,
            part.took,
            part.merged,
            part.more,
        )
        for part in footprint.parts
    )
    return (
        footprint.place, footprint.at, footprint.kind, footprint.tenant, footprint.target, footprint.took,
        footprint.open, footprint.unlabelled, parts,
    )  # fmt: skip


def _to_footprint(row: FootprintRow, lists: tuple[tuple[str, ...], ...]) -> Footprint:
    place, at, kind, tenant, target, took, is_open, unlabelled, parts = row
    found = tuple(
        Part(lists[values], calls, service, part_took, merged, more)
        for values, calls, service, part_took, merged, more in parts
    )
    return bounded(Footprint(place, at, kind, tenant, found, target, took, is_open, unlabelled))


def encode(
    sample: Sample, sender: str, boot: int, stamp: int, max_bytes: int = MAX_MESSAGE_BYTES
) -> list[bytes]:
    """Messages of at most ``max_bytes`` each, footprints with the smallest hashes first.

    Footprints beyond ``MAX_MESSAGES`` messages are left out, and the size sent is then the number of
    footprints included, so that it is still a valid sample. ValueError where a footprint or the sources alone
    exceed a message.
    """
    keys = [(*key, source) for key, source in sorted(sample.sources.items())]
    used = 0
    groups: list[tuple[list[tuple[str, int, int, Source]], list[Footprint]]] = []
    available = max_bytes - 256 - 2 * len(sender.encode())
    for item in keys:
        cost = len(msgspec.msgpack.encode(item))
        if not groups or used + cost > available:
            groups.append(([], []))
            used = 0
        groups[-1][0].append(item)
        used += cost
    known_lists: set[tuple[str, ...]] = set()
    included = 0
    for place in sorted(sample.footprints):
        footprint = sample.footprints[place]
        cost = _encoded_bytes(footprint, known_lists)
        if not groups or used + cost > available:
            if len(groups) == MAX_MESSAGES:
                break
            groups.append(([], []))
            known_lists, used = set(), 0
            cost = _encoded_bytes(footprint, known_lists)
        if cost > available:
            raise ValueError(
                f"footprint {place}: {cost} bytes; expected at most {available} in a message of {max_bytes}"
            )
        groups[-1][1].append(footprint)
        known_lists |= {part.values for part in footprint.parts}
        used += cost
        included += 1
    size = sample.size if included == len(sample.footprints) else included
    found = []
    for index, (sources, footprints) in enumerate(groups):
        lists: dict[tuple[str, ...], int] = {}
        rows = tuple(_to_row(footprint, lists) for footprint in footprints)
        message = SampleMessage(
            sender, boot, stamp, index, len(groups), size, tuple(sources), tuple(lists), rows
        )
        found.append(msgspec.msgpack.encode(message))
    return found


def _encoded_bytes(footprint: Footprint, known_lists: set[tuple[str, ...]]) -> int:
    new_lists = {part.values for part in footprint.parts} - known_lists
    return (
        len(msgspec.msgpack.encode(_to_row(footprint, {})))
        + 5 * len(footprint.parts)
        + sum(len(msgspec.msgpack.encode(values)) for values in new_lists)
    )


def decode(data: bytes) -> SampleMessage:
    """Reads a message. Raises ValueError that names what is wrong with the bytes."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"sample message: {len(data)} bytes; expected at most {MAX_MESSAGE_BYTES}")
    try:
        message = msgspec.msgpack.decode(data, type=SampleMessage)
    except msgspec.DecodeError as error:
        raise ValueError(f"sample message: {error}") from None
    if not 0 <= message.place < message.count <= MAX_MESSAGES:
        raise ValueError(
            f"sample message: number {message.place} of {message.count}; expected at most {MAX_MESSAGES}"
        )
    for row in message.lines:
        if any(not 0 <= part[0] < len(message.lists) or min(part) < 0 for part in row[8]):
            raise ValueError(
                f"sample message: footprint {row[0]}: a part with an unknown list or a negative number"
            )
    return message


@dataclass(slots=True)
class SampleAssembler:
    """Assembles messages, in any order and possibly duplicated, into one complete sample per sender.

    Of each sender only the newest (boot, stamp) counts. ``complete``: the samples with all their messages.
    """

    size: int
    complete: dict[str, Sample] = field(default_factory=dict)
    _pending: dict[str, tuple[tuple[int, int], dict[int, SampleMessage]]] = field(default_factory=dict)

    def receive(self, message: SampleMessage) -> bool:
        """True if this message completes the sender's sample."""
        stamp = (message.boot, message.stamp)
        newest, received = self._pending.get(message.sender, (stamp, {}))
        if stamp < newest or (stamp == newest and message.place in received):
            return False
        if stamp > newest:
            received = {}
        if message.sender not in self._pending and len(self._pending) >= MAX_SENDERS:
            del self._pending[next(iter(self._pending))]
        received[message.place] = message
        self._pending[message.sender] = (stamp, received)
        if len(received) < message.count:
            return False
        self.complete[message.sender] = self._joined(list(received.values()))
        while len(self.complete) > MAX_SENDERS:
            del self.complete[next(iter(self.complete))]
        self._pending[message.sender] = (stamp, dict.fromkeys(received, message))
        return True

    def sample(self) -> Sample:
        """All complete samples merged."""
        return Sample(size=self.size).merged(*self.complete.values())

    @staticmethod
    def _joined(messages: list[SampleMessage]) -> Sample:
        footprints: dict[int, Footprint] = {}
        sources: dict[SourceKey, Source] = {}
        for message in messages:
            footprints |= {row[0]: _to_footprint(row, message.lists) for row in message.lines}
            sources |= {(name, boot, window): source for name, boot, window, source in message.sources}
        return Sample({place: footprints[place] for place in sorted(footprints)}, sources, messages[0].size)
