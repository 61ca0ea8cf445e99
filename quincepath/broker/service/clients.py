"""Clients of the remote read front: requests in, the one final answer of each try out."""

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
from quincepath.net.loop import Loop
from quincepath.net.server import Exchange
from quincepath.observe.metrics import Metrics
from quincepath.observe.traces import TRACE_HEADER
from quincepath.orders import Ask, Finish, Verdict

if TYPE_CHECKING:
    from quincepath.broker.fair_pending import FairPendingQueue


@dataclass(slots=True)
class _Open:
    """A try that is owed an answer."""

    exchange: Exchange
    name: str


class Clients:
    """Owns the tries that are owed an answer. ``trace_of`` gives the id of an ask's trace, or nothing."""

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
        self.open: dict[int, _Open] = {}
        self._handles = 0

    def on_request(self, exchange: Exchange) -> None:
        """A request came in whole."""
        self._handles += 1
        handle, now, request = self._handles, self.loop.now, exchange.request
        name = query_name(request, handle)
        attempt = self.front.identify(request, handle, exchange.connection.address)
        known, plan = self.dispatcher.known(now, attempt)
        ask: Ask | None = None
        if self.gate.stopping and not known:
            self._reject(exchange, self.gate.reject_with_base_delay("stopping"), name)
            return
        try:
            if not known:
                found = self.front.read(request, handle, name)
                if isinstance(found, Reply):
                    self._at_once(exchange, found, name)
                    return
                ask, plan = found
            # A known ask's bytes have been read and planned already; only the client's time is its own.
            time_left = self.front.time_left(request, plan) if plan is not None else 0
        except BadRequest as error:
            self._at_once(exchange, text_reply(400, str(error)), name)
            return
        except Exception:  # guards the other queries against one that meets a fault of this program
            self._at_once(exchange, self._internal(name), name)
            return
        attempt = replace(attempt, deadline=now + time_left, name=name)
        worth = plan.entry.worth if plan is not None else 1.0
        arrival = Arrival(attempt, ask, plan) if ask is not None and plan is not None else None
        if arrival is not None:
            away = self.extensions.admit(now, arrival)
            if away is not None:
                self._reject(exchange, away, name)
                return
        turn = self._turn(attempt, plan, now) if arrival is not None and plan is not None else None
        decision = self.dispatcher.arrive(now, attempt, ask, plan, worth, len(request.body), turn)
        if arrival is not None and not isinstance(decision, Begin):
            self.extensions.on_not_begun(now, arrival)
        match decision:
            case Rejection():
                self._reject(exchange, decision, name)
            case Conflict():
                reply = text_reply(422, "this idempotency key was used for another request body")
                self._at_once(exchange, reply, name)
            case TooManyTries():
                self._reject(
                    exchange, self.gate.reject_with_base_delay("too many tries wait for this ask"), name
                )
            case ReplayAnswer(reply=said):
                self._answer(exchange, said, MatchKind.REPLAYED)
            case Join() | Begin():
                self.open[handle] = _Open(exchange, name)
                exchange.on_disconnect = lambda: self._left(handle)
                if isinstance(decision, Begin):
                    self.extensions.on_ask_begun(now, decision.ask, request.headers)

    def _turn(self, attempt: Try, plan: Plan, now: int) -> SchedulingInfo | None:
        """What a fair_queue to wait in has to know."""
        if self.dispatcher.pending is None:
            return None
        from quincepath.limits.fair import Footprint  # loaded with such a fair_queue only

        cells = tuple(sorted({self.front.planner.map.cell_of_shard(part.shard) for part in plan.parts}))
        footprint = Footprint(plan.kind, len(plan.parts), cells, plan.span)
        return SchedulingInfo(attempt.scope, footprint, plan.entry.target, attempt.deadline)

    def _at_once(self, exchange: Exchange, reply: Reply, name: str) -> None:
        """The reply to a request that becomes no ask."""
        if reply.verdict is None:
            self.metrics.bad_requests.labels(str(reply.status)).inc()
            self.log.info("bad request", query=name, status=reply.status, cause=reply.body.decode().strip())
        exchange.respond(reply.status, reply.headers, reply.body)

    def _answer(self, exchange: Exchange, reply: Reply, how: MatchKind, run: str = "", ask: int = 0) -> None:
        """Send a final answer to one try; ``run`` is the name of the try whose run it shares."""
        trace = self.trace_of(ask)
        exchange.on_disconnect = None
        joined = {} if how is MatchKind.BEGAN else {JOINED_HEADER: how.value}
        if joined and run:
            joined[RUN_HEADER] = run
        if trace:
            joined[TRACE_HEADER] = trace
        self.metrics.tries.labels(how.value).inc()
        exchange.respond(reply.status, {**reply.headers, **joined}, reply.body)

    def _internal(self, name: str) -> Reply:
        self.metrics.internal_errors.inc()
        self.log.exception("internal error", query=name)
        return Reply(500, {"Content-Type": "text/plain"}, b"failed: internal error\n", Verdict.FAILED)

    def _reject(self, exchange: Exchange, away: Rejection, name: str) -> None:
        self.metrics.rejected.labels(away.cause).inc()
        self.log.info("turned away", query=name, cause=away.cause)
        reply = self.front.refusal(f"refused: {away.cause}; asking again is harmless", away.retry_in)
        exchange.respond(reply.status, reply.headers, reply.body)

    def _left(self, handle: int) -> None:
        held = self.open.pop(handle, None)
        if held is not None:
            self.metrics.tries.labels("left").inc()
            self.log.info("client left", query=held.name)
            self.dispatcher.client_left(self.loop.now, handle)

    def _render(self, finish: Finish, plan: Plan) -> Rendered[Reply]:
        try:
            reply = self.front.write(finish, plan)
        except Exception:  # the ask's tries are still owed their answers
            reply = self._internal(f"ask {finish.handle}")
        return Rendered(reply, len(reply.body), reply.verdict or Verdict.FAILED)

    def deliver(self, owed: TryAnswer[Reply]) -> None:
        """The one final answer of a try, or that its own time is up."""
        held = self.open.pop(owed.handle, None)
        if held is None:
            return
        if owed.reply is not None:
            self._answer(held.exchange, owed.reply, owed.kind, owed.run, owed.ask)
            return
        held.exchange.on_disconnect = None
        self.metrics.tries.labels("time up").inc()
        held.exchange.text(504, "failed: time is up")
