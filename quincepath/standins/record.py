"""Records of a run: one JSON line per event, written by the process that observed it. Schema 1.

Clients write ``ask`` and ``end``; holders write ``up``, ``got`` and ``said``; the process that runs the
scenario writes ``told`` (a change of membership was published to brokers), ``halt`` (a broker was stopped)
and ``mark`` (a fault begins). All times are nanoseconds of the machine's monotonic clock, which its processes
share. Brokers write no records.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import IO

import msgspec

SCHEMA = 1


class Head(msgspec.Struct, tag="head", frozen=True):
    """First line of each file; ``who`` names the process that wrote it."""

    who: str
    schema: int = SCHEMA


class ClassRules(msgspec.Struct, tag="class", frozen=True):
    """Guarantees of a query class.

    ``need`` is the share of parts for a whole answer, ``floor`` the share below which no answer is given.
    ``effect`` is safe, keyed (may be sent again within ``window``, ns) or unsafe (not sent again once
    it may have run).
    """

    name: str
    need: float
    floor: float
    effect: str = "safe"
    window: int = 0


class Bounds(msgspec.Struct, tag="bounds", frozen=True):
    """Limits that the audit checks against. Times in ns; ``slack`` is the allowance for transit.

    The retry budget allows ``budget_free`` plus ``budget_ratio`` for each query and part that
    was accepted, in any ``budget_window``.
    """

    attempts: int
    drain_grace: int
    notice: int  # from the publication of a membership change until every broker has read it
    fall_multiple: float
    overload_for: int
    ramp_time: int
    budget_window: int
    budget_free: float
    budget_ratio: float
    brokers: int
    slack: int
    linger: int = 0  # how long an ask with a key may run after its last client has disconnected


class Ask(msgspec.Struct, tag="ask", frozen=True):
    """A client sent a query. ``shards``: numbers of those it reads; ``patience``: the client's timeout."""

    at: int
    query: str
    kind: str
    shards: list[int]
    patience: int
    broker: int = 0
    ask: str = ""  # the client's idempotency key: tries with the same key are one ask
    tenant: str = ""  # name that the client sent


class End(msgspec.Struct, tag="end", frozen=True):
    """The outcome that a client saw.

    ``status`` is 0 where the connection was lost and -1 where the client gave up. ``mark`` is the
    completeness that the answer states; ``parts_in`` of ``parts_asked`` parts are in it.
    """

    at: int
    query: str
    status: int
    mark: str = ""
    parts_in: int = 0
    parts_asked: int = 0
    retry_ms: int = 0
    joined: str = ""  # how the broker says this try shared a run: retry, equal or replayed
    run: str = ""  # the query whose run was shared


class Up(msgspec.Struct, tag="up", frozen=True):
    """A holder started to serve.

    ``capacity``: work (ns) that it does in a second when warm; ``cold``: the share of that at its start;
    ``ramp``: ns until it is warm.
    """

    at: int
    holder: str
    cold: float
    ramp: int
    capacity: float


class Got(msgspec.Struct, tag="got", frozen=True):
    """A holder received one part of a call completely; ``work`` is its cost (ns)."""

    at: int
    holder: str
    query: str
    shard: int
    step: int
    attempt: int
    work: int
    broker: int = 0


class Said(msgspec.Struct, tag="said", frozen=True):
    """A holder sent its answer to a part; ``good`` if the answer is complete and correct."""

    at: int
    holder: str
    query: str
    shard: int
    step: int
    attempt: int
    status: int
    good: bool


class Told(msgspec.Struct, tag="told", frozen=True):
    """A holder's phase was published to one broker, or to all where ``broker`` is -1."""

    at: int
    holder: str
    phase: str
    broker: int = -1


class Halt(msgspec.Struct, tag="halt", frozen=True):
    """A broker was suspended or killed from outside, so answers due until ``until`` are excused."""

    at: int
    broker: int
    until: int
    killed: bool


class Mark(msgspec.Struct, tag="mark", frozen=True):
    """An event of the scenario, such as the begin of a fault."""

    at: int
    what: str


Line = Head | ClassRules | Bounds | Ask | End | Up | Got | Said | Told | Halt | Mark
_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)


class RecordError(ValueError):
    """A record that cannot be read; the message names file and line."""


class Writer:
    """Appends lines to a file, unbuffered, so that a killed process loses none."""

    def __init__(self, path: Path, who: str) -> None:
        self._file: IO[bytes] = path.open("ab", buffering=0)
        self.write(Head(who))

    def write(self, line: Line) -> None:
        """Append one line."""
        self._file.write(_ENCODER.encode(line) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read(path: Path) -> Iterator[tuple[int, Line]]:
    """Yield line numbers, from 1, and lines. Raises ``RecordError`` at a line that cannot be read."""
    for number, raw in enumerate(path.read_bytes().splitlines(), 1):
        try:
            line = _DECODER.decode(raw)
        except msgspec.MsgspecError as error:
            raise RecordError(f"{path.name}:{number}: {error}") from None
        if isinstance(line, Head) and line.schema != SCHEMA:
            raise RecordError(f"{path.name}:{number}: schema {line.schema}, this program reads {SCHEMA}")
        yield number, line
