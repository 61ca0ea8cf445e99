"""A process of stand-in nodes, and of a client, for the measurements on sockets; ended by its parent.

python -m benchmarks.capacity.peers nodes COUNT      # prints its ports, answers every call at once
python -m benchmarks.capacity.peers client PORT PARTS QUERIES OPEN
"""

import json
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.capacity.site import VALUE, query_body, query_request
from quincepath.net.http1 import Limits, ResponseReader
from quincepath.net.loop import Loop
from quincepath.net.stream import Listener, Stream
from quincepath.platform.frames import LENGTH

ROOT = Path(__file__).parent.parent.parent
NODES_MOST = 2000
END_SECONDS = 10


class Node:
    """Answers every part of every call at once with the same value."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.listener = Listener(loop, "127.0.0.1", 0, self._accept, lambda: 0, NODES_MOST)

    def _accept(self, sock: socket.socket) -> None:
        held = bytearray()
        stream = Stream(self.loop, sock, lambda data: self._data(stream, held, data), lambda why: None)

    @staticmethod
    def _data(stream: Stream, held: bytearray, data: bytes) -> None:
        held += data
        while len(held) >= 4 and len(held) >= 4 + (size := LENGTH.unpack_from(held)[0]):
            letter, rest = held[4:5], bytes(held[5 : 4 + size])
            del held[: 4 + size]
            while letter == b"m" and rest:
                line, _, rest = rest.partition(b"\n")
                part, _, _, length = line.split(b" ")
                rest = rest[int(length) :]
                reply = b"q" + part + b" good 7 inflight=3\n" + VALUE.encode()
                stream.write(LENGTH.pack(len(reply)) + reply)


class Client:
    """Queries in a closed loop, so many open at once, each on a connection of its own that is kept."""

    def __init__(self, loop: Loop, port: int, parts: int, queries: int, open_most: int) -> None:
        self.loop, self.body, self.left = loop, query_body(parts), queries
        self.asked = self.answered = 0
        self.failed: list[int] = []
        for _ in range(open_most):
            self._connect(port)

    def _connect(self, port: int) -> None:
        reader = ResponseReader(Limits())
        stream = Stream(
            self.loop, socket.create_connection(("127.0.0.1", port)),
            lambda data: self._data(stream, reader, data), lambda why: self.loop.stop(),
        )  # fmt: skip
        self._ask(stream)

    def _ask(self, stream: Stream) -> None:
        if self.asked < self.left:
            self.asked += 1
            stream.write(query_request(f"q{self.asked}", self.body))

    def _data(self, stream: Stream, reader: ResponseReader, data: bytes) -> None:
        response = reader.feed(data)
        if response is None:
            return
        self.answered += 1
        if response.status != 200:
            self.failed.append(response.status)
        if self.answered == self.left:
            self.loop.stop()
        else:
            self._ask(stream)


@contextmanager
def child(*words: str) -> Iterator[subprocess.Popen[str]]:
    """A process of this module, ended in every case when the block is left."""
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.capacity.peers", *words],
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(END_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait(END_SECONDS)
        if process.stdout is not None:
            process.stdout.close()


def first_line(process: subprocess.Popen[str]) -> str:
    """What a child says first; raises ``RuntimeError`` where it ended without a word."""
    line = process.stdout.readline() if process.stdout is not None else ""
    if not line:
        raise RuntimeError(f"child {process.args!r} ended without a word")
    return line


def main(words: list[str]) -> None:
    """Run one side until it is told to end."""
    loop = Loop()
    loop.on_signals({signal.SIGTERM: loop.stop})
    if words[0] == "nodes":
        nodes = [Node(loop) for _ in range(int(words[1]))]
        print(json.dumps([node.listener.port for node in nodes]), flush=True)
        loop.run()
        return
    client = Client(loop, *(int(word) for word in words[1:]))
    loop.run()
    print(json.dumps({"answered": client.answered, "failed": client.failed[:10]}), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
