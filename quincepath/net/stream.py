"""A buffered non-blocking byte stream, and a listener that survives running out of descriptors."""

import errno
import socket
import struct
from collections import deque
from collections.abc import Callable

from quincepath.net.closing import Event, State, discards_data, next_state
from quincepath.net.loop import READ, WRITE, Loop

READ_CHUNK_BYTES = (
    256 * 1024
)  # bytes read in one turn from one socket: a fast sender must not starve the others
# Where bytes are read to. A fresh piece of that size for each read, cut down to what came, stretches the heap
# for ever: what came lies at its start for a while, and the next piece has to go behind it.
_ROOM = memoryview(bytearray(READ_CHUNK_BYTES))
BACKLOG = 1024  # connections that the system holds until they are accepted
LAST_READS = 8  # reads before a close at a bound: 2 MiB, more than a receive buffer commonly holds
ACCEPT_PAUSE = 100_000_000  # ns for which a listener pauses when accepting fails for want of descriptors


def _ignore(_: bytes | str) -> None:
    """Stands where the owner of a closed stream was told."""


class Stream:
    """One connected socket. ``on_data(bytes)``, ``on_close(why)`` are called from the loop's turn.

    Writes go out at once as far as the kernel takes them; the rest waits in ``pending`` bytes.
    ``progress_at`` is the last time (ns) at which the peer took bytes: for a slow reader's time-out.
    ``state`` says how far its end is (net/closing.py), ``state_since`` since when.
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
        self.unsent = 0  # bytes that the system had not taken when it was closed
        self.progress_at = self.state_since = loop.now
        self.state = State.OPEN
        self.closed = False  # whether the socket was given back; asked too often for a property
        self._reading = True
        self._on_finished: Callable[[], None] | None = None
        self._discard = 0
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._mask = READ
        loop.watch(sock, READ, self._ready)

    def write(self, *chunks: bytes) -> None:
        """Send in order; nothing happens once the last was said."""
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
        """Stop reading: back-pressure on the peer."""
        self._reading = False
        self._rewatch()

    def resume(self) -> None:
        """Read again."""
        self._reading = True
        self._rewatch()

    def finish(self, most: int, on_finished: Callable[[], None]) -> None:
        """Say no more: what is written goes out, then the end of the stream; then ``on_finished``.

        What the peer still sends, up to ``most`` bytes, is read and dropped. The caller bounds the time, and
        calls ``abandon`` when it is over.
        """
        if self.state is not State.OPEN:
            if self.closed:
                on_finished()
            return
        self._on_finished, self._discard = on_finished, most
        self._move(Event.FINISH)
        if not self._out:
            self._move(Event.WRITTEN)

    def abandon(self) -> None:
        """The bound is over: close now, with nothing unread as far as that can be had."""
        self._move(Event.LOST)

    def _move(self, event: Event) -> None:
        """Carry out what the table says."""
        state = next_state(self.state, event)
        if state is self.state:
            return
        if state is State.CLOSED:
            if event is not Event.PEER_END:
                self._drop_unread()
            done, self._on_finished = self._on_finished, None
            self.close()
            if done is not None:
                done()
            return
        self.state, self.state_since = state, self.loop.now
        if state is State.HALF_CLOSED:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:  # it was reset
                self._move(Event.LOST)
                return
        self._reading = discards_data(state)
        self._rewatch()

    def _drop_unread(self) -> None:
        """Read what has come, so that the close does not reset; a sender without end gets its reset."""
        try:
            for _ in range(LAST_READS):
                if not self.sock.recv_into(_ROOM):
                    return
        except OSError:
            return

    def unread(self) -> bytes | None:
        """A look at what would be read next: None for nothing, no bytes for the peer's end or an error."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    def quiet(self) -> bool:
        """Whether nothing that the peer sent lies unread. An error or the end is nothing to be read."""
        return not self.unread()

    def gone(self) -> bool:
        """Whether the peer's end, or a reset, is what would be read next."""
        return self.unread() == b""

    def close(self, reset: bool = False) -> None:
        """Close at once without a word to ``on_close``; ``reset`` drops what is buffered and sends RST."""
        if self.closed:
            return
        self.state, self.state_since, self.closed = State.CLOSED, self.loop.now, True
        self._out.clear()
        self.unsent, self.pending = self.pending, 0
        # Whoever holds this stream is held by these: cut, so that both go at once and not at some collection.
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
                size = self.sock.recv_into(_ROOM)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._lost(error.strerror or str(error))
                return
            if discards_data(self.state):
                self._discard -= size
                if not size:
                    self._move(Event.PEER_END)
                elif self._discard < 0:
                    self._move(Event.LOST)
            elif size:
                self._on_data(bytes(_ROOM[:size]))
            else:
                self._lost("end of stream")

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
            self._move(Event.WRITTEN)
        elif self._on_drained is not None:
            self._on_drained()

    def _lost(self, why: str) -> None:
        if self.state is not State.OPEN:
            self._move(Event.LOST)
            return
        on_close = self._on_close
        self.close()
        on_close(why)

    def fail(self, why: str) -> None:
        """End this connection, with no further word to the peer; its owner is told."""
        if not self.closed:
            self._drop_unread()
            self._lost(why)


class Listener:
    """Accepts on one address. At ``most`` open streams, or out of descriptors, it pauses and does not spin.

    ``open_streams()`` tells how many are open; ``on_paused(why)`` is told of each pause.
    """

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        on_accept: Callable[[socket.socket], None],
        open_streams: Callable[[], int],
        most: int,
        on_paused: Callable[[str], None] = lambda why: None,
    ) -> None:
        self.loop, self._on_accept, self._open, self.most = loop, on_accept, open_streams, most
        self._on_paused = on_paused
        self.sock = loop.system.listening_socket(host, port, BACKLOG)
        self.sock.setblocking(False)
        self.port: int = self.sock.getsockname()[1]
        self.closed = False
        loop.watch(self.sock, READ, self._ready)

    def _ready(self, _: int) -> None:
        self._accept(64, self.most)

    def _accept(self, turns: int, most: int) -> None:
        for _turn in range(turns):
            if self._open() >= most:
                self._pause_accepting("connection limit reached")
                return
            try:
                sock, _addr = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # The waiting client stays in the backlog; a ready listener would spin the loop.
                    self._pause_accepting(error.strerror or str(error))
                    return
                raise
            self._on_accept(sock)

    def _pause_accepting(self, why: str) -> None:
        self._on_paused(why)
        if self.closed:  # it accepts for the last time
            return
        self.loop.watch(self.sock, 0, self._ready)
        self.loop.call_in(ACCEPT_PAUSE, self._wake)

    def _wake(self) -> None:
        if not self.closed:
            self.loop.watch(self.sock, READ, self._ready)

    def drain(self) -> None:
        """Accept who waits, then close: closing resets them, and their requests may be here already.

        Over ``most`` as well: it is their last chance. Nothing is done between the accept that finds nobody
        and the close; who comes in between is reset. (Shutting the listener down first resets all who wait.)
        """
        if not self.closed:
            self.closed = True
            self.loop.watch(self.sock, 0, self._ready)
            self._accept(2 * BACKLOG, self.most + BACKLOG)
            self.sock.close()

    def close(self) -> None:
        """Stop accepting; streams already open go on."""
        if not self.closed:
            self.closed = True
            self.loop.watch(self.sock, 0, self._ready)
            self.sock.close()
