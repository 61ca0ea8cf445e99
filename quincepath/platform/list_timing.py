"""Time limits for fetching the node list, whether discovery is a local agent or a shared service. Pure.

What discovery has, once it can be reached, counts as known to the broker ``UPDATE_DEADLINE_NS`` later,
whatever happened to the calls before. A call is a single attempt: connect, send the request, wait if it is a
watch, read the whole response, all within one time limit. Each sum in ``WORST_CASES_NS`` is the longest time
from the moment at which discovery has an update and can be reached until the broker holds that update.
"""

MS = 1_000_000
UPDATE_DEADLINE_NS = 6000 * MS  # the acceptance test counts what discovery has as known this long after
MOVE_DEADLINE_NS = 4000 * MS  # the same for the list at the new address after SIGHUP
MARGIN_NS = 500 * MS  # for a process that gets little of its core, and for the loop's whole milliseconds
# How long a watch may be held open, in ms: a watch that fell silent hides all updates until its time is over.
PUSH_WATCH_MS = 1_000  # with the agent on this machine, whose responses cost nothing
# In pull mode every call goes to a service that all brokers share, so a watch is as long as the sum allows.
# With 4,000 ms and a second for each response, one lost call and one more failure added up to 7.4 s.
PULL_WATCH_MS = 3_700
# After a failed call only the changes are wanted, and a response without any shows that the watch works
# again. Held open for the whole watch time, a call that is lost in its turn would cost that time once more.
RETRY_WATCH_MS = 10
RESPONSE_TIMEOUT_NS = 500 * MS  # for connecting and the whole response, beyond the watch time
# Used after this many consecutive failures, so that a slow response is received in the end. No longer than
# the earlier fixed limit of each call: a call lost as discovery comes back hides the update for that time.
SLOW_RESPONSE_TIMEOUT_NS = 1000 * MS
SLOW_AFTER_FAILURES = 3
# A call without a response in time is kept open this long beyond its watch time: the response may be slow.
MAX_RESPONSE_NS = 3500 * MS
MAX_LATE_CALLS = 4  # open at once beside the current one; each holds a descriptor
RESPONSE_HEADROOM = 1.25  # of the longest response seen, as the time limit of the next one
RESPONSE_DECAY = 0.5  # of the longest response seen, with each response: silence may look like a slow one
MEAN_RETRY_DELAY_NS = (
    100 * MS
)  # after a failed call: a watch counts as continued if it is renewed within 200 ms
JITTER = 0.25  # of that delay, to either side: brokers that failed together must not retry in step
MAX_RETRY_DELAY_NS = int(MEAN_RETRY_DELAY_NS * (1 + JITTER))
# In pull mode one service answers all brokers and may report, by a status, that it cannot serve. From the
# third such response in a row the delay doubles, up to this factor, which is what the sums have room for.
MAX_BACKOFF_FACTOR = 8


def response_timeout(failures: int) -> int:
    """Time (ns) for one call beyond its watch time, after this many consecutive failed calls."""
    return RESPONSE_TIMEOUT_NS if failures < SLOW_AFTER_FAILURES else SLOW_RESPONSE_TIMEOUT_NS


class ResponseTimes:
    """Follows how long responses take, so that a slow service is not called anew before it has answered.

    Only while calls are answered: after a failure the limits are those of a fast service, since the call
    that failed is kept open beside the next one.
    """

    def __init__(self) -> None:
        self.longest = 0  # ns, decaying

    def observe(self, took: int | None) -> None:
        """A response arrived, ``took`` ns beyond its watch time; None where that is not known."""
        if took is not None:
            self.longest = max(took, int(self.longest * RESPONSE_DECAY))

    def timeout(self, failures: int) -> int:
        """Time (ns) for one call beyond its watch time, after this many consecutive failed calls."""
        fixed = response_timeout(failures)
        if failures:
            return fixed
        return max(fixed, min(int(self.longest * RESPONSE_HEADROOM), MAX_RESPONSE_NS))

    def watch_wait_ms(self, longest: int, failures: int) -> int:
        """How long (ms) a watch may be held open after this many consecutive failed calls.

        With slow responses it is shorter: the sum for a watch that fell silent has three of them.
        """
        if failures:
            return min(longest, RETRY_WATCH_MS)
        left = UPDATE_DEADLINE_NS - MARGIN_NS - 3 * self.timeout(0) - 2 * MAX_RETRY_DELAY_NS
        return min(longest, max(left // MS - RETRY_WATCH_MS, RETRY_WATCH_MS))


def retry_delay(fraction: float, refusals: int = 0) -> int:
    """The delay (ns) after a failed call; ``fraction`` is drawn at random from 0 to 1.

    ``refusals``: consecutive responses by which a shared service reported that it cannot serve. Without the
    backoff each broker of a fleet would call an overloaded service eight times a second.
    """
    back_off: int = min(2 ** min(max(refusals - 2, 0), 10), MAX_BACKOFF_FACTOR)
    return int(back_off * MEAN_RETRY_DELAY_NS * (1 - JITTER + 2 * JITTER * fraction))


def lost_call_time(wait_ms: int, failures: int) -> int:
    """Time (ns) from the start of a lost call until the next one starts; ``wait_ms``: its watch time."""
    return wait_ms * MS + response_timeout(failures) + MAX_RETRY_DELAY_NS


def worst_case_time(first: int, failures: int) -> int:
    """Sum (ns): ``first``, one more call that times out, a retry delay, and one call that succeeds.

    ``first`` is the cost of the call that was lost just before discovery could be reached, and ``failures``
    the number of consecutive failed calls once that one is over.
    """
    return first + lost_call_time(RETRY_WATCH_MS, failures) + response_timeout(failures + 1)


# Keyed by what was under way when discovery had an update and could be reached. In each case one more call
# may time out: its connection or its response does not arrive, or arrives one byte at a time.
WORST_CASES_NS = {
    "watch, pushed, fell silent": worst_case_time(lost_call_time(PUSH_WATCH_MS, 0), 1),
    "watch, asked for, fell silent": worst_case_time(lost_call_time(PULL_WATCH_MS, 0), 1),
    "watch reset, refused, or its answer broken off": worst_case_time(MAX_RETRY_DELAY_NS, 1),
    "second call of an outage": worst_case_time(lost_call_time(RETRY_WATCH_MS, 1), 2),
    "later call of an outage": worst_case_time(
        lost_call_time(RETRY_WATCH_MS, SLOW_AFTER_FAILURES), SLOW_AFTER_FAILURES + 1
    ),
    "pause of an outage": worst_case_time(MAX_RETRY_DELAY_NS, SLOW_AFTER_FAILURES + 1),
    "pause after refusals by a shared service, and one more": (
        2 * retry_delay(1.0, SLOW_AFTER_FAILURES + MAX_BACKOFF_FACTOR)
        + RETRY_WATCH_MS * MS
        + 2 * response_timeout(SLOW_AFTER_FAILURES)
    ),
}
WORST_CASE_AFTER_MOVE_NS = worst_case_time(
    lost_call_time(0, 0), 1
)  # SIGHUP: the first call to the new address is lost
