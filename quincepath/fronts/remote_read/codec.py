"""Snappy and protobuf of remote read; every size is checked before memory is allocated for it. Pure."""

import cramjam
from google.protobuf.message import DecodeError, Message

from quincepath.fronts.remote_read.remote_pb2 import ReadRequest, ReadResponse

HEADERS = {
    "Content-Type": "application/x-protobuf",
    "Content-Encoding": "snappy",
}
VERSION_HEADER = {"X-Prometheus-Remote-Read-Version": "0.1.0"}


class CodecError(ValueError):
    """The bytes violate the protocol; the message names the layer that failed and why."""


def decompress(body: bytes, limit: int) -> bytes:
    """Decompress the Snappy block format; the declared length is checked before any allocation."""
    try:
        size = cramjam.snappy.decompress_raw_len(body)
    except cramjam.DecompressionError as error:
        raise CodecError(f"not snappy (block format): {error}") from None
    if size > limit:
        # Guards against a decompression bomb: a few bytes may declare gigabytes.
        raise CodecError(f"decompresses to {size} bytes where {limit} are allowed")
    try:
        return bytes(cramjam.snappy.decompress_raw(body))
    except cramjam.DecompressionError as error:
        raise CodecError(f"not snappy (block format): {error}") from None


def compress(body: bytes) -> bytes:
    """Compress to the Snappy block format."""
    return bytes(cramjam.snappy.compress_raw(body))


def decode_request(body: bytes, limit: int) -> ReadRequest:
    """Decode the body of a request. Raises ``CodecError``."""
    try:
        return ReadRequest.FromString(decompress(body, limit))
    except DecodeError as error:
        raise CodecError(f"not a ReadRequest: {error}") from None


def decode_response(body: bytes, limit: int) -> ReadResponse:
    """Decode the body of a response. Raises ``CodecError``."""
    try:
        return ReadResponse.FromString(decompress(body, limit))
    except DecodeError as error:
        raise CodecError(f"not a ReadResponse: {error}") from None


def encode(message: Message) -> bytes:
    """Encode a message for the wire."""
    return compress(message.SerializeToString())
