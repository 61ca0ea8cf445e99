"""Metrics and log lines of attempts and answers, and the monitor of the process's memory."""

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

MEMORY_POLL_NS = 250_000_000
PAGE_TYPE = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}


def answer_label(ended: AskEnded[Plan, Reply]) -> str:
    """The metric label of how an ask ended: left, whole, partial, refused or failed."""
    finish, reply = ended.finish, ended.reply
    if finish is None or reply is None:
        return "left"
    if reply.verdict is Verdict.ANSWERED:
        return "whole" if finish.whole else "partial"
    return reply.verdict.value if reply.verdict else "failed"


class Telemetry:
    """Metrics and log lines. ``trace_of`` returns the trace id of an ask, empty if there is none."""

    def __init__(self, metrics: Metrics, log: Any, trace_of: Callable[[int], str]) -> None:
        self.metrics, self.log, self.trace_of = metrics, log, trace_of

    def record_attempt(self, part: OpenPart, item: AttemptEnded, name: str) -> None:
        """Record the end of an attempt at the named holder."""
        self.metrics.attempts.labels(name, item.result.name.lower()).inc()
        if item.cause and item.result.name not in ("CANCELLED",):
            self.log.debug(
                "attempt failed", query=part.query.ask.name, part=part.ask.shard, attempt=item.attempt,
                node=name, outcome=item.result.name, cause=item.cause,
            )  # fmt: skip

    def record_ask(self, ended: AskEnded[Plan, Reply]) -> None:
        """Record the end of an ask."""
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
    """Resident memory of this process, in bytes."""
    return int(psutil.Process().memory_info().rss)


class MemoryWatch:
    """Samples the resident memory of the process and reports changes of pressure to ``on_pressure``.

    It keeps sampling for as long as ``serving`` returns True.
    """

    def __init__(
        self,
        limit_bytes: int,
        loop: Loop,
        metrics: Metrics,
        log: Any,
        on_pressure: Callable[[Pressure], None],
        serving: Callable[[], bool],
    ) -> None:
        self.monitor = MemoryPressureMonitor(limit_bytes)
        self.resident: Callable[[], int] = loop.system.resident_bytes or _resident_bytes
        self.loop, self.metrics, self.log, self.on_pressure = loop, metrics, log, on_pressure
        self.serving = serving

    def sample(self) -> None:
        """Take a sample now and schedule the next one."""
        if self.serving():
            self.loop.call_in(MEMORY_POLL_NS, self.sample)
        try:
            resident = self.resident()
        except (OSError, psutil.Error):  # out of file descriptors: the size is read from a file
            return
        self.metrics.resident_bytes.set(resident)
        before = self.monitor.pressure
        pressure = self.monitor.sample(resident)
        if pressure is not before:
            self.log.warning("memory pressure changed", was=before.name, now=pressure.name, bytes=resident)
            self.on_pressure(pressure)
