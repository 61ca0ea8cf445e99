"""Recording files: the script, its seed and all record lines, as frames with length and checksum.

A file is a magic number, then frames: four bytes of length, four of CRC-32 of the payload, the payload in
msgpack. The first frame is the head. A file that ends inside a frame, or with a frame that does not match its
checksum, is read up to there, and the damage is reported.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import msgspec

from quincepath.standins.record import Line

MAGIC = b"QPREC\x01\r\n"
VERSION = 1
FRAME_HEADER = struct.Struct(">II")
MAX_FRAME_BYTES = 1 << 24  # a longer length field is damage, not data


class RecordingHead(msgspec.Struct, frozen=True):
    """Script text, seed and program version of the run."""

    version: int
    script: str
    seed: int
    program: str


class RecordingError(ValueError):
    """Not a recording, or one of another format version; the message names the file."""


class RecordingWriter:
    """Writes a recording; ``write`` serves as the sink of a rehearsal."""

    def __init__(self, path: Path, script: str, seed: int, program: str) -> None:
        self._file: IO[bytes] = path.open("wb")
        self._encoder = msgspec.msgpack.Encoder()
        self._file.write(MAGIC)
        self._write_frame(self._encoder.encode(RecordingHead(VERSION, script, seed, program)))

    def write(self, line: Line) -> None:
        """Append one record line."""
        self._write_frame(self._encoder.encode(line))

    def _write_frame(self, payload: bytes) -> None:
        self._file.write(FRAME_HEADER.pack(len(payload), zlib.crc32(payload)))
        self._file.write(payload)

    def close(self) -> None:
        """Flush and close."""
        self._file.close()


@dataclass(slots=True)
class Recording:
    """The readable content. ``damage`` is empty, or states where and why reading stopped."""

    head: RecordingHead
    lines: list[Line]
    damage: str


def _frames(data: bytes, name: str) -> Iterator[bytes | str]:
    at = len(MAGIC)
    number = 0
    while at < len(data):
        if at + FRAME_HEADER.size > len(data):
            yield f"{name}: truncated inside the length of frame {number}, at byte {at}"
            return
        size, checksum = FRAME_HEADER.unpack_from(data, at)
        payload = data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + size]
        if size > MAX_FRAME_BYTES or len(payload) < size:
            yield f"{name}: truncated inside frame {number}, at byte {at}"
            return
        if zlib.crc32(payload) != checksum:
            yield f"{name}: frame {number} at byte {at} does not match its checksum"
            return
        yield payload
        at += FRAME_HEADER.size + size
        number += 1


def read_recording(path: Path) -> Recording:
    """Read up to the end or the first damage. Raises ``RecordingError`` if the head is not readable."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise RecordingError(f"{path}: cannot be read: {error.strerror}") from None
    if not data.startswith(MAGIC):
        raise RecordingError(f"{path}: not a recording (wrong magic number)")
    frames = _frames(data, path.name)
    first = next(frames, f"{path.name}: empty")
    if isinstance(first, str):
        raise RecordingError(f"{path}: no readable head: {first}")
    head = msgspec.msgpack.decode(first, type=RecordingHead)
    if head.version != VERSION:
        raise RecordingError(f"{path}: version {head.version}, this program reads {VERSION}")
    decoder: msgspec.msgpack.Decoder[Line] = msgspec.msgpack.Decoder(Line)
    lines: list[Line] = []
    for frame in frames:
        if isinstance(frame, str):
            return Recording(head, lines, frame)
        lines.append(decoder.decode(frame))
    return Recording(head, lines, "")
