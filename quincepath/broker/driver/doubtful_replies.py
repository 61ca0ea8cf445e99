"""Parts that a reply may have answered: nothing of them starts while it is checked, or long after it. Pure.

A reply is in doubt when the bytes around it leave open whether it is whole. The node may count it as the
part's answer, so an attempt that starts long after it could follow the answer of a finished part.
"""

from quincepath.broker.driver.state import Attempt, OpenPart
from quincepath.orders import AttemptSendDeadline

# A further attempt may start for so long (ns) after a doubtful reply.
RETRY_TIME_NS = 80_000_000


def hold(part: OpenPart, number: int, now: int) -> list[AttemptSendDeadline]:
    """A whole reply to this attempt is being checked from now on."""
    attempt = part.attempts[number]
    attempt.held_at = now
    return limit_queued(part, _retry_by(attempt, now))


def limit_retries(part: OpenPart, attempt: Attempt, now: int) -> list[AttemptSendDeadline]:
    """The reply to this attempt was doubtful: ``part.retry_by`` limits further ones."""
    part.retry_by = min(part.retry_by, _retry_by(attempt, now))
    return limit_queued(part, part.retry_by)


def limit_queued(part: OpenPart, at: int) -> list[AttemptSendDeadline]:
    """Limits for the attempts that may still wait in the I/O layer."""
    return [
        AttemptSendDeadline(part.id, number, at)
        for number, attempt in enumerate(part.attempts)
        if not attempt.ended and attempt.held_at is None
    ]


def _retry_by(attempt: Attempt, now: int) -> int:
    return (now if attempt.held_at is None else attempt.held_at) + RETRY_TIME_NS
