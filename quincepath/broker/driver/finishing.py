"""The final answer of a query as an order, and the cause of one that is not an answer. Pure."""

from quincepath.broker.driver.state import OpenQuery
from quincepath.orders import Finish, Verdict

TIME_UP_TICKS = 3  # a query that ends so close to its deadline has run out of time


def finish_order(query: OpenQuery, verdict: Verdict, retry_in: int, cause: str, now: int) -> Finish:
    """The order for the one final answer."""
    answered = verdict is Verdict.ANSWERED
    parts = [part for part in query.parts if part.ok]
    return Finish(
        handle=query.ask.handle,
        verdict=verdict,
        whole=answered and query.whole,
        parts_in=len(parts),
        parts_asked=len(query.parts),
        bodies=tuple((p.step, p.ask.shard, p.body) for p in parts) if answered else (),
        retry_in=retry_in,
        cause=cause,
        attempts=query.sent,
        took=now - query.began,
    )


def failure_cause(query: OpenQuery, now: int, tick: int) -> str:
    """Why a query that the module gives up gets no answer; ``tick`` is the time between two batches."""
    if now >= query.deadline - TIME_UP_TICKS * tick:
        return "time is up"
    if not query.sent:
        return "not expected to finish in time"
    return "needed parts cannot be had"
