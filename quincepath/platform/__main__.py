"""``python -m quincepath.platform``: runs one broker in the foreground until SIGTERM."""

import os
import signal
from types import FrameType

EARLY_HANGUPS: list[int] = []  # SIGHUPs received before the broker existed


def _on_early_signal(number: int, _: FrameType | None) -> None:
    """Handle signals until the loop does: without a listener no request was accepted, so exiting is safe."""
    if number != signal.SIGHUP:
        os._exit(0)
    EARLY_HANGUPS.append(number)


if __name__ == "__main__":
    # Before the other imports, which are slow: by default these signals would end the process.
    for name in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(name, _on_early_signal)

import gc
import logging
import sys
from logging import LogRecord

from quincepath.net.loop import Loop, Timer
from quincepath.platform.config import CONFIG_VARIABLE, ConfigError, read_configuration, read_discovery
from quincepath.platform.service import Broker

REREAD_INTERVAL_NS = 250_000_000  # until an unusable configuration file is read again
MAX_REREADS = 12
LOG_BURST_LINES = 200  # token bucket of the log: its size, and the rate at which it refills
LOG_LINES_PER_SECOND = 5.0
# Few young collections, and a full one whenever objects that outlived two young ones are a quarter of all. A
# full one takes only some ms: objects that live as long as the process are frozen. Queries and their parts
# reference each other: a few are always open during a young collection, and only a full one frees those.
GC_THRESHOLDS = (5000, 10, 2)
log = logging.getLogger("quincepath")


class NonBlockingHandler(logging.Handler):
    """Logs to standard error without waiting for its reader; counts lines over the rate or not written."""

    def __init__(self) -> None:
        super().__init__()
        self.credit, self.refilled_at, self.lost = float(LOG_BURST_LINES), 0.0, 0
        os.set_blocking(2, False)

    def emit(self, record: LogRecord) -> None:
        """Write one line, or count it as lost."""
        self.credit = min(
            self.credit + (record.created - self.refilled_at) * LOG_LINES_PER_SECOND, LOG_BURST_LINES
        )
        self.refilled_at = record.created
        if self.credit < 1:
            self.lost += 1
            return
        self.credit -= 1
        lost = f" lost_lines={self.lost}" if self.lost else ""
        try:
            os.write(2, f"{self.format(record)}{lost}\n".encode(errors="replace"))
            self.lost = 0
        except OSError:  # the reader is slow or gone; the broker goes on
            self.lost += 1


def main() -> int:
    """Run until a stop signal; a bad configuration ends the process with a one-line message."""
    handler = NonBlockingHandler()
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
    reread_timer: Timer | None = None

    def stop() -> None:
        if broker is None:  # no listener yet, so no request was accepted
            raise SystemExit(0)
        broker.stop(loop.stop)

    def reload(rereads_left: int = MAX_REREADS) -> None:
        nonlocal reread_timer
        if broker is None:
            EARLY_HANGUPS.append(signal.SIGHUP)
            return
        if reread_timer is not None:
            reread_timer.cancel()
        try:
            with open(path, "rb") as file:
                broker.move_discovery(read_discovery(file.read()))
        except (OSError, ConfigError) as error:
            if rereads_left == MAX_REREADS:
                log.error("SIGHUP: configuration is unusable, the previous one stays in force: %s", error)
            if rereads_left:  # the file may be half written
                reread_timer = loop.call_in(REREAD_INTERVAL_NS, lambda: reload(rereads_left - 1))

    # Before the listener opens: a connected client must be answered, even if the loop does not run yet.
    loop.on_signals({signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload})
    try:
        broker = Broker(config, loop)
    except OSError as error:
        print(f"quincepath: listen {config.listen[0]}:{config.listen[1]}: {error.strerror}", file=sys.stderr)
        return 2
    if EARLY_HANGUPS:  # the file may have been read before it was replaced
        reload()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    log.info("broker %s serves on %s:%d, %s, at most %d open", config.name, *config.listen, config.limits,
             config.site.max_open)  # fmt: skip
    for name, spec in zip(config.site.classes, config.settings.classes, strict=True):
        log.info("class %r: target %.3f s, deadline %.3f s", name, spec.target / 1e9, spec.deadline / 1e9)
    loop.run()
    broker.close()
    loop.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
