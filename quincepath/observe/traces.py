"""Traces by OpenTelemetry: a span per ask with a child span per attempt, written to a file as JSON lines.

Tail sampling: spans are created when an ask has ended, from events recorded meanwhile, because only then it
is known which to keep. Failed, refused, partial and late asks are always kept, a share of the others by
trace id. A client's ``traceparent`` is continued, and traces that it samples are kept.
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
MAX_ATTEMPTS = 512  # recorded per ask; further ones are only counted


class _SeededIds(IdGenerator):
    """Span and trace ids from a random source seeded per broker."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.next_trace = 0  # id for the next span without a parent; 0: draw one

    def generate_span_id(self) -> int:
        return self._random.getrandbits(64) or 1

    def generate_trace_id(self) -> int:
        preset, self.next_trace = self.next_trace, 0
        return preset or self._random.getrandbits(128) or 1


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
class _OpenTrace:
    trace: int
    parent: SpanContext | None
    begin: int
    attempts: dict[tuple[int, int], _Attempt] = field(default_factory=dict)
    not_recorded: int = 0


class Traces:
    """The traces of one broker. ``wall`` converts a time of the broker's clock to ns since the epoch."""

    def __init__(self, path: Path, share: float, seed: int, broker: int, wall: Callable[[int], int]) -> None:
        self.share, self._wall, self._ids = share, wall, _SeededIds(seed)
        self._file = path.open("a", encoding="utf-8")
        exporter = ConsoleSpanExporter(out=self._file, formatter=_line)
        resource = Resource.create({"service.name": "quincepath", "service.instance.id": str(broker)})
        self._provider = TracerProvider(ALWAYS_ON, resource, id_generator=self._ids)
        self._provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("quincepath")
        self._open: dict[int, _OpenTrace] = {}
        self.kept = self.dropped = 0

    def begin(self, ask: int, now: int, headers: Mapping[str, str]) -> str:
        """Open the trace of an ask; returns its id for logs and the reply."""
        context = get_current_span(TraceContextTextMapPropagator().extract(dict(headers))).get_span_context()
        parent = context if context.is_valid else None
        trace = parent.trace_id if parent else self._ids.generate_trace_id()
        self._open[ask] = _OpenTrace(trace, parent, now)
        return format_trace_id(trace)

    def trace_id(self, ask: int) -> str:
        """The trace id of an open ask; empty if there is none."""
        open_trace = self._open.get(ask)
        return format_trace_id(open_trace.trace) if open_trace else ""

    def attempt_sent(
        self, ask: int, part: int, attempt: int, shard: int, step: int, node: str, now: int
    ) -> None:
        """Record that an attempt was sent."""
        if ask not in self._open:
            self.begin(ask, now, {})  # a run that started without a client request
        open_trace = self._open[ask]
        if len(open_trace.attempts) >= MAX_ATTEMPTS:
            open_trace.not_recorded += 1
        else:
            open_trace.attempts[part, attempt] = _Attempt(shard, step, attempt, node, now)

    def attempt_ended(self, ask: int, part: int, attempt: int, outcome: str, cause: str, now: int) -> None:
        """Record the end of an attempt."""
        open_trace = self._open.get(ask)
        record = open_trace.attempts.get((part, attempt)) if open_trace else None
        if record is not None:
            record.end, record.outcome, record.cause = now, outcome, cause

    def end(
        self, ask: int, now: int, name: str, answer: str, late: bool, values: Mapping[str, str | int]
    ) -> None:
        """Close the trace of an ask: write or drop its spans. ``late``: past the target of its class."""
        open_trace = self._open.pop(ask, None)
        if open_trace is None:
            return
        if answer == "whole" and not late and not self._sampled(open_trace):
            self.dropped += 1
            return
        self.kept += 1
        # The id given in logs and the reply; with a parent the span takes the parent's.
        self._ids.next_trace = 0 if open_trace.parent else open_trace.trace
        outer = set_span_in_context(NonRecordingSpan(open_trace.parent)) if open_trace.parent else None
        span = self._tracer.start_span(
            "ask", outer, SpanKind.SERVER, {"query": name, "answer": answer, "late": late, **values},
            start_time=self._wall(open_trace.begin),
        )  # fmt: skip
        inner = set_span_in_context(span)
        for record in open_trace.attempts.values():
            child = self._tracer.start_span(
                "attempt", inner, SpanKind.CLIENT,
                {"shard": record.shard, "step": record.step, "attempt": record.number, "node": record.node,
                 "outcome": record.outcome, "cause": record.cause},
                start_time=self._wall(record.begin),
            )  # fmt: skip
            if record.outcome not in ("ok", "stopped", "cancelled"):
                child.set_status(Status(StatusCode.ERROR, record.cause or record.outcome))
            child.end(self._wall(record.end if record.end is not None else now))
        if open_trace.not_recorded:
            span.set_attribute("attempts_not_shown", open_trace.not_recorded)
        if answer not in ("whole", "partial"):
            span.set_status(Status(StatusCode.ERROR, answer))
        span.end(self._wall(now))

    def _sampled(self, open_trace: _OpenTrace) -> bool:
        if open_trace.parent is not None and open_trace.parent.trace_flags.sampled:
            return True
        return (open_trace.trace & (2**64 - 1)) / 2**64 < self.share

    def close(self) -> None:
        """Flush the exporter and close the file."""
        self._provider.shutdown()
        self._file.close()


def _line(span: ReadableSpan) -> str:
    return f"{span.to_json(indent=None)}\n"
