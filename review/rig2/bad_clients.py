"""Bad clients in a process of their own: PORT COUNT SECONDS KIND AGAIN.

KIND says what each of them sends, at full speed; it reads whatever is sent to it. With AGAIN=1 it connects
and sends the same again as soon as it is turned away. Prints one line of JSON at the end.
"""

import json
import selectors
import socket
import sys
import time

HEAD = b"POST /meter-history HTTP/1.1\r\nHost: api.internal\r\n"
ONE = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
PAYLOADS = {
    # A body of 60 MB in chunks of one byte: each block below is 64 KiB of it on the wire.
    "body": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 10_923, 60 * 1024 * 1024),
    # Hundreds of requests at once.
    "requests": (b"", ONE * 500, 500 * len(ONE)),
}


class BadClient:
    """One connection after another."""

    def __init__(self, port: int, kind: str) -> None:
        self.port, (self.head, self.block, self.size) = port, PAYLOADS[kind]
        self.sock: socket.socket | None = None
        self.sent = 0
        self.out = memoryview(b"")
        self.answered = b""

    def connect(self, poll: selectors.BaseSelector) -> None:
        """Open a connection."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(("127.0.0.1", self.port))
        self.sent, self.out, self.answered = 0, memoryview(self.head), b""
        poll.register(self.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def close(self, poll: selectors.BaseSelector) -> None:
        """Close it."""
        if self.sock is not None:
            poll.unregister(self.sock)
            self.sock.close()
            self.sock = None

    def ready(self, mask: int, poll: selectors.BaseSelector) -> bool:
        """Send and read; returns whether the connection is over."""
        assert self.sock is not None
        try:
            if mask & selectors.EVENT_READ:
                data = self.sock.recv(65536)
                self.answered = self.answered or data[:12]
                if not data:
                    return True
            if mask & selectors.EVENT_WRITE:
                if not len(self.out):
                    if self.sent >= self.size:
                        poll.modify(self.sock, selectors.EVENT_READ, self)
                        return False
                    self.out = memoryview(self.block)
                count = self.sock.send(self.out)
                self.sent += count
                self.out = self.out[count:]
        except BlockingIOError:
            pass
        except OSError:
            return True
        return False


def main() -> None:
    """Run for the time given, then close all."""
    port, count, seconds, kind, again = (
        int(sys.argv[1]),
        int(sys.argv[2]),
        float(sys.argv[3]),
        sys.argv[4],
        sys.argv[5] == "1",
    )
    poll = selectors.DefaultSelector()
    clients = [BadClient(port, kind) for _ in range(count)]
    statuses: dict[str, int] = {}
    connections = sent = 0
    for client in clients:
        client.connect(poll)
        connections += 1
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for key, mask in poll.select(0.05):
            client = key.data
            if client.ready(mask, poll):
                name = client.answered[9:12].decode("latin-1") or "closed"
                statuses[name] = statuses.get(name, 0) + 1
                sent += client.sent
                client.close(poll)
                if again:
                    client.connect(poll)
                    connections += 1
    sent += sum(client.sent for client in clients if client.sock is not None)
    for client in clients:
        client.close(poll)
    print(json.dumps({"connections": connections, "bytes": sent, "turned_away": statuses}), flush=True)


if __name__ == "__main__":
    main()
