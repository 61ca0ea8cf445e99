"""Snappy and protobuf of remote read, with every size known before memory is given to it. Pure."""

import cramjam
from google.protobuf.message import DecodeError, Message

from quincepath.fronts.remote_read.remote_pb2 import ReadRequest, ReadResponse

HEADERS = {
    "Content-Type": "application/x-protobuf",
    "Content-Encoding": "snappy",
}
VERSION_HEADER = {"X-Prometheus-Remote-Read-Version": "0.1.0"}


class CodecError(ValueError):
    """The bytes are not what the protocol says; the text names which layer failed and how."""


def decompress(body: bytes, limit: int) -> bytes:
    """Snappy block format to at most ``limit`` bytes; the stated length is checked before any allocation."""
    try:
        size = cramjam.snappy.decompress_raw_len(body)
    except cramjam.DecompressionError as error:
        raise CodecError(f"not snappy (block format): {error}") from None
    if size > limit:
        # Guards against a bomb: a few bytes may state gigabytes.
        raise CodecError(f"decompresses to {size} bytes where {limit} are allowed")
    try:
        return bytes(cramjam.snappy.decompress_raw(body))
    except cramjam.DecompressionError as error:
        raise CodecError(f"not snappy (block format): {error}") from None


def compress(body: bytes) -> bytes:
    """Snappy block format."""
    return bytes(cramjam.snappy.compress_raw(body))


def decode_request(body: bytes, limit: int) -> ReadRequest:
    """A request's body; raises ``CodecError``."""
    try:
        return ReadRequest.FromString(decompress(body, limit))
    except DecodeError as error:
        raise CodecError(f"not a ReadRequest: {error}") from None


def decode_response(body: bytes, limit: int) -> ReadResponse:
    """A response's body; raises ``CodecError``."""
    try:
        return ReadResponse.FromString(decompress(body, limit))
    except DecodeError as error:
        raise CodecError(f"not a ReadResponse: {error}") from None


def encode(message: Message) -> bytes:
    """A message as it goes on the wire."""
    return compress(message.SerializeToString())
