"""One call to discovery and the connection that carries it."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from quincepath.net.http1 import Limits, ResponseReader
from quincepath.net.loop import Loop, Timer
from quincepath.net.stream import Stream
from quincepath.platform.list_timing import MS


@dataclass(slots=True, frozen=True)
class Call:
    """A request for the full list (``since`` is None) or a watch; ``sent_at`` is in ns."""

    since: int | None
    wait_ms: int
    sent_at: int

    @property
    def full(self) -> bool:
        """Whether the full list is requested."""
        return self.since is None

    @property
    def watch_until(self) -> int:
        """When (ns) the call is due to be answered without changes."""
        return self.sent_at + self.wait_ms * MS

    @property
    def target(self) -> str:
        """The request target."""
        watch = "" if self.full else f"?since={self.since}&timeout_ms={self.wait_ms}"
        return f"/api/targets{watch}"

    def response_time(self, now: int, unchanged: bool) -> int | None:
        """How long (ns) the response took beyond the watch time; None where that is not known.

        A response with changes may have been written at any time of the watch.
        """
        if unchanged or not self.wait_ms or now > self.watch_until:
            return max(now - self.watch_until, 0)
        return None


class CallConnection:
    """A connection to discovery; ``call`` is the one that it carries, None between two calls."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        limits: Limits,
        on_data: Callable[["CallConnection", bytes], None],
        on_end: Callable[["CallConnection", str], None],
    ) -> None:
        self.call: Call | None = None
        self.reader = ResponseReader(limits)
        self.timer: Timer | None = None  # ends a late call
        self.moved = False  # its address is not in force any more
        self.stream = Stream(
            loop, sock, lambda data: on_data(self, data), lambda text: on_end(self, text)
        )  # fmt: skip

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self.stream.closed

    def sent_before(self, call: Call) -> bool:
        """Whether it carries a call that was sent before ``call``."""
        return self.call is not None and self.call.sent_at < call.sent_at

    def cancel_timer(self) -> None:
        """The call is no longer late."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def close(self) -> None:
        """Close the socket; a call on it is not reported."""
        self.cancel_timer()
        self.stream.close()
