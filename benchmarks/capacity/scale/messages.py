"""What the run's parent and its host processes tell each other: msgpack on a socket pair, length first.

Times are of the machine's monotonic clock, which all processes share (ns).
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from benchmarks.capacity.scale.plan import Plan

HEAD = 4  # bytes of a message's length, big-endian
LONGEST = 32 << 20  # bytes of a message: figures of a thousand brokers take under one MiB


class ChannelError(RuntimeError):
    """The other end said something that is no message; the text says what."""


# --- to a host ---


class Setup(msgspec.Struct, tag="setup", frozen=True):
    """First of all: the run, and which hollow brokers this host has. None is started yet."""

    plan: Plan
    names: tuple[str, ...]


class StartBrokers(msgspec.Struct, tag="start", frozen=True):
    """Start these; names of other hosts are passed over, here and below."""

    names: tuple[str, ...]


class EndBrokers(msgspec.Struct, tag="end", frozen=True):
    """End these: without a word, or in good order."""

    names: tuple[str, ...]
    leaves: bool = False


class Expect(msgspec.Struct, tag="expect", frozen=True):
    """What every broker is to know: how many live, and who is drained. When each knows it is noted."""

    living: int
    drained: tuple[str, ...] = ()


class Command(msgspec.Struct, tag="command", frozen=True):
    """Have ``member`` propose to the log that ``name`` is drained, or is back."""

    id: str
    member: str
    name: str
    back: bool = False


class ProposeChanges(msgspec.Struct, tag="changes", frozen=True):
    """Have ``member`` propose so many changes of the configuration, one every so many ns."""

    member: str
    count: int
    every: int


class LinkFault(msgspec.Struct, tag="link", frozen=True):
    """Datagrams from ``senders`` to ``receivers`` are lost with this probability; 1 cuts connections, too."""

    id: int
    senders: tuple[str, ...]
    receivers: tuple[str, ...]
    lose: float


class EndLinkFault(msgspec.Struct, tag="link_ends", frozen=True):
    """The fault of this id is over."""

    id: int


class BeginPhase(msgspec.Struct, tag="phase", frozen=True):
    """Lateness is measured from now on."""


class AskProgress(msgspec.Struct, tag="ask_progress", frozen=True):
    """Answer with ``Progress``."""


class AskFigures(msgspec.Struct, tag="ask_figures", frozen=True):
    """Answer with ``Figures``. ``memory``: also measure memory, which takes a second or more."""

    memory: bool = False


class Stop(msgspec.Struct, tag="stop", frozen=True):
    """End."""


ToHost = (
    Setup
    | StartBrokers
    | EndBrokers
    | Expect
    | Command
    | ProposeChanges
    | LinkFault
    | EndLinkFault
    | BeginPhase
    | AskProgress
    | AskFigures
    | Stop
)


# --- to the parent ---


class Progress(msgspec.Struct, tag="progress", frozen=True):
    """Where the hollow brokers of one host are.

    ``knows_living``: brokers that know the expected number of living ones, ``knows_drained`` those that know
    who is drained; ``living_at`` and ``drained_at``: when the last of them came to know it.
    """

    running: int
    settled: int
    knows_living: int
    living_at: int
    knows_drained: int
    drained_at: int
    late_most: int
    late_usual: int
    lacking: tuple[str, ...] = ()  # some that do not know, for people
    messages: int = 0  # sent by all brokers of the host since its start, ended ones included
    bytes: int = 0
    deaths: int = 0  # times that one of its brokers came to believe another dead
    subscribed: int = 0  # brokers whose subscriber is served by a relay
    revision_least: int = 0  # that is in force at all of its brokers
    changes_committed: int = 0
    changes_refused: tuple[str, ...] = ()  # why, the first ones


class Committed(msgspec.Struct, tag="committed", frozen=True):
    """A ``Command`` took effect at its member, or why it did not."""

    id: str
    why: str = ""


class BrokerFigures(msgspec.Struct, frozen=True):
    """Sent by one broker since its start."""

    name: str
    messages: dict[str, int]  # by mechanism
    bytes: dict[str, int]


class Reach(msgspec.Struct, frozen=True):
    """Of one revision: brokers at which it came into force, and when at the last of them."""

    brokers: int
    last_at: int


class Figures(msgspec.Struct, tag="figures", frozen=True):
    """Counts of one host since its start. ``processor``: ns by account; ``used``: ns of the whole process."""

    at: int
    brokers: tuple[BrokerFigures, ...]
    processor: dict[str, int]
    used: int
    resident: int  # bytes of the process
    dropped: dict[str, int]
    digests: tuple[int, ...]  # different ones among its brokers' views
    memory: dict[str, int] = {}  # bytes by mechanism, of one broker
    proposed_at: dict[int, int] = {}  # by revision: when its change was proposed here
    reached: dict[int, Reach] = {}  # by revision


ToParent = Progress | Committed | Figures

Message = TypeVar("Message")
_encoder = msgspec.msgpack.Encoder()
_to_host: msgspec.msgpack.Decoder[ToHost] = msgspec.msgpack.Decoder(ToHost)
_to_parent: msgspec.msgpack.Decoder[ToParent] = msgspec.msgpack.Decoder(ToParent)


def pack(message: ToHost | ToParent) -> bytes:
    """With its length in front."""
    data = _encoder.encode(message)
    return len(data).to_bytes(HEAD) + data


class Reader:
    """Messages out of a stream's bytes; each goes to ``on_message``. Raises ``ChannelError``."""

    def __init__(self, on_message: Callable[[bytes], None]) -> None:
        self._data = bytearray()
        self._on_message = on_message

    def feed(self, data: bytes) -> None:
        """Some more bytes."""
        self._data += data
        while len(self._data) >= HEAD:
            length = int.from_bytes(self._data[:HEAD])
            if length > LONGEST:
                raise ChannelError(f"a message of {length} bytes: expected at most {LONGEST}")
            if len(self._data) < HEAD + length:
                return
            message = bytes(self._data[HEAD : HEAD + length])
            del self._data[: HEAD + length]
            self._on_message(message)


def to_host(data: bytes) -> ToHost:
    """A message of the parent. Raises ``ChannelError``."""
    return _decoded(data, _to_host)


def to_parent(data: bytes) -> ToParent:
    """A message of a host. Raises ``ChannelError``."""
    return _decoded(data, _to_parent)


def _decoded(data: bytes, decoder: msgspec.msgpack.Decoder[Message]) -> Message:
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise ChannelError(f"unreadable: {error}") from error
