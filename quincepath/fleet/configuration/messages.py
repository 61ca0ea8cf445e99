"""Messages between relays and subscribers: msgpack arrays, versioned, every size bounded.

The envelope follows ``fleet/messages.py``: fields are appended only, ``least`` says who may read it, bodies
are read apart. They travel on the framed connections of the fleet, not as datagrams: one delta may be eighty
times a packet, a connection that breaks is known at once, and a lost packet is sent again below this
protocol. The protocol relies on neither order nor delivery all the same, since a connection may be replaced
at any time. ``MARK`` begins each message, so that it can share a connection with others. No wall clock
travels: times are ages in ms.
"""

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.configuration.changes import (
    MAX_CHANGE_BYTES,
    MAX_NAME_CHARACTERS,
    Delta,
    Revision,
)
from quincepath.fleet.messages import (
    Counter,
    Name,
    Rejected,
    Text,
    Versions,
    Word64,
    decode_body,
    decode_envelope,
)

SCHEMA = 1
VERSIONS = Versions(SCHEMA, 1)
MARK = b"\xc1C"  # 0xc1 begins no msgpack value
BATCH_BYTES = 64 * 1024  # of deltas in one message, but for a single larger one
MAX_BATCH_DELTAS = 256
MAX_FRAME_BYTES = BATCH_BYTES + MAX_CHANGE_BYTES + 1024
PIECE_BYTES = 32 * 1024  # of a snapshot in one message
MAX_SNAPSHOT_BYTES = 16 << 20  # of a snapshot, compressed
MAX_LISTED_REVISIONS = 16  # in a summary
MAX_LISTED_LAGGARDS = 32
MAX_LISTED_REFUSALS = 16

AgeMs = Counter
Offset = Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
Named = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]


# --- from a subscriber ---


class Subscribe(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Serve me from here on. ``revision`` is applied; deltas up to ``received`` are held and not applied.

    ``snapshot``: send a snapshot, whatever deltas there are.
    """

    revision: Revision
    received: Revision
    snapshot: bool = False


class Unsubscribe(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Serve me no more."""


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Cumulative: everything up to ``revision`` is in force here, everything up to ``received`` is here."""

    revision: Revision
    received: Revision


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """``refused`` cannot be applied here, because of ``resource``; ``revision`` stays in force."""

    revision: Revision
    received: Revision
    refused: Revision
    resource: Named
    reason: Text


class FetchPieces(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Send the next pieces of the snapshot at ``revision``, from byte ``offset``."""

    revision: Revision
    offset: Offset


# --- from a relay ---


class Deltas(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Committed deltas in order, the first from ``from_revision``; ``newest`` that the relay knows."""

    from_revision: Revision
    newest: Revision
    deltas: Annotated[tuple[Delta, ...], Meta(max_length=MAX_BATCH_DELTAS)]


class SnapshotPiece(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """A part of all resources at ``revision``, compressed, from byte ``offset`` of ``total``."""

    revision: Revision
    offset: Offset
    total: Offset
    data: Annotated[bytes, Meta(max_length=PIECE_BYTES)]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """The relay serves you. ``age``: ms since a voter last confirmed that ``newest`` is the newest."""

    newest: Revision
    age: AgeMs


class Busy(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """Not now. ``full``: no room for one more subscriber; else a snapshot follows when its turn comes."""

    full: bool
    waiting: Counter = 0  # subscribers that wait for a snapshot before you


class Redirect(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Served no more: ask another. ``relay``: which; empty: the next in your own order."""

    relay: Annotated[str, Meta(max_length=32)]


# --- from a relay to the voters ---


class Laggard(msgspec.Struct, array_like=True, frozen=True):
    """A subscriber behind the newest revision; ``behind``: ms since it was last at the newest."""

    name: Name
    revision: Revision
    behind: AgeMs


class Refusal(msgspec.Struct, array_like=True, frozen=True):
    """A subscriber that refused a revision and stays on an older one."""

    name: Name
    revision: Revision
    refused: Revision
    resource: Named
    reason: Text


class RevisionCount(msgspec.Struct, array_like=True, frozen=True):
    """How many subscribers are at a revision."""

    revision: Revision
    subscribers: Counter


class Summary(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """All acknowledgements of one relay, in bounded size: the newest revisions, those furthest behind."""

    newest: Revision
    age: AgeMs
    subscribers: Counter
    counts: Annotated[tuple[RevisionCount, ...], Meta(max_length=MAX_LISTED_REVISIONS)]
    older: Counter  # subscribers at revisions that are not listed
    laggards: Annotated[tuple[Laggard, ...], Meta(max_length=MAX_LISTED_LAGGARDS)]
    behind: Counter  # subscribers behind the newest, also those not listed
    refusals: Annotated[tuple[Refusal, ...], Meta(max_length=MAX_LISTED_REFUSALS)]
    refused: Counter  # subscribers that refuse a revision, also those not listed
    waiting: Counter = 0  # for a snapshot


Body = (
    Subscribe | Unsubscribe | Ack | Nack | FetchPieces | Deltas | SnapshotPiece | Heartbeat | Busy | Redirect
    | Summary
)  # fmt: skip


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Around every message. ``boot`` tells starts of the sender apart."""

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


def encode_body(body: Body) -> msgspec.Raw:
    """A body, encoded once for all that it goes to."""
    return msgspec.Raw(_encoder.encode(body))


def pack(fleet: str, sender: str, boot: int, to: str, raw: msgspec.Raw) -> bytes:
    """One message, ready to go."""
    return MARK + _encoder.encode(Envelope(SCHEMA, SCHEMA, fleet, sender, to, boot, raw))


def open_envelope(data: bytes, fleet: str, to: str, own: bool = False) -> Envelope:
    """Of a message to this member, its body unread. ``own``: from itself, which no connection may bring.

    Raises ``Rejected``, with the causes of ``fleet/messages.py``.
    """
    if data[: len(MARK)] != MARK:
        raise Rejected("unreadable")
    found = decode_envelope(data[len(MARK) :], _envelopes, VERSIONS, fleet, to, MAX_FRAME_BYTES)
    if (found.sender == to) is not own:
        raise Rejected("wrong name")
    return found


def unpack(data: bytes, fleet: str, to: str, own: bool = False) -> tuple[Envelope, Body]:
    """A message to this member, whole. Raises ``Rejected``, as ``open_envelope``."""
    found = open_envelope(data, fleet, to, own)
    return found, decode_body(found.body, _bodies)


class Addressee(StrEnum):
    """Which part of a member a message is for."""

    RELAY = "relay"
    SUBSCRIBER = "subscriber"
    VOTER = "voter"


def addressee(body: msgspec.Raw) -> Addressee:
    """For whom a body is, by its tag alone. Raises ``Rejected`` for one that is no body's beginning."""
    head = bytes(memoryview(body)[: TAG_AT + 1])
    found = _ADDRESSEES.get(head[TAG_AT]) if len(head) > TAG_AT else None
    if found is None:
        raise Rejected("unknown kind")
    return found


TAG_AT = 1  # byte of a body's tag: an array of under sixteen fields has one byte before it
_ADDRESSEES = {
    **dict.fromkeys(range(1, 6), Addressee.RELAY),
    **dict.fromkeys(range(11, 16), Addressee.SUBSCRIBER),
    21: Addressee.VOTER,
}
