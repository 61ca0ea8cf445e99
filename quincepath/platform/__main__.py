"""``python -m quincepath.platform``: one broker on the platform, in the foreground, until SIGTERM."""

import os
import signal
from types import FrameType

EARLY: list[int] = []  # signals SIGHUP that came before there was a broker


def _early(number: int, _: FrameType | None) -> None:
    """Until the loop takes signals: without a listener nothing was taken, and the end may come at once."""
    if number != signal.SIGHUP:
        os._exit(0)
    EARLY.append(number)


if __name__ == "__main__":
    # Ahead of the other imports, which take long: by default the signals end the process.
    for name in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(name, _early)

import gc
import logging
import sys
from logging import LogRecord

from quincepath.net.loop import Loop, Timer
from quincepath.platform.config import CONFIG_VARIABLE, ConfigError, read_configuration, read_discovery
from quincepath.platform.service import Broker

REREAD = 250_000_000  # ns until a file that could not be used is read again, so often at most
REREADS = 12
LINES = 200  # of the log, at once; further ones are earned over time
LINES_PER_SECOND = 5.0
# Few young collections; a whole one (some ms: what lives as long as the process is frozen) whenever what has
# outlived two young ones is a quarter of all. Queries and their parts hold each other: a few are always open
# when a young collection comes, and only a whole one frees those.
GENERATIONS = (5000, 10, 2)
log = logging.getLogger("quincepath")


class Sparing(logging.Handler):
    """Standard error, without ever waiting for its reader: lines over the rate, or not taken, are counted."""

    def __init__(self) -> None:
        super().__init__()
        self.credit, self.at, self.lost = float(LINES), 0.0, 0
        os.set_blocking(2, False)

    def emit(self, record: LogRecord) -> None:
        """Write one line, or count it as lost."""
        self.credit = min(self.credit + (record.created - self.at) * LINES_PER_SECOND, LINES)
        self.at = record.created
        if self.credit < 1:
            self.lost += 1
            return
        self.credit -= 1
        lost = f" lost_lines={self.lost}" if self.lost else ""
        try:
            os.write(2, f"{self.format(record)}{lost}\n".encode(errors="replace"))
            self.lost = 0
        except OSError:  # the reader is slow or gone; the broker is not
            self.lost += 1


def main() -> int:
    """Run until told to stop; a bad configuration ends with one line."""
    handler = Sparing()
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", "%H:%M:%S"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    path = os.environ.get(CONFIG_VARIABLE, "")
    if not path:
        print(
            f"quincepath: variable {CONFIG_VARIABLE} is missing: the path of a JSON file was expected",
            file=sys.stderr,
        )
        return 2
    try:
        with open(path, "rb") as file:
            config = read_configuration(file.read(), os.environ)
    except (OSError, ConfigError) as error:
        print(f"quincepath: {error}", file=sys.stderr)
        return 2
    loop = Loop()
    loop.on_error = lambda error: log.error("internal error", exc_info=error)
    broker: Broker | None = None
    again: Timer | None = None

    def end() -> None:
        if broker is None:  # no listener, nothing was taken
            raise SystemExit(0)
        broker.stop(loop.stop)

    def reload(times: int = REREADS) -> None:
        nonlocal again
        if broker is None:
            EARLY.append(signal.SIGHUP)
            return
        if again is not None:
            again.cancel()
        try:
            with open(path, "rb") as file:
                broker.move_discovery(read_discovery(file.read()))
        except (OSError, ConfigError) as error:
            if times == REREADS:
                log.error("SIGHUP: configuration unusable, the one before stays in force: %s", error)
            if times:  # it may be half written
                again = loop.call_in(REREAD, lambda: reload(times - 1))

    # Ahead of the listener: who has connected is owed an answer, though the loop does not run yet.
    loop.on_signals({signal.SIGTERM: end, signal.SIGINT: end, signal.SIGHUP: reload})
    try:
        broker = Broker(config, loop)
    except OSError as error:
        print(f"quincepath: listen {config.listen[0]}:{config.listen[1]}: {error.strerror}", file=sys.stderr)
        return 2
    if EARLY:  # the file may have been read before it was replaced
        reload()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GENERATIONS)
    log.info("broker %s serves on %s:%d, %s, most open %d", config.name, *config.listen, config.limits,
             config.site.max_open)  # fmt: skip
    for name, spec in zip(config.site.classes, config.settings.classes, strict=True):
        log.info("class %r: target %.3f s, deadline %.3f s", name, spec.target / 1e9, spec.deadline / 1e9)
    loop.run()
    broker.close()
    loop.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
