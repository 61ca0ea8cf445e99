"""Frames between broker and node, sans I/O: bytes to replies, calls and cancellations to bytes. Pure.

A frame is a little-endian length of four bytes, which covers a type letter and what follows it. Sizes are
checked before anything is buffered: a reply declared too long is rejected at its first five bytes.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from struct import Struct

LENGTH = Struct("<I")
HEADER_BYTES = 5  # length and type letter
MAX_FRAME_BYTES = 64 * 1024  # after the length, in one frame from a node
RECOVERY_BYTES = 64 * 1024  # behind invalid bytes, in which replies are looked for
MAX_LINE_BYTES = 1024  # of a reply's header line
PRINTABLE_ASCII = range(0x20, 0x7F)
UTF8_LEADING_BYTES = range(0xC2, 0xF5)  # of a character of more than one byte
_LINE = re.compile(rb"([!-~]{1,256}) (good|bad|later) (-?[0-9]{1,24}) ([^\n]*)")


class FrameError(Exception):
    """The bytes from a node are not a frame, so the connection is unusable. ``part``: its id, if readable."""

    def __init__(self, text: str, part: bytes = b"") -> None:
        super().__init__(text)
        self.text, self.part = text, part


class DoubtfulReplyError(FrameError):
    """The reply to ``part`` may be invalid: bytes behind it are no frame, or its line is not readable.

    ``good``: whether it has a value, so that its part may have been answered.
    """

    def __init__(self, text: str, part: bytes, good: bool) -> None:
        super().__init__(text, part)
        self.good = good


class FrameHeaderError(FrameError):
    """No frame begins where one should: the bytes are noise, or the frame before them has a wrong length."""


@dataclass(slots=True, frozen=True)
class CallPart:
    """One part of a call; ``wait`` is in milliseconds."""

    id: bytes
    shard: int
    wait: int
    text: bytes


@dataclass(slots=True, frozen=True)
class Reply:
    """The node's reply to one part: ``status`` is ``good``, ``bad`` or ``later``; ``value`` is text."""

    id: bytes
    status: bytes
    report: bytes
    value: str


def _frame(letter: bytes, payload: bytes) -> bytes:
    return LENGTH.pack(1 + len(payload)) + letter + payload


def call_frame(parts: Sequence[CallPart]) -> bytes:
    """Encode one call."""
    pieces = []
    for part in parts:
        pieces.append(b"%s %d d=%d %d\n" % (part.id, part.shard, part.wait, len(part.text)))
        pieces.append(part.text)
    return _frame(b"m", b"".join(pieces))


def cancel_frame(part: bytes) -> bytes:
    """Encode the cancellation of a part."""
    return _frame(b"n", part)


def read_report(text: bytes, fields: Sequence[str]) -> tuple[float, ...]:
    """The values of a load report by field; empty where any of them is missing or unreadable."""
    found = dict(item.partition(b"=")[::2] for item in text.split(b","))
    try:
        values = tuple(float(found[name.encode()]) for name in fields)
    except (KeyError, ValueError):
        return ()
    return values if all(0 <= value < 1e12 for value in values) else ()


class FrameReader:
    """``feed`` appends whole replies to ``replies``, those before invalid bytes included.

    Only a valid header behind a reply confirms its length: after a ``FrameHeaderError``, and while
    ``mid_header``, that of the last reply may be wrong.
    """

    def __init__(self) -> None:
        self.replies: list[Reply] = []
        self._buffer = bytearray()

    @property
    def mid_frame(self) -> bool:
        """Whether a frame has begun and not ended."""
        return bool(self._buffer)

    @property
    def mid_header(self) -> bool:
        """Whether the header of a frame has begun and not ended."""
        return 0 < len(self._buffer) < HEADER_BYTES

    @property
    def rest_could_continue_value(self) -> bool:
        """Whether the bytes behind the last reply could be the end of its value: they begin a character."""
        return bool(self._buffer) and (
            self._buffer[0] in PRINTABLE_ASCII or self._buffer[0] in UTF8_LEADING_BYTES
        )

    def feed(self, data: bytes) -> None:
        """Parse more bytes; raises ``FrameError``."""
        buffer = self._buffer
        buffer += data
        at = 0
        try:
            while len(buffer) - at >= HEADER_BYTES:
                size, letter = self._header(at)
                end = at + 4 + size
                line = buffer.find(b"\n", at + HEADER_BYTES, min(end, at + HEADER_BYTES + MAX_LINE_BYTES))
                if letter == ord("r"):
                    if len(buffer) >= end:
                        words = bytes(buffer[at + HEADER_BYTES : end][:200]).decode("ascii", "replace")
                        raise FrameError(f"the node could not use a frame: {words!r}")
                    return
                if line < 0:
                    if len(buffer) >= min(end, at + HEADER_BYTES + MAX_LINE_BYTES):
                        raise FrameError("a reply's line does not end")
                    return
                match = _LINE.fullmatch(bytes(buffer[at + HEADER_BYTES : line]))
                if match is None:
                    raise self._line_error(bytes(buffer[at + HEADER_BYTES : line]))
                if len(buffer) < end:
                    return
                self.replies.append(self._reply(match, bytes(buffer[line + 1 : end])))
                at = end
            self._check_header_start(at)
        finally:
            del buffer[:at]

    def append(self, data: bytes) -> None:
        """Add bytes behind invalid ones, without parsing them, as far as replies are looked for there."""
        self._buffer += data
        del self._buffer[RECOVERY_BYTES:]

    def find_good(self, part: bytes) -> Reply | None:
        """The good reply to ``part`` behind bytes that are no frame, found by the id in its line.

        Its ``value`` is empty if it is not whole or not readable.
        """
        buffer = self._buffer
        at = buffer.find(b"q" + part + b" good ") - LENGTH.size
        if at <= 0:  # at the start is the frame that is invalid itself
            return None
        unreadable = Reply(part, b"good", b"", "")
        try:
            size, _ = self._header(at)
            line = buffer.find(b"\n", at)
            match = _LINE.fullmatch(bytes(buffer[at + HEADER_BYTES : line])) if line >= 0 else None
            end = at + LENGTH.size + size
            if match is None or len(buffer) < end:
                return unreadable
            return self._reply(match, bytes(buffer[line + 1 : end]))
        except FrameError:
            return unreadable

    @staticmethod
    def _line_error(line: bytes) -> FrameError:
        """The error of a line that cannot be read; the id and the status at its start may be readable."""
        text, words = "a reply's line cannot be read", line.split(b" ", 2)
        if len(words) > 1 and words[1] == b"good":
            return DoubtfulReplyError(text, words[0], good=True)
        return FrameError(text)

    def _check_header_start(self, at: int) -> None:
        """Reject a header of which only the first bytes have arrived, as soon as they show its length."""
        start = self._buffer[at : at + LENGTH.size]
        if len(start) > 2 and start[2] > MAX_FRAME_BYTES >> 16:
            raise FrameHeaderError(f"a frame of over {MAX_FRAME_BYTES} bytes")

    def _header(self, at: int) -> tuple[int, int]:
        """Length and type letter of the frame that begins at ``at``."""
        size: int = LENGTH.unpack_from(self._buffer, at)[0]
        letter = self._buffer[at + 4]
        if letter not in b"qr":
            raise FrameHeaderError(f"letter {letter} is unknown")
        if not 1 < size <= MAX_FRAME_BYTES:
            raise FrameHeaderError(f"a frame of {size} bytes, 2 to {MAX_FRAME_BYTES} are allowed")
        return size, letter

    @staticmethod
    def _reply(match: re.Match[bytes], value: bytes) -> Reply:
        part, status, _, report = match.groups()
        try:
            text = value.decode()
        except UnicodeDecodeError:
            raise FrameError("a value is not UTF-8", part) from None
        if not text.isprintable() or status == b"good" and not text:
            raise FrameError("a value is empty or holds control characters", part)
        return Reply(part, status, report, text)
