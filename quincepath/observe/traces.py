"""Traces by OpenTelemetry: a span an ask, one an attempt beneath it, written to a file as JSON lines.

Spans are made when an ask has ended, from what was noted on the way, so that it is known by then which are
worth keeping: failed, refused, partial and late ones always, of the others a share by trace id. A client's
``traceparent`` is taken up: its trace goes on here, and what it samples is kept.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import (
    SpanContext,
    SpanKind,
    Status,
    StatusCode,
    get_current_span,
    set_span_in_context,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator
from opentelemetry.trace.span import NonRecordingSpan, format_trace_id

PARENT_HEADER = "traceparent"
TRACE_HEADER = "Quincepath-Trace"
MOST_ATTEMPTS = 512  # noted of one ask; more are only counted


class _Ids(IdGenerator):
    """Ids from a seeded source of this broker's own."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.trace = 0  # of the next span without a parent

    def generate_span_id(self) -> int:
        return self._random.getrandbits(64) or 1

    def generate_trace_id(self) -> int:
        known, self.trace = self.trace, 0
        return known or self._random.getrandbits(128) or 1


@dataclass(slots=True)
class _Attempt:
    shard: int
    step: int
    number: int
    node: str
    begin: int
    end: int | None = None
    outcome: str = "stopped"
    cause: str = ""


@dataclass(slots=True)
class _Noted:
    trace: int
    parent: SpanContext | None
    begin: int
    attempts: dict[tuple[int, int], _Attempt] = field(default_factory=dict)
    more: int = 0


class Traces:
    """One a broker. ``wall`` gives ns since the epoch of a time of the broker's own clock."""

    def __init__(self, path: Path, share: float, seed: int, broker: int, wall: Callable[[int], int]) -> None:
        self.share, self._wall, self._ids = share, wall, _Ids(seed)
        self._file = path.open("a", encoding="utf-8")
        exporter = ConsoleSpanExporter(out=self._file, formatter=_line)
        resource = Resource.create({"service.name": "quincepath", "service.instance.id": str(broker)})
        self._provider = TracerProvider(ALWAYS_ON, resource, id_generator=self._ids)
        self._provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("quincepath")
        self._open: dict[int, _Noted] = {}
        self.kept = self.dropped = 0

    def begin(self, ask: int, now: int, headers: Mapping[str, str]) -> str:
        """An ask has begun; the trace's id, for logs and the reply."""
        found = get_current_span(TraceContextTextMapPropagator().extract(dict(headers))).get_span_context()
        parent = found if found.is_valid else None
        trace = parent.trace_id if parent else self._ids.generate_trace_id()
        self._open[ask] = _Noted(trace, parent, now)
        return format_trace_id(trace)

    def trace_id(self, ask: int) -> str:
        """The trace's id of an open ask; empty where there is none."""
        noted = self._open.get(ask)
        return format_trace_id(noted.trace) if noted else ""

    def attempt_sent(
        self, ask: int, part: int, attempt: int, shard: int, step: int, node: str, now: int
    ) -> None:
        """An attempt went out."""
        if ask not in self._open:
            self.begin(ask, now, {})  # a run that began without a request of its own
        noted = self._open[ask]
        if len(noted.attempts) >= MOST_ATTEMPTS:
            noted.more += 1
        else:
            noted.attempts[part, attempt] = _Attempt(shard, step, attempt, node, now)

    def attempt_ended(self, ask: int, part: int, attempt: int, outcome: str, cause: str, now: int) -> None:
        """An attempt ended."""
        noted = self._open.get(ask)
        known = noted.attempts.get((part, attempt)) if noted else None
        if known is not None:
            known.end, known.outcome, known.cause = now, outcome, cause

    def end(
        self, ask: int, now: int, name: str, answer: str, late: bool, values: Mapping[str, str | int]
    ) -> None:
        """An ask is over: its spans are written, or dropped. ``late``: past its class's target."""
        noted = self._open.pop(ask, None)
        if noted is None:
            return
        if answer == "whole" and not late and not self._sampled(noted):
            self.dropped += 1
            return
        self.kept += 1
        self._ids.trace = 0 if noted.parent else noted.trace  # the one that logs and the reply have told
        above = set_span_in_context(NonRecordingSpan(noted.parent)) if noted.parent else None
        span = self._tracer.start_span(
            "ask", above, SpanKind.SERVER, {"query": name, "answer": answer, "late": late, **values},
            start_time=self._wall(noted.begin),
        )  # fmt: skip
        inner = set_span_in_context(span)
        for one in noted.attempts.values():
            child = self._tracer.start_span(
                "attempt", inner, SpanKind.CLIENT,
                {"shard": one.shard, "step": one.step, "attempt": one.number, "node": one.node,
                 "outcome": one.outcome, "cause": one.cause},
                start_time=self._wall(one.begin),
            )  # fmt: skip
            if one.outcome not in ("ok", "stopped", "cancelled"):
                child.set_status(Status(StatusCode.ERROR, one.cause or one.outcome))
            child.end(self._wall(one.end if one.end is not None else now))
        if noted.more:
            span.set_attribute("attempts_not_shown", noted.more)
        if answer not in ("whole", "partial"):
            span.set_status(Status(StatusCode.ERROR, answer))
        span.end(self._wall(now))

    def _sampled(self, noted: _Noted) -> bool:
        if noted.parent is not None and noted.parent.trace_flags.sampled:
            return True
        return (noted.trace & (2**64 - 1)) / 2**64 < self.share

    def close(self) -> None:
        """Write what is left and close the file."""
        self._provider.shutdown()
        self._file.close()


def _line(span: ReadableSpan) -> str:
    return f"{span.to_json(indent=None)}\n"
