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
ORDERLY = "end of stream"  # how a stream names the end that its peer meant; a reset has other words


class Discovery:
    """One call at a time. ``told(body, whole)`` returns the version now held, or None if that has to be asked
    for anew, whole; it raises ``ValueError`` if the body is unusable.

    ``whole``: the whole list was asked for. ``failed(why)`` is told of each call that brought nothing.
    ``wait``: ms that a watch may be held; ``shared``: by one service for all brokers; ``held``: version of
    the list that the broker starts with, if the first call may go on from it. How long all takes at the
    worst: ``list_clock``.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        told: Callable[[bytes, bool], int | None],
        failed: Callable[[str], None],
        seed: int,
        wait: int,
        shared: bool = False,
        held: int | None = None,
    ) -> None:
        self.loop, self.address, self.wait = loop, address, wait
        self._told, self._failed = told, failed
        self._random = random.Random(seed)
        self.version = held  # None: the whole list is asked for
        self._heard = False  # a call was answered since the start
        self.failures = 0  # calls in a row that brought nothing
        self.shared = shared  # by all brokers, that is: no agent of this machine's own
        self.refusals = 0  # of these, the last in a row that a shared service answered, saying that it cannot
        self._dial: Dial | None = None
        self._stream: Stream | None = None
        self._reader = ResponseReader(Limits(body=MAX_BODY_BYTES))
        self._timer: Timer | None = None  # of the call that is out, from its dial to its last byte
        self._pause: Timer | None = None
        self._whole = True  # the call that is out asks for the whole list
        self._held_until = 0  # it may be answered with nothing new from then on
        self.calls = 0
        self._call()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere now: the call that is out is dropped, the whole list is asked for there."""
        self.address = address
        self.failures = self.refusals = 0
        self.version = None
        self._drop()
        self._call()

    def ask_again(self) -> None:
        """Ask for what is new. Where a version is held, the call or the pause that is under way sees to it.

        Guards a shared service against whole lists: each ends the watch, and opening it is one more call.
        """
        if self.version is None:
            self.ask_all()

    def ask_all(self) -> None:
        """Ask for the whole list now.

        A call that is out and may not wait goes on, as does a pause: who asks again and again must not start
        the time of the answer anew each time, else none would ever come.
        """
        self.version = None
        if self._pause is None and (self._timer is None or not (self._whole or self.failures)):
            self._drop()
            self._call()

    def _call(self) -> None:
        self._pause = None
        self.calls += 1
        self._whole = self.version is None
        wait = 0 if self._whole else self._wait() * MS
        answer = response_timeout(self.failures)
        self._held_until = self.loop.clock() + wait
        self._timer = self.loop.call_in(wait + answer, self._late)
        if self._stream is None or self._stream.closed:
            self._dial = Dial(self.loop, self.address, answer, self._opened, self._not_opened)
        else:
            self._send()

    def _wait(self) -> int:
        """For how many ms the call for changes that is out may be held: the first one tells at once."""
        return watch_wait_ms(self.wait, self.failures if self._heard else 1)

    def _not_opened(self, code: int) -> None:
        self._fail(describe_connect_error(code))

    def _opened(self, sock: socket.socket) -> None:
        self._dial = None
        self._reader = ResponseReader(Limits(body=MAX_BODY_BYTES))
        self._stream = Stream(self.loop, sock, self._data, self._ended)
        self._send()

    def _send(self) -> None:
        assert self._stream is not None
        target = "/api/targets"
        if not self._whole:
            target += f"?since={self.version}&timeout_ms={self._wait()}"
        host = f"{self.address[0]}:{self.address[1]}"
        self._stream.write(request_bytes("GET", target, host, {}, b""))

    def _late(self) -> None:
        self._fail("no answer in time")

    def _data(self, data: bytes) -> None:
        if self._timer is None:
            self._fail("an answer to no call")
            return
        try:
            response = self._reader.feed(data)
        except HttpError as error:
            self._fail(error.text)
            return
        if response is not None:
            self._answered(response)

    def _ended(self, text: str) -> None:
        """The connection is over. What says no length ends with it, if the other side meant it: no reset."""
        response = self._reader.end() if text == ORDERLY and self._timer is not None else None
        if response is not None:
            self._answered(response)
        elif self._timer is not None:
            self._fail(text)
        else:
            self._stream = None  # between two calls: nothing is lost

    def _answered(self, response: Response) -> None:
        assert self._timer is not None
        if response.status != 200:
            refusals = self.refusals + 1 if self.shared else 0
            self._fail(f"status {response.status}", refusals)
            return
        before = self.version
        try:
            self.version = self._told(response.body, self._whole)
        except ValueError as error:
            self._fail(str(error))
            return
        self._timer.cancel()
        self._timer = None
        self._heard = True
        self.failures = self.refusals = 0
        if not response.keep_alive:
            self._drop()
        if self.version is None or (self.version == before and self.loop.clock() < self._held_until):
            # Nothing new, and at once: guards against calling as fast as such answers come.
            self._rest()
        else:
            self._call()

    def _fail(self, text: str, refusals: int = 0) -> None:
        self._drop()
        self.failures += 1
        self.refusals = refusals
        self._failed(text)
        self._rest()

    def _rest(self) -> None:
        self._pause = self.loop.call_in(retry_delay(self._random.random(), self.refusals), self._call)

    def fail(self, text: str) -> None:
        """After an error of this program: the call ends, the next one follows."""
        self._fail(text)

    def _drop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
        if self._dial is not None:
            self._dial.close()
            self._dial = None
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def close(self) -> None:
        """Ask no more."""
        self._drop()
