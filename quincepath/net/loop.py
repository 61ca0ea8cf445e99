"""One loop on ``selectors``: sockets, timers, signals, and one hook a turn. Moves bytes and time only.

A turn is: wait, run the callbacks of ready sockets, run due timers, run the turn hook. The hook is where the
broker hands one batch to its driver. All clocks are monotonic nanoseconds; the wait is until the next timer,
rounded up to the selector's millisecond, so that there is no busy waiting.
"""

import heapq
import selectors
import signal
import socket
import time
from collections.abc import Callable
from typing import Any

from quincepath.net.system import System

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
LONGEST_WAIT = 60.0  # seconds; a wait with nothing to do ends so often, which costs nothing


class Timer:
    """A pending call; ``cancel`` makes it void."""

    __slots__ = ("at", "call")

    def __init__(self, at: int, call: Callable[[], None]) -> None:
        self.at = at
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Never run it; cancelling twice, or after it ran, does nothing."""
        self.call = None


class Loop:
    """Own event loop. Not thread-safe; one per process."""

    def __init__(self, clock: Callable[[], int] = time.monotonic_ns, system: System | None = None) -> None:
        self.clock = clock
        self.system = system or System()
        self._selector = self.system.selector()
        self._timers: list[tuple[int, int, Timer]] = []
        self._count = 0
        self._stopped = False
        self._wake: tuple[socket.socket, socket.socket] | None = None
        self._on_signal: dict[signal.Signals, Callable[[], None]] = {}
        self._came: dict[int, None] = {}  # signals that wait for their call
        self.turn_hooks: list[Callable[[], None]] = []
        # With this set, an error in one callback is told here and ends its connection, not the process.
        self.on_error: Callable[[Exception], None] | None = None
        self.turns = 0
        self.now = clock()
        # How long (ns) what the last wait found may have lain there: the turn before, and a late return.
        self.lag = 0

    def watch(self, sock: socket.socket, mask: int, call: Callable[[int], None]) -> None:
        """Call ``call(ready mask)`` when the socket is ready; replaces an earlier watch, mask 0 ends it."""
        known = self._selector.get_map().get(sock.fileno())
        if not mask:
            if known is not None:
                self._selector.unregister(sock)
        elif known is None:
            self._selector.register(sock, mask, call)
        else:
            self._selector.modify(sock, mask, call)

    def call_at(self, at: int, call: Callable[[], None]) -> Timer:
        """Run ``call`` in the first turn at or after ``at`` (ns)."""
        timer = Timer(at, call)
        self._count += 1
        heapq.heappush(self._timers, (at, self._count, timer))
        if self._count % 4096 == 0:  # cancelled timers must not pile up under long deadlines
            self._timers = [item for item in self._timers if item[2].call is not None]
            heapq.heapify(self._timers)
        return timer

    def call_in(self, wait: int, call: Callable[[], None]) -> Timer:
        """Run ``call`` after ``wait`` ns."""
        return self.call_at(self.clock() + wait, call)

    def on_signals(self, names: dict[signal.Signals, Callable[[], None]]) -> None:
        """Handle signals inside the loop, by the wakeup descriptor: never in the middle of a callback.

        The descriptor only ends the wait; what came is kept beside it. Guards against more signals in one
        turn than its buffer takes (some hundreds): the bytes over it are lost, and with them a SIGTERM.
        """
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.setblocking(False)
        self._wake = (ours, theirs)
        self._on_signal = names
        signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
        for name in names:  # after the descriptor is set: a signal in between would be lost
            signal.signal(name, lambda number, _: self._came.setdefault(number))
        self.watch(ours, READ, lambda _: self._drain(ours))

    @staticmethod
    def _drain(wake: socket.socket) -> None:
        wake.recv(4096)

    def turn(self, longest: float = LONGEST_WAIT) -> None:
        """One turn; waits at most ``longest`` seconds."""
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        wait, began = longest, self.clock()
        if self._timers:
            wait = min(max((self._timers[0][0] - began) / 1e9, 0.0), longest)
        if self._came:
            wait = 0.0  # one that comes from here on ends the wait
        ready = self._wait(wait)
        before, self.now = self.now, self.clock()
        self.lag = began - before + max(self.now - began - int(wait * 1e9), 0)
        self.turns += 1
        while self._came:
            self._guarded(self._on_signal[signal.Signals(self._came.popitem()[0])])
        for key, mask in ready:
            call: Any = key.data
            if self._selector.get_map().get(key.fd) is key:  # an earlier callback may have closed it
                self._guarded(call, mask)
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            due, timer.call = timer.call, None
            if due is not None:
                self._guarded(due)
        for hook in self.turn_hooks:
            self._guarded(hook)

    def _guarded(self, call: Any, *values: Any) -> None:
        try:
            call(*values)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)
            fail = getattr(getattr(call, "__self__", None), "fail", None)
            if fail is not None:
                fail("internal error")

    def _wait(self, seconds: float) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for sockets; the one place where time passes. Tests put a virtual clock here."""
        return self._selector.select(seconds)

    def run(self) -> None:
        """Turn until ``stop``."""
        self._stopped = False
        while not self._stopped:
            self.turn()

    def run_until(self, done: Callable[[], bool], longest: float) -> bool:
        """Turn until ``done()`` or for ``longest`` seconds; tells whether it is done."""
        end = self.clock() + int(longest * 1e9)
        while not done():
            left = end - self.clock()
            if left <= 0:
                return False
            self.turn(left / 1e9)
        return True

    def stop(self) -> None:
        """End ``run`` after this turn."""
        self._stopped = True

    def close(self) -> None:
        """Give back the selector and the wakeup pair."""
        if self._wake:
            signal.set_wakeup_fd(-1)
            for sock in self._wake:
                sock.close()
        self._selector.close()
