"""What people see of the broker: counts and log lines of attempts and answers, and how full its memory is."""

from collections.abc import Callable
from typing import Any

import psutil

from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.driver import OpenPart
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.limits.memory import MemoryPressureMonitor, Pressure
from quincepath.net.loop import Loop
from quincepath.observe.metrics import Metrics
from quincepath.orders import AttemptEnded, Verdict

MEMORY_POLL = 250_000_000  # ns
PAGE_TYPE = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}


def answer_label(ended: AskEnded[Plan, Reply]) -> str:
    """How an ask ended, in one word: left, whole, partial, refused or failed."""
    finish, reply = ended.finish, ended.reply
    if finish is None or reply is None:
        return "left"
    if reply.verdict is Verdict.ANSWERED:
        return "whole" if finish.whole else "partial"
    return reply.verdict.value if reply.verdict else "failed"


class Telemetry:
    """Counts and lines. ``trace_of`` gives the id of an ask's trace, empty where there is none."""

    def __init__(self, metrics: Metrics, log: Any, trace_of: Callable[[int], str]) -> None:
        self.metrics, self.log, self.trace_of = metrics, log, trace_of

    def record_attempt(self, part: OpenPart, item: AttemptEnded, name: str) -> None:
        """An attempt at the holder of this name ended."""
        self.metrics.attempts.labels(name, item.result.name.lower()).inc()
        if item.cause and item.result.name not in ("CANCELLED",):
            self.log.debug(
                "attempt ended badly", query=part.query.ask.name, part=part.ask.shard, attempt=item.attempt,
                node=name, outcome=item.result.name, cause=item.cause,
            )  # fmt: skip

    def record_ask(self, ended: AskEnded[Plan, Reply]) -> None:
        """An ask is over."""
        kind, finish, reply = ended.context.entry.name, ended.finish, ended.reply
        answer = answer_label(ended)
        self.metrics.answers.labels(kind, answer).inc()
        if finish is None or reply is None:
            return
        self.metrics.query_seconds.labels(kind).observe(finish.took / 1e9)
        if reply.stats is not None:
            self.metrics.duplicates.inc(reply.stats.duplicates)
            self.metrics.conflicts.inc(reply.stats.conflicts)
        trace = self.trace_of(ended.ask)
        self.log.info(
            "final answer", query=ended.name, answer=answer, tries=ended.tries,
            parts=f"{finish.parts_in}/{finish.parts_asked}",
            attempts=finish.attempts, ms=round(finish.took / 1e6, 1), cause=finish.cause, status=reply.status,
            **{"class": kind, **({"trace": trace} if trace else {})},
        )  # fmt: skip


def _resident_bytes() -> int:
    """What this process holds."""
    return int(psutil.Process().memory_info().rss)


class MemoryWatch:
    """Tells the monitor how much the process holds; the size comes from the system. ``press`` hears changes.

    It looks again for as long as ``serving`` says so.
    """

    def __init__(
        self,
        most: int,
        loop: Loop,
        metrics: Metrics,
        log: Any,
        press: Callable[[Pressure], None],
        serving: Callable[[], bool],
    ) -> None:
        self.monitor = MemoryPressureMonitor(most)
        self.resident: Callable[[], int] = loop.system.resident_bytes or _resident_bytes
        self.loop, self.metrics, self.log, self.press = loop, metrics, log, press
        self.serving = serving

    def sample(self) -> None:
        """Now, and again and again."""
        if self.serving():
            self.loop.call_in(MEMORY_POLL, self.sample)
        try:
            resident = self.resident()
        except (OSError, psutil.Error):  # out of descriptors: the size is read from a file
            return
        self.metrics.resident_bytes.set(resident)
        before = self.monitor.pressure
        found = self.monitor.sample(resident)
        if found is not before:
            self.log.warning("memory pressure", was=before.name, now=found.name, bytes=resident)
            self.press(found)
