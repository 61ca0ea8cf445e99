"""Runs instances of the decision module on standard input and output, in the binary wire format."""

import sys
from typing import BinaryIO

from quincepath.interface import Action, Event
from quincepath.policy import Aggregator
from quincepath.settings import SettingsError, read_settings
from quincepath.wire import BATCH, Fault, Incoming, Lists, Start, Stop, WireError, decode_batch, encode_reply

Actions = list[tuple[int, Action | Fault]]


class Host:
    """The instances of this process, and the numbered node lists that their events refer to."""

    def __init__(self) -> None:
        self.instances: dict[int, Aggregator] = {}
        self.failed: dict[int, bool] = {}
        self.lists: Lists = {}

    def run(self, now: int, incoming: list[Incoming]) -> Actions:
        """Pass each instance its events of this batch, in order, and collect the actions."""
        pending: dict[int, list[Event]] = {}
        out: Actions = []
        for i, event in incoming:
            if isinstance(event, Start):
                pending.pop(i, None)
                self._start(i, event, out)
            elif isinstance(event, Stop):
                pending.pop(i, None)
                if self.instances.pop(i, None) is None and not self.failed.pop(i, False):
                    print(f"quincepath: instance {i} was killed but never started", file=sys.stderr)
            elif i in self.instances:
                pending.setdefault(i, []).append(event)
            elif i not in self.failed:
                print(
                    f"quincepath: {type(event).__name__} for instance {i}, which is not running",
                    file=sys.stderr,
                )
        for i, events in pending.items():
            try:
                out.extend((i, action) for action in self.instances[i].handle(now, events))
            except Exception as error:  # an error of one instance must not end the others
                self._fault(i, f"decision failed: {type(error).__name__}: {error}", out)
        return out

    def _start(self, i: int, start: Start, out: Actions) -> None:
        self.failed.pop(i, None)
        try:
            self.instances[i] = Aggregator(read_settings(start.settings), start.seed)
        except SettingsError as error:
            self._fault(i, str(error), out)

    def _fault(self, i: int, text: str, out: Actions) -> None:
        self.instances.pop(i, None)
        self.failed[i] = True
        out.append((i, Fault(text)))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batch after batch until the input ends."""
    host = Host()
    while header := source.read(BATCH.size):
        if len(header) < BATCH.size:
            raise WireError(f"input ends inside a batch header, after {len(header)} of {BATCH.size} bytes")
        now, size, count = BATCH.unpack(header)
        body = source.read(size)
        if len(body) < size:
            raise WireError(f"input ends inside a batch, after {len(body)} of {size} bytes")
        sink.write(encode_reply(host.run(now, decode_batch(body, count, host.lists))))
        sink.flush()


def main() -> int:
    """Run until the end of input; a malformed frame is reported in one line."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"quincepath: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
