"""Messages between brokers: msgpack arrays, versioned, every size bounded.

Each travels in an envelope that names the schema, the fleet, who speaks and to whom, and carries what the
speaker says of itself. Fields are appended only, never removed or changed: an older program ignores what it
does not know at the end of an array, a newer one fills in what is missing. ``least`` is the oldest schema
that may read an envelope; a change that older programs would misread raises it. Bodies are read apart from
their envelope: one of an unknown kind is dropped, and its speaker is heard all the same.

They carry no secrets and no wall clock: times are ages in milliseconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Protocol, TypeVar

import msgspec
from msgspec import Meta

SCHEMA = 1
OLDEST_READABLE = 1  # what this program still reads
MAX_DATAGRAM_BYTES = 1200  # bytes of a datagram: fits one packet on every sound path
MAX_FRAME_BYTES = 512 * 1024  # bytes of one message of an exchange
MAX_MEMBERS = 1000  # of one fleet
MAX_NAME_CHARS = 32  # characters of a name
MAX_ACCUSERS = 4  # named with one suspicion
MAX_COUNTER = 1 << 40  # an incarnation beyond is no count of anything that happened

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
ShortText = Annotated[str, Meta(max_length=40)]
Millis = Annotated[int, Meta(ge=0, le=1 << 53)]  # of a wall clock, since the epoch
Text = Annotated[str, Meta(max_length=400)]
Counter = Annotated[int, Meta(ge=0, le=MAX_COUNTER)]
Word64 = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class MemberState(msgspec.Struct, array_like=True, frozen=True):
    """What is said of one member. ``age``: ms since it was suspected, dead or gone; 0 for the others."""

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
    """Answer with an ``Ack`` of the same number."""

    number: Counter


class PingReq(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Ping ``target`` for me: ``Ack`` if it answers, ``Nack`` if it does not in time."""

    number: Counter
    target: Name


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The ping of this number was answered."""

    number: Counter


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """I live, and your target did not answer me."""

    number: Counter


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """News only."""


class SameDigest(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Of an exchange: my view has your digest."""


class ExchangeRequest(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Of an exchange: its first message; the digest stands in the envelope."""


class FullState(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Of an exchange: all that I believe. ``answer``: send yours back."""

    beliefs: Annotated[tuple[MemberState, ...], Meta(max_length=MAX_MEMBERS)]
    answer: bool = True


Body = Ping | PingReq | Ack | Nack | Gossip | SameDigest | ExchangeRequest | FullState


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Around every message. ``digest`` is of the speaker's view of who lives.

    ``count`` grows with each message of a boot: one that is not the newest proves nothing of now.
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
    """A message that is dropped; ``cause`` is one of a fixed few, for counting."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


CAUSES = (
    "unreadable", "too large", "too old", "too new", "wrong fleet", "wrong name", "unknown member",
    "unknown kind",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Versions:
    """Of one kind of message: the schema that this program writes, and the oldest that it still reads."""

    schema: int
    oldest: int


class EnvelopeFields(Protocol):
    """What stands around any message between brokers."""

    @property
    def schema(self) -> int:
        """Schema that the speaker writes."""

    @property
    def least(self) -> int:
        """Oldest schema that may read it."""

    @property
    def fleet(self) -> str:
        """Name of the fleet."""

    @property
    def to(self) -> str:
        """Name of the member that it is for."""


AnyEnvelope = TypeVar("AnyEnvelope", bound=EnvelopeFields)
AnyBody = TypeVar("AnyBody")
VERSIONS = Versions(SCHEMA, OLDEST_READABLE)
_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_body_decoder: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


def encoded_size(about: MemberState) -> int:
    """Bytes that it takes in a message."""
    return len(_encoder.encode(about))


def pack(
    fleet: str,
    to: str,
    me: MemberState,
    digest: int,
    count: int,
    body: Body,
    news: Sequence[MemberState] = (),
) -> bytes:
    """One message, ready to go."""
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Envelope(SCHEMA, SCHEMA, fleet, me.name, to, me, digest, count, raw, tuple(news)))


def decode_envelope(
    data: bytes,
    decoder: msgspec.msgpack.Decoder[AnyEnvelope],
    known: Versions,
    fleet: str,
    to: str,
    most: int,
) -> AnyEnvelope:
    """A message of at most ``most`` bytes to this member, its body not yet read. Raises ``Rejected``."""
    if len(data) > most:
        raise Rejected("too large")
    try:
        found = decoder.decode(data)
    except msgspec.MsgspecError:
        raise Rejected("unreadable") from None
    if found.schema < known.oldest:
        raise Rejected("too old")
    if found.least > known.schema:
        raise Rejected("too new")
    if found.fleet != fleet:
        raise Rejected("wrong fleet")
    if found.to != to:
        raise Rejected("wrong name")
    return found


def decode_body(raw: msgspec.Raw, decoder: msgspec.msgpack.Decoder[AnyBody]) -> AnyBody:
    """What a message holds. Raises ``Rejected`` where this program does not know the kind."""
    try:
        return decoder.decode(raw)
    except msgspec.MsgspecError:
        raise Rejected("unknown kind") from None


def unpack(data: bytes, fleet: str, to: str, most: int) -> Envelope:
    """The envelope of a message to this member. Raises ``Rejected``."""
    found = decode_envelope(data, _envelope_decoder, VERSIONS, fleet, to, most)
    if found.me.name != found.sender:
        raise Rejected("wrong name")
    return found


def body_of(envelope: Envelope) -> Body:
    """What an envelope holds. Raises ``Rejected`` where this program does not know the kind."""
    return decode_body(envelope.body, _body_decoder)
