"""Clients of the remote read front: accepts requests and sends each try its one final answer."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from quincepath.asks.intake import AskIntake
from quincepath.asks.registry import Begin, Conflict, Join, MatchKind, ReplayAnswer, TooManyTries, Try
from quincepath.broker.dispatcher import Dispatcher, Rendered, TryAnswer
from quincepath.broker.driver import Driver
from quincepath.broker.pending import SchedulingInfo
from quincepath.broker.service.extension import Arrival, Extensions
from quincepath.fronts.remote_read.front import (
    JOINED_HEADER,
    RUN_HEADER,
    RemoteReadFront,
    Reply,
    query_name,
    text_reply,
)
from quincepath.fronts.remote_read.plan import BadRequest, Plan
from quincepath.limits.gate import Rejection
from quincepath.net.client_connection import Exchange
from quincepath.net.loop import Loop
from quincepath.observe.metrics import Metrics
from quincepath.observe.traces import TRACE_HEADER
from quincepath.orders import Ask, Finish, Verdict

if TYPE_CHECKING:
    from quincepath.broker.fair_pending import FairPendingQueue


@dataclass(slots=True)
class _OpenTry:
    """A try that has not been answered yet."""

    exchange: Exchange
    name: str


class Clients:
    """Owns the unanswered tries. ``trace_of`` returns the trace id of an ask, empty if there is none."""

    def __init__(
        self,
        front: RemoteReadFront,
        driver: Driver,
        intake: AskIntake[Reply],
        extensions: Extensions,
        loop: Loop,
        metrics: Metrics,
        log: Any,
        trace_of: Callable[[int], str],
        fair_queue: "FairPendingQueue | None" = None,
    ) -> None:
        self.front, self.gate, self.extensions, self.loop = front, intake.gate, extensions, loop
        self.metrics, self.log, self.trace_of = metrics, log, trace_of
        self.dispatcher: Dispatcher[Plan, Reply] = Dispatcher(driver, intake, self._render, fair_queue)
        self.open: dict[int, _OpenTry] = {}
        self._last_handle = 0

    def on_request(self, exchange: Exchange) -> None:
        """Handle a request that has been received in full."""
        self._last_handle += 1
        handle, now, request = self._last_handle, self.loop.now, exchange.request
        name = query_name(request, handle)
        attempt = self.front.identify(request, handle, exchange.connection.address)
        known, plan = self.dispatcher.known(now, attempt)
        ask: Ask | None = None
        if self.gate.stopping and not known:
            self._reject(exchange, self.gate.reject_with_base_delay("stopping"), name)
            return
        try:
            if not known:
                parsed = self.front.read(request, handle, name)
                if isinstance(parsed, Reply):
                    self._reply_without_ask(exchange, parsed, name)
                    return
                ask, plan = parsed
            # A known ask is not parsed again because it has a plan; only the timeout is that of this try.
            time_left = self.front.time_left(request, plan) if plan is not None else 0
        except BadRequest as error:
            self._reply_without_ask(exchange, text_reply(400, str(error)), name)
            return
        except Exception:  # a defect that one query triggers must not fail the others
            self._reply_without_ask(exchange, self._internal(name), name)
            return
        attempt = replace(attempt, deadline=now + time_left, name=name)
        worth = plan.entry.worth if plan is not None else 1.0
        arrival = Arrival(attempt, ask, plan) if ask is not None and plan is not None else None
        if arrival is not None:
            rejected = self.extensions.admit(now, arrival)
            if rejected is not None:
                self._reject(exchange, rejected, name)
                return
        info = self._scheduling_info(attempt, plan, now) if arrival is not None and plan is not None else None
        decision = self.dispatcher.arrive(now, attempt, ask, plan, worth, len(request.body), info)
        if arrival is not None and not isinstance(decision, Begin):
            self.extensions.on_not_begun(now, arrival)
        match decision:
            case Rejection():
                self._reject(exchange, decision, name)
            case Conflict():
                reply = text_reply(422, "this idempotency key was used for another request body")
                self._reply_without_ask(exchange, reply, name)
            case TooManyTries():
                self._reject(
                    exchange, self.gate.reject_with_base_delay("too many tries wait for this ask"), name
                )
            case ReplayAnswer(reply=stored):
                self._answer(exchange, stored, MatchKind.REPLAYED)
            case Join() | Begin():
                self.open[handle] = _OpenTry(exchange, name)
                exchange.on_disconnect = lambda: self._on_client_left(handle)
                if isinstance(decision, Begin):
                    self.extensions.on_ask_begun(now, decision.ask, request.headers)

    def _scheduling_info(self, attempt: Try, plan: Plan, now: int) -> SchedulingInfo | None:
        """What the fair queue needs to know of the ask; None without a queue."""
        if self.dispatcher.pending is None:
            return None
        from quincepath.limits.fair import Footprint  # loaded only with a fair queue

        cells = tuple(sorted({self.front.planner.map.cell_of_shard(part.shard) for part in plan.parts}))
        footprint = Footprint(plan.kind, len(plan.parts), cells, plan.span)
        return SchedulingInfo(attempt.scope, footprint, plan.entry.target, attempt.deadline)

    def _reply_without_ask(self, exchange: Exchange, reply: Reply, name: str) -> None:
        """Reply to a request that starts no ask."""
        if reply.verdict is None:
            self.metrics.bad_requests.labels(str(reply.status)).inc()
            self.log.info("bad request", query=name, status=reply.status, cause=reply.body.decode().strip())
        exchange.respond(reply.status, reply.headers, reply.body)

    def _answer(self, exchange: Exchange, reply: Reply, kind: MatchKind, run: str = "", ask: int = 0) -> None:
        """Send a final answer to one try; ``run`` is the name of the try whose run it shared."""
        trace = self.trace_of(ask)
        exchange.on_disconnect = None
        extra_headers = {} if kind is MatchKind.BEGAN else {JOINED_HEADER: kind.value}
        if extra_headers and run:
            extra_headers[RUN_HEADER] = run
        if trace:
            extra_headers[TRACE_HEADER] = trace
        self.metrics.tries.labels(kind.value).inc()
        exchange.respond(reply.status, {**reply.headers, **extra_headers}, reply.body)

    def _internal(self, name: str) -> Reply:
        self.metrics.internal_errors.inc()
        self.log.exception("internal error", query=name)
        return Reply(500, {"Content-Type": "text/plain"}, b"failed: internal error\n", Verdict.FAILED)

    def _reject(self, exchange: Exchange, rejected: Rejection, name: str) -> None:
        self.metrics.rejected.labels(rejected.cause).inc()
        self.log.info("request rejected", query=name, cause=rejected.cause)
        reply = self.front.refusal(f"refused: {rejected.cause}; asking again is harmless", rejected.retry_in)
        exchange.respond(reply.status, reply.headers, reply.body)

    def _on_client_left(self, handle: int) -> None:
        open_try = self.open.pop(handle, None)
        if open_try is not None:
            self.metrics.tries.labels("left").inc()
            self.log.info("client disconnected", query=open_try.name)
            self.dispatcher.client_left(self.loop.now, handle)

    def _render(self, finish: Finish, plan: Plan) -> Rendered[Reply]:
        try:
            reply = self.front.write(finish, plan)
        except Exception:  # the tries of the ask must still be answered
            reply = self._internal(f"ask {finish.handle}")
        return Rendered(reply, len(reply.body), reply.verdict or Verdict.FAILED)

    def deliver(self, answer: TryAnswer[Reply]) -> None:
        """Send a try its one final answer, or the error that its own time is up."""
        open_try = self.open.pop(answer.handle, None)
        if open_try is None:
            return
        if answer.reply is not None:
            self._answer(open_try.exchange, answer.reply, answer.kind, answer.run, answer.ask)
            return
        open_try.exchange.on_disconnect = None
        self.metrics.tries.labels("time up").inc()
        open_try.exchange.text(504, "failed: time is up")
