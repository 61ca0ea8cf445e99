"""Which requests are tries of one ask, and what each of them is owed. Pure: no clock, no chance, no socket.

A *try* is a request on a connection; it is owed exactly one final answer. An *ask* is what a client wants to
know; it is run once by the driver, whatever the number of its tries:

    no ask of this key       -> Begin: the edge gives the ask to the driver
    the ask is running       -> Join: this try waits for its answer with the others
    the ask was answered     -> ReplayAnswer: the same answer at once, for as long as it is remembered
    the key, another body    -> Conflict, where the client vouched for its keys; else a separate ask

An ask that ended without an answer is forgotten: a later try runs it anew. A request may also join an equal
one of its scope in flight (single flight): it is a *stranger* there. It shares the answer; another ending it
shares only if it had no more time than the run: else strangers run the ask once more, together.

When the last client of a marked ask has gone, the ask runs on for ``linger``, because its retry is probably
on the way and what is in need not be fetched again. Design and what was weighed: docs/design/asks.md.
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
    "ReplayAnswer",
    "Begin",
    "AskRegistry",
    "RegistryLimits",
    "Conflict",
    "TooManyTries",
    "Decision",
    "Deliver",
    "DropAsk",
    "MatchKind",
    "Join",
    "ClientKey",
    "Restart",
    "TryExpired",
    "Try",
]
