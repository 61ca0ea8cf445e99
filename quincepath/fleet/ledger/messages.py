"""The ledger's messages: msgpack arrays, versioned, one datagram each (docs/design/ledger.md).

The envelope follows quincepath/fleet/messages.py: fields are appended only, ``least`` says who may read it,
bodies are read apart. ``MARK`` is the first byte, so that they can share a socket with the view's messages,
which begin with an array's head. No wall clock travels: times are ages in ms.
"""

from collections.abc import Iterable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.ledger.fields import FIELDS, VALUE_MOST, runs_of, width
from quincepath.fleet.ledger.tally import TENANT_MOST
from quincepath.fleet.messages import MAX_DATAGRAM_BYTES, Counter, Name, Rejected, Word64

SCHEMA = 1
OLDEST = 1
MARK = b"\xc1L"  # 0xc1 begins no msgpack value
HEAD = 176  # bytes that envelope and a body's other fields take at most
ROOM = MAX_DATAGRAM_BYTES - HEAD
CAUSES = (
    "unreadable", "too large", "too old", "too new", "wrong fleet", "wrong name", "unknown member",
    "unknown kind", "not mine", "older", "second boot", "backwards", "jump", "clipped",
)  # fmt: skip

Value = Annotated[int, Meta(ge=0, le=VALUE_MOST)]
Small = Annotated[int, Meta(ge=0, le=1 << 20)]
Permille = Annotated[int, Meta(ge=0, le=1000)]
Runs = Annotated[tuple[Value, ...], Meta(max_length=MAX_DATAGRAM_BYTES)]
Tenant = Annotated[str, Meta(min_length=1, max_length=TENANT_MOST)]


class Use(msgspec.Struct, array_like=True, frozen=True):
    """Of one tenant: slot time in ms and what waits; ``base`` as in ``TenantCount``, 0 in sums."""

    name: Tenant
    slot: Value
    waiting: Small = 0
    base: Value = 0


Uses = Annotated[tuple[Use, ...], Meta(max_length=256)]


class Report(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Some of the counts of the sender; those not in it are as they were. ``up``: ms since they began."""

    number: Counter
    up: Counter
    line: Permille
    waiting: Small
    runs: Runs
    uses: Uses = ()


class Sum(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Sums over a window of a group (``down`` false), or of the fleet (true).

    Of the fields from ``low`` to below ``high`` those not named are zero; of tenants too, unless ``uses``
    is None. ``lines``: the sum of the lines of those heard, permille. ``groups``: how many groups there are.
    """

    down: bool
    level: Annotated[int, Meta(ge=0, le=4)]
    place: Annotated[int, Meta(ge=0, le=1024)]
    groups: Annotated[int, Meta(ge=1, le=1024)]
    number: Counter
    heard: Small
    age: Small
    lines: Small
    waiting: Small
    low: Annotated[int, Meta(ge=0, le=FIELDS)]
    high: Annotated[int, Meta(ge=0, le=FIELDS)]
    runs: Runs
    uses: Uses | None = None


Body = Report | Sum


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Around every message."""

    schema: Annotated[int, Meta(ge=0, le=1 << 16)]
    least: Annotated[int, Meta(ge=0, le=1 << 16)]
    fleet: Name
    sender: Name
    to: Name
    boot: Word64
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_envelopes = msgspec.msgpack.Decoder(Envelope)
_bodies: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


def encode(body: Body) -> msgspec.Raw:
    """A body, once for all that it goes to."""
    return msgspec.Raw(_encoder.encode(body))


def pack(fleet: str, sender: str, boot: int, to: str, raw: msgspec.Raw) -> bytes:
    """One datagram, ready to go."""
    return MARK + _encoder.encode(Envelope(SCHEMA, SCHEMA, fleet, sender, to, boot, raw))


def unpack(data: bytes, fleet: str, to: str) -> tuple[Envelope, Body]:
    """A message to this member. Raises ``Rejected``."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise Rejected("too large")
    if data[: len(MARK)] != MARK:
        raise Rejected("unreadable")
    try:
        found = _envelopes.decode(memoryview(data)[len(MARK) :])
    except msgspec.MsgspecError:
        raise Rejected("unreadable") from None
    if found.schema < OLDEST:
        raise Rejected("too old")
    if found.least > SCHEMA:
        raise Rejected("too new")
    if found.fleet != fleet:
        raise Rejected("wrong fleet")
    if found.to != to or found.sender == to:
        raise Rejected("wrong name")
    try:
        return found, _bodies.decode(found.body)
    except msgspec.MsgspecError:
        raise Rejected("unknown kind") from None


def cost(use: Use) -> int:
    """Bytes of a tenant in a message, at most."""
    return 3 + len(use.name.encode()) + width(use.slot) + width(use.waiting) + width(use.base)


def fit(uses: Iterable[Use], room: int) -> tuple[Use, ...]:
    """As many of them as there is room for, in order."""
    found = []
    for use in uses:
        room -= cost(use)
        if room < 0:
            break
        found.append(use)
    return tuple(found)


Cut = tuple[int, int, tuple[int, ...]]  # low, high, runs


def cut(values: dict[int, int], first_room: int) -> list[Cut]:
    """Sums cut into ranges that each fit a datagram; the first has so much room. Together they name all."""
    cuts: list[Cut] = []
    numbers: list[int] = []
    low, left, after = 0, first_room, -1
    for number in sorted(values):
        need = width(values[number]) + (0 if number == after else 4)
        if need > left:
            cuts.append((low, number, runs_of(values, numbers)))
            numbers, low, left = [], number, ROOM
            need = width(values[number]) + 4
        numbers.append(number)
        left -= need
        after = number + 1
    cuts.append((low, FIELDS, runs_of(values, numbers)))
    return cuts


class Telling:
    """Which counts go into the next report: what changed first, the longest untold first among those.

    A quarter of the room is for the longest untold of all, so that everything comes round whatever changes:
    of the largest report (2,373 fields of 9 bytes) within 55 periods (15 where half of all change in each),
    of one that fits its datagrams in every one.
    """

    def __init__(self, packets: int) -> None:
        self._packets = packets
        self._told: dict[int, tuple[int, int]] = {}  # by number: in which report, and what
        self._uses: dict[str, tuple[int, int]] = {}  # by tenant: in which report, and its slot time
        self._number = 0

    def _urgency(self, number: int, value: int) -> tuple[bool, int]:
        report, told = self._told.get(number, (-1, -1))
        return told == value, report

    def reports(
        self, values: dict[int, int], uses: Sequence[Use], up: int, line: int, waiting: int
    ) -> list[Report]:
        """What goes out now, one datagram each."""
        self._number += 1
        told = self._told
        order = sorted(values, key=lambda n: (*self._urgency(n, values[n]), n))
        # Tenants take at most half of the first datagram where there are more.
        turn = sorted(uses, key=lambda use: self._uses.get(use.name, (-1, -1)))
        named = fit(turn, ROOM // 2 if self._packets > 1 else ROOM // 3)
        rooms = [ROOM - sum(map(cost, named))] + [ROOM] * (self._packets - 1)
        spare = sum(rooms) // 4
        chosen: list[set[int]] = [set() for _ in rooms]
        left = [room - 8 for room in rooms]
        taken: set[int] = set()

        def put(numbers: Iterable[int], most: int) -> None:
            at = 0
            for number in numbers:
                need = width(values[number]) + (0 if number - 1 in chosen[at] else 4)
                if left[at] < need:
                    at, need = at + 1, width(values[number]) + 4
                most -= need
                if at == len(left) or left[at] < need or most < 0:
                    return
                left[at] -= need
                taken.add(number)
                chosen[at].add(number)

        heads = sum(4 for number in values if number - 1 not in values)
        if sum(map(width, values.values())) + heads > sum(left) - 16:
            put(sorted(values, key=lambda n: told.get(n, (-1, 0))[0]), spare)
        put((number for number in order if number not in taken), sum(rooms))
        for number in taken:
            told[number] = (self._number, values[number])
        self._uses = {use.name: self._uses.get(use.name, (-1, -1)) for use in uses}
        for use in named:
            self._uses[use.name] = (self._number, use.slot)
        out = []
        for place, numbers in enumerate(chosen):
            if numbers or not place:
                runs = runs_of(values, sorted(numbers))
                out.append(Report(self._number, up, line, waiting, runs, named if not place else ()))
        return out
