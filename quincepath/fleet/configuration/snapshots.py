"""Snapshots of all resources: compressed and split by a relay, reassembled by a subscriber."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.configuration.changes import ChangeError, Fault, ResourceName, Revision, Value
from quincepath.fleet.configuration.messages import MAX_SNAPSHOT_BYTES, PIECE_BYTES, SnapshotPiece
from quincepath.fleet.configuration.table import MAX_RESOURCES, MAX_TABLE_BYTES

MAX_CONTENT_BYTES = MAX_TABLE_BYTES + 16 * MAX_RESOURCES  # decompressed
COMPRESSION_LEVEL = 1  # fast: 12,000 nodes are compressed in one step of the relay


class Content(msgspec.Struct, array_like=True, frozen=True):
    """The content of a snapshot."""

    revision: Revision
    values: Annotated[dict[ResourceName, Value], Meta(max_length=MAX_RESOURCES)]


@dataclass(slots=True, frozen=True)
class Image:
    """A compressed snapshot."""

    revision: int
    data: bytes

    def piece(self, offset: int) -> SnapshotPiece:
        """The piece that begins at byte ``offset``."""
        data = self.data[offset : offset + PIECE_BYTES]
        return SnapshotPiece(self.revision, offset, len(self.data), data)


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_content_decoder = msgspec.msgpack.Decoder(Content)


def make_image(revision: int, values: Mapping[str, bytes]) -> Image:
    """Compress all values. Raises ``ChangeError`` where the result is larger than the limit of a snapshot."""
    plain = _encoder.encode(Content(revision, dict(values)))
    data = zlib.compress(plain, COMPRESSION_LEVEL)
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise ChangeError([Fault("snapshot", f"{len(data)} bytes", f"at most {MAX_SNAPSHOT_BYTES}")])
    return Image(revision, data)


def read_image(image: Image) -> Content:
    """Decode an image. Raises ``ChangeError`` where it is corrupt, truncated or exceeds a bound."""
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(image.data, MAX_CONTENT_BYTES)
        content = _content_decoder.decode(plain)
    except (zlib.error, msgspec.MsgspecError) as error:
        found = f"{len(image.data)} bytes"
        raise ChangeError([Fault("snapshot", found, f"a readable snapshot: {error}")]) from None
    if content.revision != image.revision:
        raise ChangeError([Fault("snapshot", f"revision {content.revision}", f"revision {image.revision}")])
    return content


@dataclass(slots=True)
class Assembly:
    """Reassembles the pieces of one snapshot in order, bounded by the total that the first piece states."""

    revision: int
    total: int
    data: bytearray = field(default_factory=bytearray)

    @property
    def offset(self) -> int:
        """Offset of the next piece."""
        return len(self.data)

    @property
    def complete(self) -> bool:
        """Whether all pieces have arrived."""
        return len(self.data) >= self.total

    def add(self, piece: SnapshotPiece) -> bool:
        """Append a piece; false where it is not the next one of this snapshot."""
        fits = piece.offset == len(self.data) and piece.total == self.total and piece.data
        if piece.revision != self.revision or not fits or piece.offset + len(piece.data) > self.total:
            return False
        self.data += piece.data
        return True

    def image(self) -> Image:
        """The complete snapshot, not yet decoded."""
        return Image(self.revision, bytes(self.data))
