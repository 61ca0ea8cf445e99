"""Traces as an extension of the broker: spans of asks and of their attempts."""

from collections.abc import Callable, Mapping
from pathlib import Path

from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.driver import OpenPart
from quincepath.broker.service.extension import Extension
from quincepath.broker.service.telemetry import answer_label
from quincepath.config.schema import Config
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.interface import NodeId
from quincepath.net.loop import Loop
from quincepath.observe.traces import Traces
from quincepath.orders import AttemptEnded, StartCall


def open_traces(config: Config, base: Path, seed: int, loop: Loop) -> Traces | None:
    """Open the trace file named by the configuration; None if it names none."""
    if config.traces.file is None:
        return None
    started = loop.system.wall_ns() - loop.clock()
    path = base / config.traces.file
    return Traces(path, config.traces.share, seed, config.broker.number, lambda at: started + at)


class TracingExtension(Extension):
    """Writes spans; ``name`` returns the name of a holder."""

    def __init__(self, traces: Traces, name: Callable[[NodeId], str]) -> None:
        self.traces, self.name = traces, name

    def on_ask_begun(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        """Start the span of an ask."""
        self.traces.begin(ask, now, headers)

    def on_call_sent(self, now: int, order: StartCall) -> None:
        """Start the spans of the attempts of a call."""
        name = self.name(order.node)
        for attempt in order.attempts:
            self.traces.attempt_sent(
                attempt.ask, attempt.part, attempt.attempt, attempt.shard, attempt.step, name, now
            )

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        """End the span of an attempt."""
        outcome = item.result.name.lower()
        self.traces.attempt_ended(part.query.ask.handle, item.part, item.attempt, outcome, item.cause, now)

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        """End the span of an ask."""
        finish, entry = ended.finish, ended.context.entry
        attributes: dict[str, str | int] = {"class": entry.name}
        late = False
        if finish is not None:
            late = finish.took > entry.target
            attributes |= {
                "cause": finish.cause, "tries": ended.tries,
                "parts_in": finish.parts_in, "parts_asked": finish.parts_asked,
            }  # fmt: skip
        self.traces.end(ended.ask, now, ended.name, answer_label(ended), late, attributes)

    def close(self) -> None:
        """Close the trace file."""
        self.traces.close()
