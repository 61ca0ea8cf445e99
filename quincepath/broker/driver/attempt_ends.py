"""What the I/O layer reports of attempts: their ends, and replies that are checked or come late. Pure."""

from collections import Counter

from quincepath.broker.driver import doubtful_replies
from quincepath.broker.driver.rules import PROVED_UNRUN
from quincepath.broker.driver.state import Attempt, OpenPart
from quincepath.interface import Event, LateAnswer, Outcome, ReplyPending, Result, RetryDeadline
from quincepath.orders import AttemptEnded, Breach, LateReply, Order, ReplyHeld


class AttemptEnds:
    """The parts that are tracked, and the inputs about their attempts; the base of the driver."""

    def __init__(self) -> None:
        self.now = 0
        self.breaches: Counter[str] = Counter()
        self.parts: dict[int, OpenPart] = {}
        self._orders: list[Order] = []
        self._finished_parts: list[int] = []  # ids, removed at the end of this step
        self._withdrawn: list[tuple[OpenPart, int]] = []  # open attempts of parts that ended now

    def _attempt_ended(self, item: AttemptEnded, events: list[Event]) -> None:
        part = self.parts.get(item.part)
        if part is None or item.attempt >= len(part.attempts) or part.attempts[item.attempt].ended:
            self._record_breach(
                "ending_unknown", f"part {item.part} attempt {item.attempt}: {item.result.name}"
            )
            return
        attempt = part.attempts[item.attempt]
        attempt.ended, attempt.never_ran = True, item.result in PROVED_UNRUN
        attempt.cause = item.cause or item.result.name
        query = part.query
        if item.result is Result.OK and not part.ok and not query.over:
            part.ok, part.body = True, item.body  # a duplicate's answer never replaces the first
            self._withdraw(part)
        if item.doubtful and not part.ok:
            self._limit_retries(part, attempt, events)
        final = item.result is Result.OK or query.over or self.now >= query.deadline
        elapsed = self.now - attempt.sent
        events.append(Outcome(part.id, item.attempt, attempt.node, item.result, elapsed, final, item.report))
        if query.over and not part.in_flight():
            self._finished_parts.append(part.id)

    def _reply_held(self, item: ReplyHeld, events: list[Event]) -> None:
        """A whole reply is being checked: the module sends nothing more of its part meanwhile."""
        part = self.parts.get(item.part)
        if part is None or part.ok or part.attempts[item.attempt].ended:
            return
        self._orders.extend(doubtful_replies.hold(part, item.attempt, self.now))
        events.append(ReplyPending(item.part, item.attempt))

    def _late_reply(self, item: LateReply, events: list[Event]) -> None:
        """The node had answered when the attempt timed out: its part is in, or may be if that is doubtful."""
        part = self.parts.get(item.part)
        if part is None or part.ok or part.query.over or part.step != part.query.step:
            return
        if item.body is None:
            self._limit_retries(part, part.attempts[item.attempt], events)
            return
        part.ok, part.body = True, item.body
        self._withdraw(part)
        events.append(LateAnswer(part.id, item.attempt))

    def _limit_retries(self, part: OpenPart, attempt: Attempt, events: list[Event]) -> None:
        self._orders.extend(doubtful_replies.limit_retries(part, attempt, self.now))
        events.append(RetryDeadline(part.id, part.retry_by))

    def _withdraw(self, part: OpenPart) -> None:
        """The part is no longer needed: attempts of it that still wait in the I/O layer must not be sent.

        This also applies where brokers may not cancel, because nothing is recalled that a node may have.
        """
        self._withdrawn.extend((part, at) for at, attempt in enumerate(part.attempts) if not attempt.ended)

    def _record_breach(self, name: str, detail: str) -> None:
        self.breaches[name] += 1
        self._orders.append(Breach(name, detail))
