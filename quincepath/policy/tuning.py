"""Every figure that the decisions rest on, with its unit and its reason. Times are in ns."""

SECOND = 1_000_000_000
EPSILON = 5e-5  # the wire lets sums of weights fall 0.0001 short; half of that is float rounding only

PRIOR_LATENCY = 0.10  # share of a class's target that a part is taken to last before any was seen
LATENCY_GAIN = 0.05  # weight of one reply in a class's typical latency: some twenty replies make a change
LATENCY_CLIP = 4.0  # one reply counts as at most so many times the typical: one stall is not the norm
LATE_DEVIATIONS = 3.0  # a part is late beyond mean + so many mean deviations, about one sound part in fifty
LATE_SHARE_MAX = 0.35  # but no later than this share of the target, or nothing is left for the next try
LATE_SHARE_MIN = 0.10  # and no sooner than this one: early alarms only add work
HEDGE_SHARE_CONGESTED = (
    0.10  # spare sends (for late parts) earned by each planned one while answers are slow: when
)
HEDGE_SHARE = 0.25  # all are late more work makes them later; while answers come as usual some nodes are
CONGESTION_FACTOR = (
    2.0  # bad. Answers are slow when the typical one takes so many times the least typical seen
)
ZONE_COST = 5.0  # a charge for crossing zones makes a node look slower by this many times the charge
HEDGE_TOKENS_MAX = 10.0  # most spare sends that can be saved up
EARLY_TIMEOUT_MIN_TOKENS = 5.0  # while fewer are saved up no attempt is given up before the end
EARLY_TIMEOUT_FACTOR = (
    2.0  # where two copies are forbidden an attempt is given up at so many times the late mark:
)
EARLY_TIMEOUT_FACTOR_CONGESTED = 4.0  # sooner cuts heavy parts off; when all are slow a new try is slow, too
WINDOW_SHARE = 0.7  # of a keyed class's window that an attempt may take: the rest is for its resend to leave
SLOWDOWN_GAIN = (
    0.25  # weight of one reply in a node's own latency ratio: follows a slowdown within few replies
)
SLOW_RATIO = 3.0  # a reply this many times the typical counts as a failure
MOSTLY_FAILING = 0.5  # beyond this share of failures a node counts as slower in refusal, up to eight times
DECAY_TIME_MIN = 4 * SECOND  # a node's latency ratio fades to 1/e in this time, so that it is tried again;
DECAY_TIME_MAX = 30 * SECOND  # with little traffic, in the time to meet each node once, but troubles end, too
FAILURE_GAIN = 0.3  # weight of one attempt in a node's share of failures: three in a row make two thirds
FAILURE_DECAY_FACTOR = (
    4  # failures are remembered so many times as long: where some attempts get through, few tell
)
FAILURE_COST = 2.0  # parts counted on top at a share of a half; the odds of failure times this
FAILURE_COST_MAX = 16.0  # most parts counted on top: the trickle of trials must never stop for long
FAILURES_BEFORE_LOG = 8  # failures in a row before on-call staff are told: a trouble, not a hiccup
OVERLOAD_END_AFTER = 5 * SECOND  # an overload is called over after this long without a refusal
ANSWER_MARGIN_TICKS = (
    2  # so many ticks before its client leaves a query ends (a resend: its window): one passes
)
RETRY_AFTER_SHARE = (
    0.2  # of the target until a refused client may come back: its aim runs on from the first try
)
RETRY_BACKOFF = 0.1  # of the target before a second try at the same replica, doubling with each further
BLOCKED_RECHECK = SECOND // 20  # how soon a part that no node may take now is looked at again
LOST_CONNECTIONS_MAX = (
    2  # nodes that a query may have taken down, with no part in, until it is held to be the cause
)
POISON_KEY_TTL = 30 * SECOND  # so long queries with a poisoned query's key are refused: about one spell
POISON_KEYS_MAX = 100  # such keys remembered
DIAL_COST = 2  # parts counted on top for a node that would need a new one
NEW_CONNECTION_FACTOR = (
    1.5  # a node not heard within the idle time looks so much slower: it needs a connection
)
SIGNAL_TTL = 10 * SECOND  # so long a lost connection, a slow dial and a first try with little time count
COLD_CORES = 1.75  # cores that a cold node is filled as: not told, two are taken, with an eighth to spare
COLD_SAVED_MAX = 0.5  # of its share that a broker may hold to send at once: the root of it, but no more
PRIOR_WORK = 0.20  # share of a class's target that a part is booked at before any was seen: twice the guess
ASSUMED_CORES = (
    2  # so many parts at once are taken not to slow each other: in a call, and in the expected wait
)
ADMISSION_SHARE = 0.35  # refuse at once beyond this share of the time: the slowest part comes on top
RESUBSCRIBE_SHARE = 0.2  # of the time in which the list must be asked: mean pause after a failed subscription
RESUBSCRIBE_WITHIN = 10 * SECOND  # taken for that time where it is not told
LIST_TOKEN = 1 << 40  # timer token of the node list; query ids stay below 2^32
