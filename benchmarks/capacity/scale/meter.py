"""Processor time by account on one loop, and how late the loop itself runs.

Every callback of the loop is charged to the account of the object that registered it; code that works for
another mechanism switches the account while it runs. Times are of the calling thread, in ns: what other
processes of a busy machine use is not in them.
"""

import socket
import time
from collections import Counter
from collections.abc import Callable
from types import TracebackType

from quincepath.fleet.distribution import Distribution
from quincepath.fleet.load_service import LoadService
from quincepath.fleet.replicated_log import ReplicatedLog
from quincepath.fleet.service import Fleet
from quincepath.fleet.transport import Transport
from quincepath.net.loop import Loop, Timer

VIEW, LEDGER, LOG, CONFIGURATION = "view", "ledger", "log", "configuration"
METRICS = "metrics"  # gauges and counters for people, and the look whether the view is settled
CONNECTIONS = "connections"  # reading, dialling and accepting, for the view's exchanges and the log
LOAD = "load"  # counts of queries that a hollow broker makes up
HARNESS = "harness"  # the run's own work
_OWNERS: tuple[tuple[type, str], ...] = (
    (Transport, VIEW),
    (LoadService, LEDGER),
    (ReplicatedLog, LOG),
    (Distribution, CONFIGURATION),
    (Fleet, METRICS),
)
TICK = 50_000_000  # ns between looks at the loop's lateness
SAMPLES_MOST = 40_000  # ticks that are kept: over half an hour


class Meter:
    """Processor time spent, by account. One account is charged at a time; they nest."""

    def __init__(self) -> None:
        self.spent: Counter[str] = Counter()
        self._open: list[str] = []
        self._since = 0

    def enter(self, account: str) -> None:
        """Charge this account from now on."""
        now = time.thread_time_ns()
        if self._open:
            self.spent[self._open[-1]] += now - self._since
        self._open.append(account)
        self._since = now

    def leave(self) -> None:
        """Charge the account before again."""
        now = time.thread_time_ns()
        self.spent[self._open.pop()] += now - self._since
        self._since = now

    def charged(self, account: str) -> "Charged":
        """For a ``with`` block."""
        return Charged(self, account)


class Charged:
    """A block of code that is charged to one account."""

    def __init__(self, meter: Meter, account: str) -> None:
        self._meter, self._account = meter, account

    def __enter__(self) -> None:
        self._meter.enter(self._account)

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._meter.leave()


class MeteredLoop(Loop):
    """A loop that charges each callback to an account: by its owner, else to ``CONNECTIONS``."""

    def __init__(self) -> None:
        super().__init__()
        self.meter = Meter()

    def call_at(self, at: int, call: Callable[[], None]) -> Timer:
        """As ``Loop.call_at``; the call is charged to the account of its owner."""
        meter, account = self.meter, account_of(call)

        def metered() -> None:
            meter.enter(account)
            try:
                call()
            finally:
                meter.leave()

        return super().call_at(at, metered)

    def watch(self, sock: socket.socket, mask: int, call: Callable[[int], None]) -> None:
        """As ``Loop.watch``; the call is charged to the account of its owner."""
        meter, account = self.meter, account_of(call)

        def metered(ready: int) -> None:
            meter.enter(account)
            try:
                call(ready)
            finally:
                meter.leave()

        super().watch(sock, mask, metered)


def account_of(call: Callable[..., None]) -> str:
    """The account of a callback: that of the object whose method it is."""
    owner = getattr(call, "__self__", None)
    for kind, account in _OWNERS:
        if isinstance(owner, kind):
            return account
    return CONNECTIONS


class Lateness:
    """How late a timer of the loop runs, sampled every ``TICK``; ``begin`` forgets what was before."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._samples: list[int] = []
        self._due = loop.clock() + TICK
        loop.call_at(self._due, self._tick)

    def begin(self) -> None:
        """A measured phase begins."""
        self._samples.clear()

    def _tick(self) -> None:
        now = self._loop.clock()
        if len(self._samples) < SAMPLES_MOST:
            self._samples.append(now - self._due)
        self._due = max(self._due + TICK, now)
        self._loop.call_at(self._due, self._tick)

    @property
    def most(self) -> int:
        """ns; the largest since ``begin``, and what the tick that is due now has by now."""
        waiting = max(self._loop.clock() - self._due, 0)
        return max([waiting, *self._samples])

    @property
    def usual(self) -> int:
        """ns; the 99th percentile since ``begin``."""
        ordered = sorted(self._samples)
        return ordered[len(ordered) * 99 // 100] if ordered else 0
