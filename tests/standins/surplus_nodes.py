"""Nodes whose good replies have more behind them, come late or in pieces, or have too short a length."""

import random
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from quincepath.net.loop import Loop
from quincepath.net.stream import Stream
from tests.standins.platform import MS, Node, frame

LATE_NS = 150 * MS  # after a good reply was sent: an attempt that begins then comes too late
LONGEST_DELAY_NS, LONGEST_GAP_NS = 200 * MS, 20 * MS


@dataclass(frozen=True)
class Surplus:
    """What is wrong with a reply: bytes behind it, or bytes by which its length is too short."""

    tail: bytes = b""
    too_short: int = 0
    delay: int = 0  # ns, on top of the usual work
    piece_gap: int = 0  # ns, between two pieces of the reply


SOUND = Surplus()
Plan = Callable[[str], Surplus]  # by the id of a part


def value_of(part: str, lengths: range = range(16, 17)) -> str:
    """The value that every replica makes for a part."""
    draw = random.Random(part)
    return f"{draw.getrandbits(256):064x}"[: draw.choice(lengths)]


@dataclass
class PartRecord:
    """When attempts of one part began, and when its first good reply was sent (ns)."""

    begun: list[int] = field(default_factory=list)
    answered: int | None = None

    def late(self) -> int:
        """Attempts that began too long after the good reply."""
        return 0 if self.answered is None else sum(at > self.answered + LATE_NS for at in self.begun)


class SurplusNode(Node):
    """A node that follows a plan; ``records`` are shared by all nodes."""

    def __init__(
        self, loop: Loop, name: str, plan: Plan, records: dict[str, PartRecord], lengths: range
    ) -> None:
        super().__init__(loop, name)
        self.plan, self.records, self.lengths = plan, records, lengths
        self.waiting = Counter[Stream]()
        self.useless = set[Stream]()  # connections that carried a spoilt reply
        self.busy = set[Stream]()  # connections with half a reply

    def _reply_callback(self, stream: Stream, behavior: str, part: str, text: str) -> Callable[[], None]:
        record = self.records.setdefault(part, PartRecord())
        record.begun.append(self.loop.clock())
        self.waiting[stream] += 1

        surplus = self.plan(part)

        def begin_reply() -> None:
            self.waiting[stream] -= 1
            if stream in self.useless or stream.closed or part in self.cancelled:
                return
            data = frame(b"q", f"{part} good 7 inflight=3\n{value_of(part, self.lengths)}".encode())
            if surplus.too_short:
                data = struct.pack("<I", len(data) - 4 - surplus.too_short) + data[4:]
                self.useless.add(stream)
            if not self.waiting[stream]:  # more than belongs to a reply comes only when nothing else waits
                data += surplus.tail
            if not surplus.piece_gap:
                end_reply(data)
                return
            cut = random.Random(part).randrange(1, len(data))
            stream.write(data[:cut])
            self.busy.add(stream)
            self.loop.call_in(surplus.piece_gap, lambda: end_reply(data[cut:]))

        def end_reply(data: bytes) -> None:
            self.busy.discard(stream)
            if stream.closed:
                return
            stream.write(data)
            if not surplus.too_short and record.answered is None:
                record.answered = self.loop.clock()

        def when_free() -> None:
            if stream in self.busy:
                self.loop.call_in(MS, when_free)
            else:
                begin_reply()

        def start() -> None:
            self.loop.call_in(surplus.delay, when_free)

        return start


TAILS: dict[str, Callable[[random.Random], bytes]] = {
    "seven printable": lambda draw: b"f00dcaf" * 3,
    "one printable": lambda draw: b"4",
    "two printable": lambda draw: b"4d",
    "zero byte": lambda draw: b"\0",
    "noise": lambda draw: bytes([draw.choice((0, 1, 10, 128, 255))]) + draw.randbytes(draw.randint(0, 39)),
    "any noise": lambda draw: draw.randbytes(draw.randint(1, 40)),
}


@dataclass(frozen=True)
class Mix:
    """Shares of parts, or of attempts with ``by_attempt``, that are treated in some way."""

    seed: int = 1
    share: float = 0.5  # with a tail, or with a wrong length
    tail: str = "one printable"
    spoilt: float = 0.0  # of these, with a length that is too short
    by_attempt: bool = False
    slow: float = 0.0  # answered after up to LONGEST_DELAY_NS
    pieces: float = 0.0  # answered in two pieces

    def plan(self) -> Plan:
        """What becomes of each attempt."""
        count = Counter[str]()

        def plan(part: str) -> Surplus:
            count[part] += 1
            draw = random.Random(f"{self.seed}|{part}|{count[part] if self.by_attempt else 0}")
            tail, too_short = b"", 0
            if draw.random() < self.share:
                if draw.random() < self.spoilt:
                    too_short = draw.randint(1, 8)
                else:
                    tail = TAILS[self.tail](draw)
            delay = draw.randrange(LONGEST_DELAY_NS) if draw.random() < self.slow else 0
            gap = draw.randrange(MS, LONGEST_GAP_NS) if draw.random() < self.pieces else 0
            return Surplus(tail, too_short, delay, gap)

        return plan
