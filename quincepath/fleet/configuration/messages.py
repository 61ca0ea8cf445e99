"""Messages between relays and subscribers: msgpack arrays, versioned, every size bounded.

The envelope follows ``fleet/messages.py``: fields are only appended, ``least`` is the oldest schema that can
read it, and bodies are decoded separately. Messages use the framed connections of the fleet, not datagrams:
one delta may be eighty times the size of a packet, a broken connection is noticed at once, and TCP resends
lost packets. The protocol relies on neither order nor delivery nevertheless, since a connection may be
replaced at any time. Each message begins with ``MARK``, so that it can share a connection with other
protocols. No wall clock times are sent: times are ages in ms.
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
BATCH_BYTES = 64 * 1024  # of deltas in one message, unless a single one is larger
MAX_BATCH_DELTAS = 256
MAX_FRAME_BYTES = BATCH_BYTES + MAX_CHANGE_BYTES + 1024
PIECE_BYTES = 32 * 1024  # of a snapshot in one message
MAX_SNAPSHOT_BYTES = 16 << 20  # of a compressed snapshot
MAX_LISTED_REVISIONS = 16  # in a summary
MAX_LISTED_LAGGARDS = 32
MAX_LISTED_REFUSALS = 16

AgeMs = Counter
Offset = Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
Named = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]


# --- from a subscriber ---


class Subscribe(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Request updates. ``revision`` is applied; deltas up to ``received`` are held and not applied.

    ``snapshot``: send a snapshot, even where the relay has the deltas.
    """

    revision: Revision
    received: Revision
    snapshot: bool = False


class Unsubscribe(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Stop the updates."""


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Cumulative: everything up to ``revision`` is in force, everything up to ``received`` has arrived."""

    revision: Revision
    received: Revision


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """``refused`` cannot be applied, because of ``resource``; ``revision`` stays in force."""

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
    """Committed deltas in order, from ``from_revision`` on; ``newest`` is the relay's newest revision."""

    from_revision: Revision
    newest: Revision
    deltas: Annotated[tuple[Delta, ...], Meta(max_length=MAX_BATCH_DELTAS)]


class SnapshotPiece(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """A piece of the compressed snapshot at ``revision``, from byte ``offset`` of ``total``."""

    revision: Revision
    offset: Offset
    total: Offset
    data: Annotated[bytes, Meta(max_length=PIECE_BYTES)]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """The relay serves the subscriber. ``age``: ms since a voter last confirmed ``newest`` as the newest."""

    newest: Revision
    age: AgeMs


class Busy(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """``full``: the subscriber table is full; otherwise a snapshot is queued and follows later."""

    full: bool
    waiting: Counter = 0  # subscribers before this one in the queue for snapshots


class Redirect(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Use another relay: ``relay``, or, where it is empty, the next in the subscriber's order."""

    relay: Annotated[str, Meta(max_length=32)]


# --- from a relay to the voters ---


class Laggard(msgspec.Struct, array_like=True, frozen=True):
    """A subscriber behind the newest revision; ``behind``: ms since it was last at the newest."""

    name: Name
    revision: Revision
    behind: AgeMs


class Refusal(msgspec.Struct, array_like=True, frozen=True):
    """A subscriber that refused a revision and stays at an older one."""

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
    """Bounded summary of a relay's acknowledgements: the newest revisions and those furthest behind."""

    newest: Revision
    age: AgeMs
    subscribers: Counter
    counts: Annotated[tuple[RevisionCount, ...], Meta(max_length=MAX_LISTED_REVISIONS)]
    older: Counter  # subscribers at revisions that are not listed
    laggards: Annotated[tuple[Laggard, ...], Meta(max_length=MAX_LISTED_LAGGARDS)]
    behind: Counter  # all subscribers behind the newest, listed or not
    refusals: Annotated[tuple[Refusal, ...], Meta(max_length=MAX_LISTED_REFUSALS)]
    refused: Counter  # all subscribers that refuse a revision, listed or not
    waiting: Counter = 0  # subscribers in the queue for snapshots


Body = (
    Subscribe | Unsubscribe | Ack | Nack | FetchPieces | Deltas | SnapshotPiece | Heartbeat | Busy | Redirect
    | Summary
)  # fmt: skip


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Surrounds every message. ``boot`` identifies one start of the sender."""

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
    """Encode a body, once for all its receivers."""
    return msgspec.Raw(_encoder.encode(body))


def pack(fleet: str, sender: str, boot: int, to: str, raw: msgspec.Raw) -> bytes:
    """Encode one message with its envelope."""
    return MARK + _encoder.encode(Envelope(SCHEMA, SCHEMA, fleet, sender, to, boot, raw))


def open_envelope(data: bytes, fleet: str, to: str, own: bool = False) -> Envelope:
    """Decode the envelope of a message to this member, not its body.

    ``own``: sent by this member to itself, which is not accepted from a connection. Raises ``Rejected``, with
    the causes of ``fleet/messages.py``.
    """
    if data[: len(MARK)] != MARK:
        raise Rejected("unreadable")
    envelope = decode_envelope(data[len(MARK) :], _envelopes, VERSIONS, fleet, to, MAX_FRAME_BYTES)
    if (envelope.sender == to) is not own:
        raise Rejected("wrong name")
    return envelope


def unpack(data: bytes, fleet: str, to: str, own: bool = False) -> tuple[Envelope, Body]:
    """Decode a message to this member. Raises ``Rejected``, as ``open_envelope``."""
    envelope = open_envelope(data, fleet, to, own)
    return envelope, decode_body(envelope.body, _bodies)


class Addressee(StrEnum):
    """The component of a member that a message is for."""

    RELAY = "relay"
    SUBSCRIBER = "subscriber"
    VOTER = "voter"


def addressee(body: msgspec.Raw) -> Addressee:
    """The addressee of a body, by its tag alone. Raises ``Rejected`` where it does not begin like a body."""
    head = bytes(memoryview(body)[: TAG_OFFSET + 1])
    component = _ADDRESSEES.get(head[TAG_OFFSET]) if len(head) > TAG_OFFSET else None
    if component is None:
        raise Rejected("unknown kind")
    return component


TAG_OFFSET = 1  # of a body's tag in bytes: an array of under sixteen fields has one byte before it
_ADDRESSEES = {
    **dict.fromkeys(range(1, 6), Addressee.RELAY),
    **dict.fromkeys(range(11, 16), Addressee.SUBSCRIBER),
    21: Addressee.VOTER,
}
