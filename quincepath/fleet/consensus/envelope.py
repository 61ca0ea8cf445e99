"""Messages of the keepers' log as they travel: in an envelope, beside those of the view, by connections."""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.adoption.reports import MapReport
from quincepath.fleet.consensus.messages import Message
from quincepath.fleet.messages import MAX_FRAME_BYTES, Counter, Name, Versions, decode_body, decode_envelope

SCHEMA = 1
VERSIONS = Versions(SCHEMA, 1)


class ProgressReport(msgspec.Struct, array_like=True, frozen=True, tag=20):
    """What a broker has applied, and what it has out at holders that are to be drained, by name."""

    applied: Counter
    out: Annotated[dict[Name, Counter], Meta(max_length=1000)]


class FootprintSample(msgspec.Struct, array_like=True, frozen=True, tag=22):
    """A part of a broker's sample of footprints, as the forecast's room encodes it."""

    data: Annotated[bytes, Meta(max_length=32_768)]


Body = Message | ProgressReport | MapReport | FootprintSample


class LogEnvelope(msgspec.Struct, array_like=True, frozen=True):
    """Around every message. ``epoch``: how often the speaker's store was opened; 0 without one."""

    schema: Annotated[int, Meta(ge=0, le=1 << 16)]
    least: Annotated[int, Meta(ge=0, le=1 << 16)]
    fleet: Name
    sender: Name
    to: Name
    epoch: Counter
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_posts = msgspec.msgpack.Decoder(LogEnvelope)
_bodies: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


def pack(fleet: str, sender: str, to: str, epoch: int, body: Body) -> bytes:
    """One message, ready to go."""
    return _encoder.encode(
        LogEnvelope(SCHEMA, SCHEMA, fleet, sender, to, epoch, msgspec.Raw(_encoder.encode(body)))
    )


def unpack(data: bytes, fleet: str, to: str) -> tuple[LogEnvelope, Body]:
    """A message to this broker. Raises ``Rejected``, with the causes of the view's messages."""
    post = decode_envelope(data, _posts, VERSIONS, fleet, to, MAX_FRAME_BYTES)
    return post, decode_body(post.body, _bodies)
