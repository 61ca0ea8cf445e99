"""Constants of the decisions, each with its unit and its reason. Times are in nanoseconds."""

SECOND = 1_000_000_000
# The wire allows sums of weights to fall 0.0001 short; half of that covers float rounding only.
EPSILON = 5e-5

# Latency of a part before any reply was seen, as a share of its class's target.
PRIOR_LATENCY = 0.10
# Weight of one reply in a class's typical latency: about twenty replies make a change.
LATENCY_GAIN = 0.05
# One reply counts as at most this many times the typical latency: a single stall must not shift it.
LATENCY_CLIP = 4.0
# A part is late beyond the mean plus this many mean deviations: about one healthy part in fifty.
LATE_DEVIATIONS = 3.0
# Latest late mark, as a share of the target: a later one would leave no time for the next attempt.
LATE_SHARE_MAX = 0.35
# Earliest late mark, as a share of the target: earlier alarms only add load.
LATE_SHARE_MIN = 0.10
# Hedge tokens (for late parts) earned by each planned send while the class is congested: all parts are late
# then, and more work makes them later.
HEDGE_SHARE_CONGESTED = 0.10
# Hedge tokens earned by each planned send otherwise: with usual latencies a late part means a bad node.
HEDGE_SHARE = 0.25
# A class is congested when its typical latency is this many times the lowest typical latency seen.
CONGESTION_FACTOR = 2.0
# A charge for crossing zones makes a node look slower by this many times the charge.
ZONE_COST = 5.0
# Most hedge tokens that can be saved up.
HEDGE_TOKENS_MAX = 10.0
# With fewer hedge tokens than this no attempt times out before the time of its query is up.
EARLY_TIMEOUT_MIN_TOKENS = 5.0
# Where two concurrent attempts are forbidden, an attempt times out at this many times the late mark. A lower
# factor cuts heavy parts off.
EARLY_TIMEOUT_FACTOR = 2.0
# The same factor while congested: when all replies are slow, a new attempt is slow, too.
EARLY_TIMEOUT_FACTOR_CONGESTED = 4.0
# Share of a keyed class's window that an attempt may take; in the rest its retry can still be sent.
WINDOW_SHARE = 0.7
# Weight of one reply in a node's own latency ratio: it follows a slowdown within few replies.
SLOWDOWN_GAIN = 0.25
# A reply that took this many times the typical latency counts as a failure.
SLOW_RATIO = 3.0
# Beyond this share of failures admission expects longer waits at a node, up to eight times as long.
MOSTLY_FAILING = 0.5
# A node's latency ratio decays to 1/e of itself in this time, so that the node is tried again.
DECAY_TIME_MIN = 4 * SECOND
# With little traffic it decays in the time that it takes to send to each node once, but no slower than this:
# faults end, too.
DECAY_TIME_MAX = 30 * SECOND
# Weight of one attempt in a node's share of failures: three failures in a row make two thirds.
FAILURE_GAIN = 0.3
# Shares of failures decay this many times slower than latency ratios: where some attempts succeed, few of
# them reveal the fault.
FAILURE_DECAY_FACTOR = 4
# Load added to a node at a share of failures of one half, in calls: the odds of failure times this.
FAILURE_COST = 2.0
# Most load added for failures, in calls: probe attempts must never stop for long.
FAILURE_COST_MAX = 16.0
# Failures in a row before on-call staff are told: a lasting fault, not a single error.
FAILURES_BEFORE_LOG = 8
# An overload has ended after this long without a refusal.
OVERLOAD_END_AFTER = 5 * SECOND
# A query ends this many ticks before its client leaves, and a keyed part is retried no later than this many
# ticks before its window closes: one tick passes until an action leaves.
ANSWER_MARGIN_TICKS = 2
# Share of the target until a refused client may retry: its target time runs on from its first request.
RETRY_AFTER_SHARE = 0.2
# Share of the target before a second attempt at the same replica, doubling with each further attempt.
RETRY_BACKOFF = 0.1
# Time until a part that no node may take now is checked again.
BLOCKED_RECHECK = SECOND // 20
# Connections that a query may lose, with no part answered, until it is taken for a poison query: each may be
# a node that it crashed.
LOST_CONNECTIONS_MAX = 2
# Time for which queries with the key of a poison query are refused: about the length of one episode.
POISON_KEY_TTL = 30 * SECOND
# Most keys of poison queries that are remembered.
POISON_KEYS_MAX = 100
# Load added, in calls, to a node that would need a new connection while new connections fail.
DIAL_COST = 2
# A node without a reply within the idle time looks this many times slower: it needs a new connection.
NEW_CONNECTION_FACTOR = 1.5
# Time for which a lost connection, a slow dial and a first request with a short timeout count.
SIGNAL_TTL = 10 * SECOND
# Cores that a cold node is assumed to have: the number is not known, so two are assumed, less an eighth as
# a reserve.
COLD_CORES = 1.75
# Largest share of its rate that a broker may save up to send at once; below it the square root rule of the
# token bucket holds.
COLD_SAVED_MAX = 0.5
# Work of a part before any reply was seen, as a share of its class's target: twice the assumed latency.
PRIOR_WORK = 0.20
# Parts that are assumed to run concurrently without slowing each other, in a call and in the expected wait.
ASSUMED_CORES = 2
# A query is refused at once if its expected wait exceeds this share of its time: the slowest part adds to it.
ADMISSION_SHARE = 0.35
# Mean pause after a failed subscription, as a share of the time in which the list must be asked for.
RESUBSCRIBE_SHARE = 0.2
# The time in which the list must be asked for, where the settings do not give it.
RESUBSCRIBE_IN = 10 * SECOND
# Timer token of the node list; query ids stay below 2^32.
LIST_TOKEN = 1 << 40
