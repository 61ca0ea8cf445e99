"""Matches requests that are tries of one ask. Pure: no clock, no random source, no socket.

A *try* is a request on a connection; it gets exactly one final answer. An *ask* is the question behind it;
the driver runs it once, whatever the number of its tries:

    no ask with this key       -> Begin: the I/O layer passes the ask to the driver
    the ask is running         -> Join: the try waits for its answer with the others
    the ask was answered       -> ReplayAnswer: the same answer at once, for as long as it is remembered
    the key with another body  -> Conflict if the client guarantees one body per key, else a separate ask

An ask that ended without an answer is forgotten, and a later try runs it again. A request may also be
coalesced with an equal one of its scope in flight (single flight). It shares that run's answer. It shares a
failure or refusal only if it had no more time than the run; otherwise the coalesced requests run the ask once
more, together.

When the last client of a keyed ask disconnects, the ask continues for ``linger``, because a retry is probably
on the way and parts already received then need not be fetched again. Design and alternatives:
docs/design/asks.md.
"""

from quincepath.asks.registry.core import AskRegistry
from quincepath.asks.registry.types import (
    Begin,
    ClientKey,
    Conflict,
    Decision,
    Deliver,
    DropAsk,
    Join,
    MatchKind,
    RegistryLimits,
    ReplayAnswer,
    Restart,
    TooManyTries,
    Try,
    TryExpired,
)

__all__ = [
    "AskRegistry",
    "Begin",
    "ClientKey",
    "Conflict",
    "Decision",
    "Deliver",
    "DropAsk",
    "Join",
    "MatchKind",
    "RegistryLimits",
    "ReplayAnswer",
    "Restart",
    "TooManyTries",
    "Try",
    "TryExpired",
]
