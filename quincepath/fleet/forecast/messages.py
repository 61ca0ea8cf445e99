"""A sample in messages of bounded size, and their gathering; msgpack. Pure.

Each message has a table of the lists of values that its footprints name, since queries of a kind name the
same. A sample counts only whole: with some messages missing it would no longer be the queries of least place.
"""

from dataclasses import dataclass, field

import msgspec

from quincepath.fleet.forecast.footprints import Footprint, Key, Part, Sample, Source, bounded

MAX_MESSAGE_BYTES = 32_768  # of one message
MAX_MESSAGES = 256  # of one sample
MAX_SENDERS = 1024  # being gathered at once; the one that began first gives way

Line = tuple[int, int, str, str, int, int, bool, bool, tuple[tuple[int, int, int, int, int, int], ...]]


class SampleMessage(msgspec.Struct, frozen=True, array_like=True):
    """The ``place``-th of ``count`` messages of one sample; ``stamp`` tells the samples of one sender
    apart.
    """

    sender: str
    boot: int
    stamp: int
    place: int
    count: int
    size: int
    sources: tuple[tuple[str, int, int, Source], ...]
    lists: tuple[tuple[str, ...], ...]
    lines: tuple[Line, ...]


def _line(one: Footprint, lists: dict[tuple[str, ...], int]) -> Line:
    parts = tuple(
        (
            lists.setdefault(part.values, len(lists)),
            part.calls,
            part.service,
            part.took,
            part.merged,
            part.more,
        )
        for part in one.parts
    )
    return (one.place, one.at, one.kind, one.tenant, one.target, one.took, one.open, one.unlabelled, parts)


def _footprint(line: Line, lists: tuple[tuple[str, ...], ...]) -> Footprint:
    place, at, kind, tenant, target, took, is_open, unlabelled, parts = line
    found = tuple(
        Part(lists[values], calls, service, span, merged, more)
        for values, calls, service, span, merged, more in parts
    )
    return bounded(Footprint(place, at, kind, tenant, found, target, took, is_open, unlabelled))


def encode(sample: Sample, sender: str, boot: int, stamp: int, most: int = MAX_MESSAGE_BYTES) -> list[bytes]:
    """Messages of at most ``most`` bytes. Footprints of least place go first; what is beyond
    ``MAX_MESSAGES`` messages is left out and the sample's size is said to be as small as that, so that it
    stays a sample. ValueError where a footprint or the sources alone are larger than a message."""
    keys = [(*key, source) for key, source in sorted(sample.sources.items())]
    used = 0
    groups: list[tuple[list[tuple[str, int, int, Source]], list[Footprint]]] = []
    room = most - 256 - 2 * len(sender.encode())
    for item in keys:
        cost = len(msgspec.msgpack.encode(item))
        if not groups or used + cost > room:
            groups.append(([], []))
            used = 0
        groups[-1][0].append(item)
        used += cost
    known: set[tuple[str, ...]] = set()
    sent = 0
    for place in sorted(sample.footprints):
        one = sample.footprints[place]
        cost = _cost(one, known)
        if not groups or used + cost > room:
            if len(groups) == MAX_MESSAGES:
                break
            groups.append(([], []))
            known, used = set(), 0
            cost = _cost(one, known)
        if cost > room:
            raise ValueError(
                f"footprint {place}: {cost} bytes; expected at most {room} in a message of {most}"
            )
        groups[-1][1].append(one)
        known |= {part.values for part in one.parts}
        used += cost
        sent += 1
    size = sample.size if sent == len(sample.footprints) else sent
    found = []
    for index, (sources, footprints) in enumerate(groups):
        lists: dict[tuple[str, ...], int] = {}
        lines = tuple(_line(one, lists) for one in footprints)
        message = SampleMessage(
            sender, boot, stamp, index, len(groups), size, tuple(sources), tuple(lists), lines
        )
        found.append(msgspec.msgpack.encode(message))
    return found


def _cost(one: Footprint, known: set[tuple[str, ...]]) -> int:
    new = {part.values for part in one.parts} - known
    return (
        len(msgspec.msgpack.encode(_line(one, {})))
        + 5 * len(one.parts)
        + sum(len(msgspec.msgpack.encode(values)) for values in new)
    )


def decode(data: bytes) -> SampleMessage:
    """ValueError naming what is wrong with the bytes."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"sample message: {len(data)} bytes; expected at most {MAX_MESSAGE_BYTES}")
    try:
        message = msgspec.msgpack.decode(data, type=SampleMessage)
    except msgspec.DecodeError as error:
        raise ValueError(f"sample message: {error}") from None
    if not 0 <= message.place < message.count <= MAX_MESSAGES:
        raise ValueError(
            f"sample message: {message.place} of {message.count}; expected at most {MAX_MESSAGES}"
        )
    for line in message.lines:
        if any(not 0 <= part[0] < len(message.lists) or min(part) < 0 for part in line[8]):
            raise ValueError(
                f"sample message: footprint {line[0]}: a part out of range; expected counts from 0"
            )
    return message


@dataclass(slots=True)
class SampleAssembler:
    """Messages as they come, in any order and doubled -> samples by sender, each when it is whole.

    Of one sender the newest (boot, stamp) counts. Told to ``merge`` only what is asked for: see ``whole``.
    """

    size: int
    complete: dict[str, Sample] = field(default_factory=dict)
    _parts: dict[str, tuple[tuple[int, int], dict[int, SampleMessage]]] = field(default_factory=dict)

    def receive(self, message: SampleMessage) -> bool:
        """True when the sender's sample is whole by this one."""
        stamp = (message.boot, message.stamp)
        there, parts = self._parts.get(message.sender, (stamp, {}))
        if stamp < there or (stamp == there and message.place in parts):
            return False
        if stamp > there:
            parts = {}
        if message.sender not in self._parts and len(self._parts) >= MAX_SENDERS:
            del self._parts[next(iter(self._parts))]
        parts[message.place] = message
        self._parts[message.sender] = (stamp, parts)
        if len(parts) < message.count:
            return False
        self.complete[message.sender] = self._joined(list(parts.values()))
        while len(self.complete) > MAX_SENDERS:
            del self.complete[next(iter(self.complete))]
        self._parts[message.sender] = (stamp, dict.fromkeys(parts, message))
        return True

    def sample(self) -> Sample:
        """All whole samples merged."""
        return Sample(size=self.size).merged(*self.complete.values())

    @staticmethod
    def _joined(messages: list[SampleMessage]) -> Sample:
        footprints: dict[int, Footprint] = {}
        sources: dict[Key, Source] = {}
        for message in messages:
            footprints |= {line[0]: _footprint(line, message.lists) for line in message.lines}
            sources |= {(name, boot, window): source for name, boot, window, source in message.sources}
        return Sample({place: footprints[place] for place in sorted(footprints)}, sources, messages[0].size)
