"""Event loop on ``selectors``: sockets, timers, signals and turn hooks.

A turn waits, runs the callbacks of ready sockets, then due timers, then the turn hooks. In a hook the broker
passes one batch of events to its driver. The callbacks of sockets take a limited time in a turn; the rest of
them run in the next one, in the order of ``SocketTurns``. All times are monotonic nanoseconds; the wait lasts
until the next timer, rounded up to the selector's millisecond, so that there is no busy waiting.
"""

import heapq
import selectors
import signal
import socket
import time
from collections.abc import Callable
from typing import Any

from quincepath.net.socket_turns import NEGLIGIBLE_NS, SocketTurns
from quincepath.net.system import System

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
MAX_OVERRUN_NS = 20_000_000  # of a wait: the selector's milliseconds and the system's scheduling
MAX_SOCKETS_NS = 20_000_000  # of a turn for sockets, but for the callback that exceeds it
UNSORTED_SOCKETS = 32  # ready at once, and served in the order of the wait
MAX_WAIT_S = 60.0  # an idle loop wakes up this often, at negligible cost


class Timer:
    """A scheduled call, cancellable by ``cancel``."""

    __slots__ = ("at", "call")

    def __init__(self, at: int, call: Callable[[], None]) -> None:
        self.at = at
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Prevent the call; has no effect after it ran or was cancelled."""
        self.call = None


class Loop:
    """Event loop. Not thread-safe; one per process."""

    def __init__(self, clock: Callable[[], int] = time.monotonic_ns, system: System | None = None) -> None:
        self.clock = clock
        self.system = system or System()
        self._selector = self.system.selector()
        self._timers: list[tuple[int, int, Timer]] = []
        self._timer_count = 0
        self._stopped = False
        self._wakeup_pair: tuple[socket.socket, socket.socket] | None = None
        self._signal_handlers: dict[signal.Signals, Callable[[], None]] = {}
        self._pending_signals: dict[int, None] = {}  # received, handler not called yet
        self.turn_hooks: list[Callable[[], None]] = []
        self.socket_turns = SocketTurns()
        self._more_ready = False  # the last turn did not serve all ready sockets
        self.longest_sockets = 0  # time (ns) for sockets in one turn; reset by whoever reports it
        # If set, receives exceptions of callbacks: each then closes its connection, not the process.
        self.on_error: Callable[[Exception], None] | None = None
        self.turns = 0
        self.last_complete_turn = 0  # the last one before this that served all ready sockets
        self.now = clock()
        # Longest time (ns) that an event found by the last wait may have been pending: the previous turn's
        # duration, and the whole wait if it took so much longer than asked for that the process was held up.
        self.lag = 0
        self._unseen = 0  # how long events may have been pending that the last wait did not report

    def time_unseen(self) -> int:
        """How long (ns) bytes that no callback has read yet may have been waiting by now."""
        return self.lag + self.clock() - self.now

    def watch(self, sock: socket.socket, mask: int, call: Callable[[int], None]) -> None:
        """Run ``call(ready mask)`` when the socket is ready. Replaces an earlier watch; mask 0 removes it."""
        registered = self._selector.get_map().get(sock.fileno())
        if not mask:
            if registered is not None:
                self._selector.unregister(sock)
                self.socket_turns.forget(sock.fileno())
        elif registered is None:
            self._selector.register(sock, mask, call)
        else:
            self._selector.modify(sock, mask, call)

    def call_at(self, at: int, call: Callable[[], None]) -> Timer:
        """Run ``call`` in the first turn at or after ``at`` (ns)."""
        timer = Timer(at, call)
        self._timer_count += 1
        heapq.heappush(self._timers, (at, self._timer_count, timer))
        if self._timer_count % 4096 == 0:  # cancelled timers must not accumulate under long deadlines
            self._timers = [item for item in self._timers if item[2].call is not None]
            heapq.heapify(self._timers)
        return timer

    def call_in(self, wait: int, call: Callable[[], None]) -> Timer:
        """Run ``call`` after ``wait`` ns."""
        return self.call_at(self.clock() + wait, call)

    def on_signals(self, handlers: dict[signal.Signals, Callable[[], None]]) -> None:
        """Handle signals between callbacks, woken by the wakeup descriptor.

        The descriptor only ends the wait; received signals are recorded separately. Guards against more
        signals in one turn than the descriptor's buffer holds (some hundreds): the bytes beyond it are lost,
        and a SIGTERM could be among them.
        """
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        self._wakeup_pair = (reader, writer)
        self._signal_handlers = handlers
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in handlers:  # after the descriptor is set: a signal in between would be lost
            signal.signal(number, lambda received, _: self._pending_signals.setdefault(received))
        self.watch(reader, READ, lambda _: self._drain_wakeup(reader))

    @staticmethod
    def _drain_wakeup(reader: socket.socket) -> None:
        reader.recv(4096)

    def turn(self, max_wait: float = MAX_WAIT_S) -> None:
        """Run one turn; waits at most ``max_wait`` seconds."""
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        wait, began = max_wait, self.clock()
        if self._timers:
            wait = min(max((self._timers[0][0] - began) / 1e9, 0.0), max_wait)
        if self._pending_signals:
            wait = 0.0  # a signal received after this check ends the wait by the descriptor
        ready = self._wait(wait)
        previous, self.now = self.now, self.clock()
        held_up = self._time_held_up(self.now - began, int(wait * 1e9))
        self.lag = began - previous + self._unseen + held_up
        # A wait that was held up may report nothing although events are pending: the next one has them.
        self._unseen = self.lag if not ready and held_up > MAX_OVERRUN_NS else 0
        self.turns += 1
        while self._pending_signals:
            self._call_guarded(self._signal_handlers[signal.Signals(self._pending_signals.popitem()[0])])
        self._serve_sockets(ready)
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            callback, timer.call = timer.call, None
            if callback is not None:
                self._call_guarded(callback)
        for hook in self.turn_hooks:
            self._call_guarded(hook)

    def _serve_sockets(self, ready: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Run the callbacks of ready sockets until their time is over; the next wait reports the rest."""
        turns = self.socket_turns
        turns.fade(self.now)
        if self._more_ready or len(ready) > UNSORTED_SOCKETS:
            ready.sort(key=lambda item: turns.taken(item[0].fd))
        if not self._more_ready:
            self.last_complete_turn = self.turns - 1
        self._more_ready = False
        began = at = self.clock()
        for key, mask in ready:
            if at > began + MAX_SOCKETS_NS:
                self._more_ready = True
                self._unseen = self.lag
                break
            call: Any = key.data
            if self._selector.get_map().get(key.fd) is key:  # an earlier callback may have closed it
                self._call_guarded(call, mask)
                before, at = at, self.clock()
                if at > before + NEGLIGIBLE_NS and self._selector.get_map().get(key.fd) is key:
                    turns.add(key.fd, at - before)
        self.longest_sockets = max(self.longest_sockets, at - began)

    @staticmethod
    def _time_held_up(waited: int, asked_for: int) -> int:
        """How long (ns) events may have been pending in a wait: if held up, perhaps from its start."""
        overrun = waited - asked_for
        return waited if overrun > MAX_OVERRUN_NS else max(overrun, 0)

    def _call_guarded(self, call: Any, *values: Any) -> None:
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
        """Wait for sockets; the only place where time passes. Overridden in tests by a virtual clock."""
        return self._selector.select(seconds)

    def run(self) -> None:
        """Run turns until ``stop``."""
        self._stopped = False
        while not self._stopped:
            self.turn()

    def run_until(self, done: Callable[[], bool], max_wait: float) -> bool:
        """Run turns until ``done()`` or for ``max_wait`` seconds; returns whether it is done."""
        end = self.clock() + int(max_wait * 1e9)
        while not done():
            remaining = end - self.clock()
            if remaining <= 0:
                return False
            self.turn(remaining / 1e9)
        return True

    def stop(self) -> None:
        """End ``run`` after this turn."""
        self._stopped = True

    def close(self) -> None:
        """Close the selector and the wakeup sockets."""
        if self._wakeup_pair:
            signal.set_wakeup_fd(-1)
            for sock in self._wakeup_pair:
                sock.close()
        self._selector.close()
