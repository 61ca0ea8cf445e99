"""Client of the discovery service: fetches the node list, then watches for changes, indefinitely."""

import random
import socket
from collections import deque
from collections.abc import Callable

from quincepath.net.dial import Dial, describe_connect_error
from quincepath.net.http1 import HttpError, Limits, Response, request_bytes
from quincepath.net.loop import Loop, Timer
from quincepath.net.stream import CLEAN_END
from quincepath.platform.discovery_call import Call, CallConnection
from quincepath.platform.list_timing import MAX_LATE_CALLS, MAX_RESPONSE_NS, ResponseTimes, retry_delay

MAX_BODY_BYTES = 1024 * 1024


class Discovery:
    """One call at a time decides when the next one is made; those whose time is over may still be answered.

    A call without a response in time counts as failed and the next one is made, but its connection stays open
    as that of a late call for up to ``MAX_RESPONSE_NS``: a slow service would else never be heard.

    ``on_list(body, full, overlapped)`` returns the version now held, or None if the full list has to be
    fetched anew; it raises ``ValueError`` if the body is unusable. ``full``: the full list was requested.
    ``overlapped``: another response was accepted since the request, so an older version than the one held is
    only late. ``on_failure(why)`` is called for each call without a usable response in time. ``wait_ms``: how
    long a watch may be held open; ``shared``: one service answers all brokers; ``held_version``: version of
    the list that the broker starts with, if the first call may continue from it. How long all of it takes at
    worst: ``list_timing``.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_list: Callable[[bytes, bool, bool], int | None],
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
        self._answered_at = 0  # when the last usable response arrived
        self.failures = 0  # consecutive failed calls
        self.shared = shared  # one service for all brokers, rather than an agent on this machine
        self.refusals = 0  # of these, the latest consecutive ones in which a shared service refused
        self._response_times = ResponseTimes()
        self._dial: Dial | None = None
        self._connection: CallConnection | None = None  # of the current call, or kept for the next one
        self._current: Call | None = None
        self._late: deque[CallConnection] = deque()  # of calls whose time is over, oldest first
        self._call_timer: Timer | None = None  # of the current call, from its dial to its last byte
        self._retry_timer: Timer | None = None
        self.calls = 0
        self._call()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery has a new address: request the full list there.

        What the former addresses still answer is used until the new one has answered: in a row of moves,
        each faster than a response, nothing would be learned otherwise.
        """
        self.address = address
        self.failures = self.refusals = 0
        self._response_times = ResponseTimes()
        self.version = None
        connection, self._connection = self._connection, None
        if connection is not None and connection.call is not None and not connection.closed:
            self._keep_late(connection, connection.call)
        elif connection is not None:
            connection.close()
        for late in self._late:
            late.moved = True
        self._drop_current()
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
        if self._retry_timer is None and (self._current is None or not (self._current.full or self.failures)):
            self._drop_current()
            self._call()

    # --- the current call ---

    def _call(self) -> None:
        self._retry_timer = None
        self.calls += 1
        now = self.loop.clock()
        # The first watch is answered at once.
        failures = self.failures if self._answered_once else max(self.failures, 1)
        wait_ms = 0 if self.version is None else self._response_times.watch_wait_ms(self.wait_ms, failures)
        self._current = call = Call(self.version, wait_ms, now)
        timeout = self._response_times.timeout(self.failures)
        self._call_timer = self.loop.call_at(call.watch_until + timeout, self._on_timeout)
        if self._connection is None or self._connection.closed:
            self._dial = Dial(self.loop, self.address, timeout, self._on_open, self._on_dial_failed)
        else:
            self._send(self._connection, call)

    def _on_dial_failed(self, code: int) -> None:
        self._fail(describe_connect_error(code))

    def _on_open(self, sock: socket.socket) -> None:
        self._dial = None
        assert self._current is not None
        self._connection = CallConnection(
            self.loop, sock, Limits(body=MAX_BODY_BYTES), self._on_data, self._on_end
        )
        self._send(self._connection, self._current)

    def _send(self, connection: CallConnection, call: Call) -> None:
        connection.call = call
        host = f"{self.address[0]}:{self.address[1]}"
        connection.stream.write(request_bytes("GET", call.target, host, {}, b""))

    def _on_timeout(self) -> None:
        """The current call's time is over: keep listening for its response, and count it as failed."""
        connection, self._connection = self._connection, None
        if connection is not None and connection.call is not None and not connection.closed:
            self._keep_late(connection, connection.call)
        self._fail("no response in time")

    def _fail(self, text: str, refusals: int = 0) -> None:
        self._drop_current()
        self.failures += 1
        self.refusals = refusals
        self._on_failure(text)
        self._delay_call()

    def _delay_call(self) -> None:
        self._retry_timer = self.loop.call_in(retry_delay(self._random.random(), self.refusals), self._call)

    def fail(self, text: str) -> None:
        """Called by the loop after an internal error: the current call ends, the next one follows."""
        self._fail(text)

    # --- late calls ---

    def _keep_late(self, connection: CallConnection, call: Call) -> None:
        self._late.append(connection)
        if len(self._late) > MAX_LATE_CALLS:
            # Within a row of moves the oldest call stays: it is the first that may be answered.
            surplus = self._late[1] if self._late[0].moved else self._late[0]
            self._drop_late(surplus)
        expires_at = call.watch_until + MAX_RESPONSE_NS
        connection.timer = self.loop.call_at(expires_at, lambda: self._drop_late(connection))

    def _drop_late(self, connection: CallConnection) -> None:
        connection.close()
        if connection in self._late:
            self._late.remove(connection)

    def _drop_sent_before(self, call: Call) -> None:
        """Drop the late calls sent before one that was answered: theirs would be older news."""
        while self._late and self._late[0].sent_before(call):
            self._late.popleft().close()

    # --- responses ---

    def _on_data(self, connection: CallConnection, data: bytes) -> None:
        if connection.call is None:
            self._on_call_failed(connection, "unsolicited response")
            return
        try:
            response = connection.reader.feed(data)
        except HttpError as error:
            self._on_call_failed(connection, error.text)
            return
        if response is not None:
            self._on_response(connection, connection.call, response)

    def _on_end(self, connection: CallConnection, text: str) -> None:
        """The connection is closed; a response without a length ends with it, unless it was reset."""
        call = connection.call
        response = connection.reader.end() if text == CLEAN_END and call is not None else None
        if response is not None and call is not None:
            self._on_response(connection, call, response)
        elif call is not None:
            self._on_call_failed(connection, text)
        elif connection is self._connection:
            self._connection = None  # between two calls: nothing is lost

    def _on_call_failed(self, connection: CallConnection, text: str, refusals: int = 0) -> None:
        if connection is self._connection:
            self._fail(text, refusals)
        else:
            self._drop_late(connection)  # it was counted as failed when its time was over

    def _on_response(self, connection: CallConnection, call: Call, response: Response) -> None:
        if response.status != 200:
            refusals = self.refusals + 1 if self.shared else 0
            self._on_call_failed(connection, f"status {response.status}", refusals)
            return
        if connection.moved:
            self._on_moved_response(connection, call, response)
            return
        before = self.version
        try:
            self.version = self._on_list(response.body, call.full, self._answered_at > call.sent_at)
        except ValueError as error:
            self._on_call_failed(connection, str(error))
            return
        now = self.loop.clock()
        self._answered_once, self._answered_at = True, now
        self._response_times.observe(call.response_time(now, unchanged=self.version == before))
        self.failures = self.refusals = 0
        connection.call = None
        self._drop_sent_before(call)
        if connection is self._connection:
            self._end_current(response)
            self._call_next(immediate=now < call.watch_until, before=before)
        else:
            self._on_late_response(connection, response)

    def _end_current(self, response: Response) -> None:
        assert self._call_timer is not None
        self._call_timer.cancel()
        self._call_timer = self._current = None
        if not response.keep_alive:
            self._drop_current()

    def _call_next(self, immediate: bool, before: int | None) -> None:
        if self.version is None or (self.version == before and immediate):
            # Answered at once without changes: without a delay, calls would follow as fast as such responses.
            self._delay_call()
        else:
            self._call()

    def _on_late_response(self, connection: CallConnection, response: Response) -> None:
        """A late call was answered: the current one gets as much time, or the next one is made."""
        if connection in self._late:
            self._late.remove(connection)
        connection.cancel_timer()
        if self._current is not None:
            connection.close()
            self._extend_current()
            return
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if response.keep_alive and not connection.closed:
            self._connection = connection
        else:
            connection.close()
        self._call()

    def _on_moved_response(self, connection: CallConnection, call: Call, response: Response) -> None:
        """A former address has answered: its list counts, but the next call goes on from the new one's."""
        try:
            self._on_list(response.body, call.full, self._answered_at > call.sent_at)
        except ValueError as error:
            self._on_call_failed(connection, str(error))
            return
        self._answered_at = self.loop.clock()
        self._drop_late(connection)

    def _extend_current(self) -> None:
        """Give the current call the time that responses are seen to take."""
        assert self._current is not None and self._call_timer is not None
        self._call_timer.cancel()
        expires_at = self._current.watch_until + self._response_times.timeout(self.failures)
        self._call_timer = self.loop.call_at(expires_at, self._on_timeout)

    # --- ending ---

    def _drop_current(self) -> None:
        for timer in (self._call_timer, self._retry_timer):
            if timer is not None:
                timer.cancel()
        self._call_timer = self._retry_timer = self._current = None
        if self._dial is not None:
            self._dial.close()
            self._dial = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def close(self) -> None:
        """End all calls and make no further one."""
        self._drop_current()
        while self._late:
            self._late.popleft().close()
