"""Client of the discovery service: fetches the node list, then watches for changes, indefinitely."""

import random
import socket
from collections.abc import Callable

from quincepath.net.dial import Dial, describe_connect_error
from quincepath.net.http1 import HttpError, Limits, Response, ResponseReader, request_bytes
from quincepath.net.loop import Loop, Timer
from quincepath.net.stream import Stream
from quincepath.platform.list_timing import MS, response_timeout, retry_delay, watch_wait_ms

MAX_BODY_BYTES = 1024 * 1024
# How a stream reports that its peer closed it on purpose; a reset has other texts.
CLEAN_END = "end of stream"


class Discovery:
    """One call at a time.

    ``on_list(body, full)`` returns the version now held, or None if the full list has to be fetched anew; it
    raises ``ValueError`` if the body is unusable. ``full``: the full list was requested. ``on_failure(why)``
    is called for each call without a usable response. ``wait_ms``: how long a watch may be held open;
    ``shared``: one service answers all brokers; ``held_version``: version of the list that the broker starts
    with, if the first call may continue from it. How long all of it takes at worst: ``list_timing``.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_list: Callable[[bytes, bool], int | None],
        on_failure: Callable[[str], None],
        seed: int,
        wait_ms: int,
        shared: bool = False,
        held_version: int | None = None,
    ) -> None:
        self.loop, self.address, self.wait_ms = loop, address, wait_ms
        self._on_list, self._on_failure = on_list, on_failure
        self._random = random.Random(seed)
        self.version = held_version  # None: the full list is requested
        self._answered_once = False  # a call was answered since the start
        self.failures = 0  # consecutive failed calls
        self.shared = shared  # one service for all brokers, rather than an agent on this machine
        self.refusals = 0  # of these, the latest consecutive ones in which a shared service refused
        self._dial: Dial | None = None
        self._stream: Stream | None = None
        self._reader = ResponseReader(Limits(body=MAX_BODY_BYTES))
        self._call_timer: Timer | None = None  # of the current call, from its dial to its last byte
        self._retry_timer: Timer | None = None
        self._full = True  # the current call requests the full list
        self._watch_until = 0  # from then on the current call may be answered without changes
        self.calls = 0
        self._call()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery has a new address: drop the current call and request the full list there."""
        self.address = address
        self.failures = self.refusals = 0
        self.version = None
        self._drop()
        self._call()

    def refresh(self) -> None:
        """Fetch what is new. Where a version is held, the current call or retry delay takes care of it.

        Guards a shared service against requests for the full list: each would end the watch, and reopening
        it is one more call.
        """
        if self.version is None:
            self.refetch()

    def refetch(self) -> None:
        """Request the full list now.

        A current call that may not wait goes on, as does a retry delay: repeated requests must not restart
        the time limit of the response each time, else none would ever arrive.
        """
        self.version = None
        if self._retry_timer is None and (self._call_timer is None or not (self._full or self.failures)):
            self._drop()
            self._call()

    def _call(self) -> None:
        self._retry_timer = None
        self.calls += 1
        self._full = self.version is None
        wait = 0 if self._full else self._watch_ms() * MS
        timeout = response_timeout(self.failures)
        self._watch_until = self.loop.clock() + wait
        self._call_timer = self.loop.call_in(wait + timeout, self._on_timeout)
        if self._stream is None or self._stream.closed:
            self._dial = Dial(self.loop, self.address, timeout, self._on_open, self._on_dial_failed)
        else:
            self._send()

    def _watch_ms(self) -> int:
        """How long the current watch may be held open: the first one is answered at once."""
        return watch_wait_ms(self.wait_ms, self.failures if self._answered_once else 1)

    def _on_dial_failed(self, code: int) -> None:
        self._fail(describe_connect_error(code))

    def _on_open(self, sock: socket.socket) -> None:
        self._dial = None
        self._reader = ResponseReader(Limits(body=MAX_BODY_BYTES))
        self._stream = Stream(self.loop, sock, self._on_data, self._on_end)
        self._send()

    def _send(self) -> None:
        assert self._stream is not None
        target = "/api/targets"
        if not self._full:
            target += f"?since={self.version}&timeout_ms={self._watch_ms()}"
        host = f"{self.address[0]}:{self.address[1]}"
        self._stream.write(request_bytes("GET", target, host, {}, b""))

    def _on_timeout(self) -> None:
        self._fail("no response in time")

    def _on_data(self, data: bytes) -> None:
        if self._call_timer is None:
            self._fail("unsolicited response")
            return
        try:
            response = self._reader.feed(data)
        except HttpError as error:
            self._fail(error.text)
            return
        if response is not None:
            self._on_response(response)

    def _on_end(self, text: str) -> None:
        """The connection is closed; a response without a length ends with it, unless it was reset."""
        response = self._reader.end() if text == CLEAN_END and self._call_timer is not None else None
        if response is not None:
            self._on_response(response)
        elif self._call_timer is not None:
            self._fail(text)
        else:
            self._stream = None  # between two calls: nothing is lost

    def _on_response(self, response: Response) -> None:
        assert self._call_timer is not None
        if response.status != 200:
            refusals = self.refusals + 1 if self.shared else 0
            self._fail(f"status {response.status}", refusals)
            return
        before = self.version
        try:
            self.version = self._on_list(response.body, self._full)
        except ValueError as error:
            self._fail(str(error))
            return
        self._call_timer.cancel()
        self._call_timer = None
        self._answered_once = True
        self.failures = self.refusals = 0
        if not response.keep_alive:
            self._drop()
        if self.version is None or (self.version == before and self.loop.clock() < self._watch_until):
            # Answered at once without changes: without a delay, calls would follow as fast as such responses.
            self._delay_call()
        else:
            self._call()

    def _fail(self, text: str, refusals: int = 0) -> None:
        self._drop()
        self.failures += 1
        self.refusals = refusals
        self._on_failure(text)
        self._delay_call()

    def _delay_call(self) -> None:
        self._retry_timer = self.loop.call_in(retry_delay(self._random.random(), self.refusals), self._call)

    def fail(self, text: str) -> None:
        """Called by the loop after an internal error: the current call ends, the next one follows."""
        self._fail(text)

    def _drop(self) -> None:
        if self._call_timer is not None:
            self._call_timer.cancel()
            self._call_timer = None
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._dial is not None:
            self._dial.close()
            self._dial = None
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def close(self) -> None:
        """End the current call and make no further one."""
        self._drop()
