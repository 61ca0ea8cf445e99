"""Envelope of the log's messages. They travel over connections, beside the membership view's messages."""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.adoption.reports import MapReport
from quincepath.fleet.consensus.messages import Message
from quincepath.fleet.messages import MAX_FRAME_BYTES, Counter, Name, Versions, decode_body, decode_envelope

SCHEMA = 1
VERSIONS = Versions(SCHEMA, 1)


class ProgressReport(msgspec.Struct, array_like=True, frozen=True, tag=20):
    """What a broker has applied, and its attempts in flight at holders to be drained, by holder name."""

    applied: Counter
    out: Annotated[dict[Name, Counter], Meta(max_length=1000)]


class FootprintSample(msgspec.Struct, array_like=True, frozen=True, tag=22):
    """A part of a broker's sample of query footprints, as encoded by ``quincepath.fleet.forecast``."""

    data: Annotated[bytes, Meta(max_length=32_768)]


Body = Message | ProgressReport | MapReport | FootprintSample


class LogEnvelope(msgspec.Struct, array_like=True, frozen=True):
    """Wraps every message. ``epoch``: how often the sender's store was opened; 0 if it has no store."""

    schema: Annotated[int, Meta(ge=0, le=1 << 16)]
    least: Annotated[int, Meta(ge=0, le=1 << 16)]
    fleet: Name
    sender: Name
    to: Name
    epoch: Counter
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(LogEnvelope)
_body_decoder: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


def pack(fleet: str, sender: str, to: str, epoch: int, body: Body) -> bytes:
    """Encode one message with its envelope."""
    return _encoder.encode(
        LogEnvelope(SCHEMA, SCHEMA, fleet, sender, to, epoch, msgspec.Raw(_encoder.encode(body)))
    )


def unpack(data: bytes, fleet: str, to: str) -> tuple[LogEnvelope, Body]:
    """Decode a message to this broker. Raises ``Rejected``, with the causes of the view's messages."""
    envelope = decode_envelope(data, _envelope_decoder, VERSIONS, fleet, to, MAX_FRAME_BYTES)
    return envelope, decode_body(envelope.body, _body_decoder)
