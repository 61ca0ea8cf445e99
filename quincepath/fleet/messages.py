"""Messages between brokers: versioned msgpack arrays, each size bounded.

An envelope names the schema, the fleet, the sender and the receiver, and carries the sender's state of
itself. Fields are only appended, never removed or changed: an older version ignores unknown fields at the end
of an array, a newer one uses defaults for missing ones. ``least`` is the oldest schema that may read an
envelope; a change that older versions would misread raises it. The body is decoded separately: a body of an
unknown kind is dropped, and its envelope is still evaluated.

Messages carry no secrets and no wall clock times: times are ages in milliseconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Protocol, TypeVar

import msgspec
from msgspec import Meta

SCHEMA = 1
OLDEST_READABLE = 1  # oldest schema that this version still reads
MAX_DATAGRAM_BYTES = 1200  # of a datagram: fits into one packet without fragmentation on usual paths
MAX_FRAME_BYTES = 512 * 1024  # of one message on a connection
MAX_MEMBERS = 1000  # of one fleet
MAX_NAME_CHARS = 32
MAX_ACCUSERS = 4  # listed with one suspicion
MAX_COUNTER = 1 << 40  # a higher incarnation cannot come from counting events

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
ShortText = Annotated[str, Meta(max_length=40)]
Millis = Annotated[int, Meta(ge=0, le=1 << 53)]  # wall clock, since the epoch
Text = Annotated[str, Meta(max_length=400)]
Counter = Annotated[int, Meta(ge=0, le=MAX_COUNTER)]
Word64 = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class MemberState(msgspec.Struct, array_like=True, frozen=True):
    """State of one member. ``age``: ms since it became suspect, dead or left; 0 in the other phases."""

    name: Name
    boot: Word64
    incarnation: Counter
    phase: Annotated[int, Meta(ge=0, le=4)]
    age: Counter = 0
    accusers: Annotated[tuple[Name, ...], Meta(max_length=MAX_ACCUSERS)] = ()
    draining: bool = False
    zone: ShortText = ""
    version: ShortText = ""
    config: ShortText = ""


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Direct probe; the receiver answers with an ``Ack`` of the same number."""

    number: Counter


class PingReq(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Request for an indirect probe of ``target``: ``Ack`` if it answers, ``Nack`` if it does not in time."""

    number: Counter
    target: Name


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Answer to the ping of this number."""

    number: Counter


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The sender is live, and the target of its indirect probe did not answer."""

    number: Counter


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Carries updates only."""


class SameDigest(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Answer in an exchange: the sender's view has the same digest."""


class ExchangeRequest(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """First message of an exchange; the digest is in the envelope."""


class FullState(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """All beliefs of the sender, in an exchange. ``answer``: the receiver sends its own back."""

    beliefs: Annotated[tuple[MemberState, ...], Meta(max_length=MAX_MEMBERS)]
    answer: bool = True


Body = Ping | PingReq | Ack | Nack | Gossip | SameDigest | ExchangeRequest | FullState


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Envelope of every message. ``digest`` covers the live members in the sender's view.

    ``count`` grows with each message of a boot: a message that is not the newest does not show that the
    sender is live now.
    """

    schema: Annotated[int, Meta(ge=0, le=1 << 16)]
    least: Annotated[int, Meta(ge=0, le=1 << 16)]
    fleet: Name
    sender: Name
    to: Name
    me: MemberState
    digest: Word64
    count: Counter
    body: msgspec.Raw
    news: Annotated[tuple[MemberState, ...], Meta(max_length=64)] = ()


class Rejected(ValueError):
    """The message is dropped; ``cause`` is one of ``CAUSES``, so that drops can be counted by it."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


CAUSES = (
    "unreadable", "too large", "too old", "too new", "wrong fleet", "wrong name", "unknown member",
    "unknown kind",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Versions:
    """Schema of one kind of message: the one that this version writes, and the oldest that it still reads."""

    schema: int
    oldest: int


class EnvelopeFields(Protocol):
    """Fields that every envelope between brokers has."""

    @property
    def schema(self) -> int:
        """Schema that the sender writes."""

    @property
    def least(self) -> int:
        """Oldest schema that may read the message."""

    @property
    def fleet(self) -> str:
        """Name of the fleet."""

    @property
    def to(self) -> str:
        """Name of the receiving member."""


AnyEnvelope = TypeVar("AnyEnvelope", bound=EnvelopeFields)
AnyBody = TypeVar("AnyBody")
VERSIONS = Versions(SCHEMA, OLDEST_READABLE)
_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_body_decoder: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


def encoded_size(state: MemberState) -> int:
    """Bytes that a state takes in a message."""
    return len(_encoder.encode(state))


def pack(
    fleet: str,
    to: str,
    me: MemberState,
    digest: int,
    count: int,
    body: Body,
    updates: Sequence[MemberState] = (),
) -> bytes:
    """Encode one message."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(
        Envelope(SCHEMA, SCHEMA, fleet, me.name, to, me, digest, count, raw, tuple(updates))
    )


def decode_envelope(
    data: bytes,
    decoder: msgspec.msgpack.Decoder[AnyEnvelope],
    versions: Versions,
    fleet: str,
    to: str,
    max_bytes: int,
) -> AnyEnvelope:
    """Decode and check the envelope of a message of at most ``max_bytes`` to ``to``. Raises ``Rejected``."""
    if len(data) > max_bytes:
        raise Rejected("too large")
    try:
        found = decoder.decode(data)
    except msgspec.MsgspecError:
        raise Rejected("unreadable") from None
    if found.schema < versions.oldest:
        raise Rejected("too old")
    if found.least > versions.schema:
        raise Rejected("too new")
    if found.fleet != fleet:
        raise Rejected("wrong fleet")
    if found.to != to:
        raise Rejected("wrong name")
    return found


def decode_body(raw: msgspec.Raw, decoder: msgspec.msgpack.Decoder[AnyBody]) -> AnyBody:
    """Decode a body. Raises ``Rejected`` if its kind is unversions."""
    try:
        return decoder.decode(raw)
    except msgspec.MsgspecError:
        raise Rejected("unknown kind") from None


def unpack(data: bytes, fleet: str, to: str, max_bytes: int) -> Envelope:
    """Decode the envelope of a view message to ``to``. Raises ``Rejected``."""
    found = decode_envelope(data, _envelope_decoder, VERSIONS, fleet, to, max_bytes)
    if found.me.name != found.sender:
        raise Rejected("wrong name")
    return found


def body_of(envelope: Envelope) -> Body:
    """Decode the body of a view message. Raises ``Rejected`` if its kind is unversions."""
    return decode_body(envelope.body, _body_decoder)
