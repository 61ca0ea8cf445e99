"""Buffered non-blocking byte stream, and a listener that tolerates running out of descriptors."""

import errno
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from quincepath.net.closing import Event, State, discards_data, next_state
from quincepath.net.loop import READ, WRITE, Loop

READ_CHUNK_BYTES = 256 * 1024  # per socket and turn: a fast sender must not starve the others
# Shared read buffer. A new buffer of that size for each read, trimmed to the received bytes, grows the heap
# without bound: the trimmed bytes stay at its start for a while, and the next buffer is allocated after them.
_READ_BUFFER = memoryview(bytearray(READ_CHUNK_BYTES))
ACCEPT_BACKLOG = 1024  # connections queued by the system until they are accepted
MAX_ACCEPTS_PER_TURN = 64
MAX_FINAL_READS = 8  # before closing at a limit: 2 MiB, more than a receive buffer commonly holds
CLEAN_END = "end of stream"  # the reason of a close by the peer's orderly end
ACCEPT_PAUSE_NS = 100_000_000  # pause of a listener after accepting failed for lack of descriptors


def _ignore(_: bytes | str) -> None:
    """Replaces the callbacks of a closed stream."""


class Stream:
    """One connected socket. ``on_data(bytes)`` and ``on_close(reason)`` are called within the loop's turn.

    Writes are sent at once as far as the kernel accepts them; ``pending`` bytes of the rest are buffered.
    ``progress_at`` is the last time (ns) at which the kernel accepted bytes, for the write timeout.
    ``state`` is the state of closing (net/closing.py), entered at ``state_since``.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_data: Callable[[bytes], None],
        on_close: Callable[[str], None],
        on_drained: Callable[[], None] | None = None,
    ) -> None:
        self.loop, self.sock = loop, sock
        self._on_data, self._on_close, self._on_drained = on_data, on_close, on_drained
        self._out: deque[memoryview] = deque()
        self.pending = 0
        self.unsent = 0  # bytes still buffered here when the stream was closed
        self.progress_at = self.state_since = loop.now
        self.state = State.OPEN
        self.closed = False  # whether the socket is closed; read too often for a property
        self._reading = True
        self._on_finished: Callable[[], None] | None = None
        self._discard_budget = 0
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._mask = READ
        loop.watch(sock, READ, self._ready)

    def write(self, *chunks: bytes) -> None:
        """Send in order; has no effect after ``finish``."""
        if self.state is not State.OPEN:
            return
        if not self._out:
            self.progress_at = self.loop.now
        for chunk in chunks:
            if chunk:
                self._out.append(memoryview(chunk))
                self.pending += len(chunk)
        self._flush()

    def pause(self) -> None:
        """Stop reading: applies back-pressure to the peer."""
        self._reading = False
        self._rewatch()

    def resume(self) -> None:
        """Resume reading."""
        self._reading = True
        self._rewatch()

    def finish(self, max_discarded: int, on_finished: Callable[[], None]) -> None:
        """Write no more: sends the buffered output, ends the stream, then calls ``on_finished``.

        Up to ``max_discarded`` bytes of further input are read and discarded. The caller limits the time and
        calls ``abandon`` when it has passed.
        """
        if self.state is not State.OPEN:
            if self.closed:
                on_finished()
            return
        self._on_finished, self._discard_budget = on_finished, max_discarded
        self._apply(Event.FINISH)
        if not self._out:
            self._apply(Event.WRITTEN)

    def abandon(self) -> None:
        """Close now, because a limit was exceeded; discards unread input first, as far as possible."""
        self._apply(Event.LOST)

    def _apply(self, event: Event) -> None:
        """Make the transition for ``event``, if there is one."""
        state = next_state(self.state, event)
        if state is self.state:
            return
        if state is State.CLOSED:
            if event is not Event.PEER_END:
                self._discard_unread()
            callback, self._on_finished = self._on_finished, None
            self.close()
            if callback is not None:
                callback()
            return
        self.state, self.state_since = state, self.loop.now
        if state is State.HALF_CLOSED:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:  # the connection was reset
                self._apply(Event.LOST)
                return
        self._reading = discards_data(state)
        self._rewatch()

    def _discard_unread(self) -> None:
        """Read pending input, so that closing sends no reset; an endless sender is reset all the same."""
        try:
            for _ in range(MAX_FINAL_READS):
                if not self.sock.recv_into(_READ_BUFFER):
                    return
        except OSError:
            return

    def peek(self) -> bytes | None:
        """The next unread byte: None if there is none yet, empty at end of stream or after an error."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    def nothing_unread(self) -> bool:
        """Whether no input is unread. An error or the end of the stream is not input."""
        return not self.peek()

    def peer_closed(self) -> bool:
        """Whether the peer has ended the stream or reset it, as far as that is known behind unread bytes."""
        return self.peek() == b"" or self.loop.system.peer_ended(self.sock) is True

    def take_unread(self, max_bytes: int) -> bytes:
        """Read what has arrived, up to a limit, and return it: for a stream that is about to be closed."""
        with suppress(OSError):
            if not self.closed:
                return self.sock.recv(max_bytes)
        return b""

    def read_pending(self, max_reads: int) -> int:
        """Read what has arrived, now and not in later turns; returns the number of reads."""
        reads = 0
        while reads < max_reads and not self.closed and self._reading and self.peek():
            self._ready(READ)
            reads += 1
        return reads

    def close(self, reset: bool = False) -> None:
        """Close at once without calling ``on_close``; ``reset`` discards buffered output and sends RST."""
        if self.closed:
            return
        self.state, self.state_since, self.closed = State.CLOSED, self.loop.now, True
        self._out.clear()
        self.unsent, self.pending = self.pending, 0
        # The callbacks refer to the owner: breaking the cycle frees both at once, not at a later collection.
        self._on_data, self._on_close, self._on_drained, self._on_finished = _ignore, _ignore, None, None
        self.loop.watch(self.sock, 0, self._ready)
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def _rewatch(self) -> None:
        if self.closed:
            return
        mask = (READ if self._reading else 0) | (WRITE if self._out else 0)
        if mask != self._mask:
            self._mask = mask
            self.loop.watch(self.sock, mask, self._ready)

    def _ready(self, mask: int) -> None:
        if mask & WRITE:
            self._flush()
        if mask & READ and not self.closed and self._reading:
            try:
                size = self.sock.recv_into(_READ_BUFFER)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._lost(error.strerror or str(error))
                return
            if discards_data(self.state):
                self._discard_budget -= size
                if not size:
                    self._apply(Event.PEER_END)
                elif self._discard_budget < 0:
                    self._apply(Event.LOST)
            elif size:
                self._on_data(bytes(_READ_BUFFER[:size]))
            else:
                self._lost(CLEAN_END)

    def _flush(self) -> None:
        try:
            while self._out:
                sent = self.sock.send(self._out[0])
                self.progress_at = self.loop.now
                self.pending -= sent
                if sent < len(self._out[0]):
                    self._out[0] = self._out[0][sent:]
                    break
                self._out.popleft()
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self._lost(error.strerror or str(error))
            return
        self._rewatch()
        if self._out:
            return
        if self.state is not State.OPEN:
            self._apply(Event.WRITTEN)
        elif self._on_drained is not None:
            self._on_drained()

    def _lost(self, reason: str) -> None:
        if self.state is not State.OPEN:
            self._apply(Event.LOST)
            return
        on_close = self._on_close
        self.close()
        on_close(reason)

    def fail(self, reason: str) -> None:
        """Close this connection without a further write, and notify its owner."""
        if not self.closed:
            self._discard_unread()
            self._lost(reason)


class Listener:
    """Accepts on one address; pauses at ``max_open`` streams or out of descriptors, without busy looping.

    ``open_streams()`` returns the number of open streams; ``on_paused(reason)`` is called at each pause.
    """

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        on_accept: Callable[[socket.socket], None],
        open_streams: Callable[[], int],
        max_open: int,
        on_paused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.loop, self._on_accept, self._open_streams, self.max_open = (
            loop,
            on_accept,
            open_streams,
            max_open,
        )
        self._on_paused = on_paused
        self.sock = loop.system.listening_socket(host, port, ACCEPT_BACKLOG)
        self.sock.setblocking(False)
        self.port: int = self.sock.getsockname()[1]
        self.closed = False
        # Since when (ns) the connections being accepted may have been waiting.
        self.waiting_since = loop.now
        self._more_waiting = False  # the last turn accepted as many as one turn may
        loop.watch(self.sock, READ, self._ready)

    def _ready(self, _: int) -> None:
        if not self._more_waiting:
            self.waiting_since = self.loop.now - self.loop.lag
        self._more_waiting = False
        self._accept(MAX_ACCEPTS_PER_TURN, self.max_open)

    def _accept(self, max_accepts: int, max_open: int) -> None:
        for _ in range(max_accepts):
            if self._open_streams() >= max_open:
                self._pause_accepting("connection limit reached")
                return
            try:
                sock, _addr = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # The waiting client stays in the backlog; watching a ready listener would be a busy loop.
                    self._pause_accepting(error.strerror or str(error))
                    return
                raise
            self._on_accept(sock)
        self._more_waiting = True

    def _pause_accepting(self, reason: str) -> None:
        self._on_paused(reason)
        if self.closed:  # accepting for the last time, in ``drain``
            return
        self.loop.watch(self.sock, 0, self._ready)
        self.loop.call_in(ACCEPT_PAUSE_NS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if not self.closed:
            self.loop.watch(self.sock, READ, self._ready)

    def drain(self) -> None:
        """Accept the queued connections, then close: closing would reset them, and requests may have arrived.

        Exceeds ``max_open`` if need be, since they are not accepted later. Nothing runs between the accept
        that finds none and the close; a connection made in between is reset. (Shutting the listener down
        first resets all queued connections.)
        """
        if not self.closed:
            self.closed = True
            self.loop.watch(self.sock, 0, self._ready)
            self._accept(2 * ACCEPT_BACKLOG, self.max_open + ACCEPT_BACKLOG)
            self.sock.close()

    def close(self) -> None:
        """Stop accepting; open streams are not affected."""
        if not self.closed:
            self.closed = True
            self.loop.watch(self.sock, 0, self._ready)
            self.sock.close()
