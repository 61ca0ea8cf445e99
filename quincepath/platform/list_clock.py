"""How long each step towards the list may take: one clock, whether lists are pushed or asked for. Pure.

What discovery has, and can be reached for, counts as told ``TOLD`` later, whatever the calls before met with.
A call is one try: connect, ask, wait if it may, read the answer whole, within one time. Each sum below is the
time from the moment in which discovery has news and can be reached until these are held, at the worst.
"""

MS = 1_000_000
TOLD = 6000 * MS  # standing test: what discovery has counts as told so much later
MOVED = 4000 * MS  # what the address has that SIGHUP names
MARGIN = 500 * MS  # for a process that gets little of its core, and for the loop's whole milliseconds
# How long a watch may be held, in ms: one that fell silent hides all news until its time is over.
WAIT_PUSHED = 1_000  # by the agent on this machine, whose answers cost nothing
# Where the list must be asked for each call is one at a service that all brokers share, so as long as the sum
# allows: with 4,000 and a second for each answer it was 7.4 s, one call lost and one more that failed.
WAIT_ASKED = 3_700
# After a call that failed: only what is new is wanted, and an answer that there is nothing shows that the
# watch works again. Held for the whole wait such a call, lost in its turn, costs that wait once more.
WAIT_AGAIN = 10
ANSWER = 500 * MS  # for connecting and the whole answer, beyond the wait
# After so many calls in a row that brought nothing: an answer may be slow, and is had in the end. No longer
# than it was for each call once: a call lost as discovery comes back hides the news for that time.
PATIENT = 1000 * MS
SLOW = 3
AGAIN = 100 * MS  # mean pause after a call that brought nothing: a watch goes on if it is renewed in 200 ms
SPREAD = 0.25  # of that pause, to either side: brokers that failed together must not come again in step
PAUSE = int(AGAIN * (1 + SPREAD))  # the longest
# Where the list must be asked for, one service answers all brokers and may say (by a status) that it cannot.
# From the third such answer in a row on the pause doubles, up to so many times: what the sums have room for.
BACK_OFF_MOST = 8


def wait_of(longest: int, failures: int) -> int:
    """For how many ms a call for changes may wait, after so many calls in a row that brought nothing."""
    return min(longest, WAIT_AGAIN) if failures else longest


def answer_of(failures: int) -> int:
    """Time (ns) for one call beyond its wait, after so many in a row that brought nothing."""
    return ANSWER if failures < SLOW else PATIENT


def pause_of(share: float, refusals: int = 0) -> int:
    """The pause (ns) after a call that brought nothing; ``share`` is drawn from 0 to 1.

    ``refusals``: answers in a row by which a shared service said that it cannot serve. Guards against a fleet
    that asks a service eight times a second each because it has too much to do.
    """
    back_off: int = min(2 ** min(max(refusals - 2, 0), 10), BACK_OFF_MOST)
    return int(back_off * AGAIN * (1 - SPREAD + 2 * SPREAD * share))


def lost(wait: int, failures: int) -> int:
    """Time (ns) until the call after one that is lost begins; ``wait``: ms that it may wait."""
    return wait * MS + answer_of(failures) + PAUSE


def worst(first: int, failures: int) -> int:
    """Sum (ns): ``first``, then one more call that fails by its time, a pause, and one that is answered.

    ``first`` is what the call costs that was lost in the moment before discovery could be reached, and
    ``failures`` how many calls in a row have brought nothing once that is over.
    """
    return first + lost(WAIT_AGAIN, failures) + answer_of(failures + 1)


# What was under way when discovery had news and could be reached, and the sum for it. One more call may fail
# by its time in each: its connection or its answer does not come, or comes a byte at a time.
SUMS = {
    "watch, pushed, fell silent": worst(lost(WAIT_PUSHED, 0), 1),
    "watch, asked for, fell silent": worst(lost(WAIT_ASKED, 0), 1),
    "watch reset, refused, or its answer broken off": worst(PAUSE, 1),
    "second call of an outage": worst(lost(WAIT_AGAIN, 1), 2),
    "later call of an outage": worst(lost(WAIT_AGAIN, SLOW), SLOW + 1),
    "pause of an outage": worst(PAUSE, SLOW + 1),
    "pause after refusals by a shared service, and one more": (
        2 * pause_of(1.0, SLOW + BACK_OFF_MOST) + WAIT_AGAIN * MS + 2 * answer_of(SLOW)
    ),
}
AFTER_MOVE = worst(lost(0, 0), 1)  # SIGHUP: the first call to the new address is lost
