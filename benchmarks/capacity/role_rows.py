"""Rows of voter, control machine, discovery, node and failures, most worked out from counts and prices."""

from benchmarks.capacity.control_rows import CONFIGURATION, FOLLOWERS, PERCENT
from benchmarks.capacity.data_rows import KILO, MEGA, MILLI
from benchmarks.capacity.limits import CONNECT, LIST, LOAD, LOG, VIEW
from benchmarks.capacity.rows import RowSpec, Term
from benchmarks.capacity.target import (
    ANSWER_SECONDS,
    BROKERS,
    CONFIGURATION_CHANGES,
    CONTROL_MACHINES,
    DAY_SECONDS,
    LIST_CHANGES,
    MACHINE_CHANGES,
    NODES,
    NODES_OF_A_ZONE,
    PARTS_OF_A_BROKER,
    PARTS_OF_A_NODE,
)

VOTER, MACHINE, DISCOVERY, NODE, FAILURES = "voter", "control machine", "discovery", "node", "failures"
STORE, GIGA = "voter's store", 1e-9
ENTRIES = CONFIGURATION_CHANGES + MACHINE_CHANGES  # of the log, a day
SHARE = BROKERS / CONTROL_MACHINES  # brokers of one control machine
BROKER_CHANGES = 2 * MACHINE_CHANGES * BROKERS / (NODES + BROKERS)  # a day, gone and back
ASKS, ASK_BYTES = "asks of a second", "bytes of a second's asks"
WATCHES = Term("exchanges", "watches of a broker, nothing new")
STORED = 1000  # entries at which the price of one is taken


def _worked(
    role: str, quantity: str, mechanism: str, unit: str, *terms: Term, budget: float | None = None
) -> RowSpec:
    return RowSpec(role, quantity, mechanism, unit, terms, budget, worked_out=True)


def _told(role: str, quantity: str, unit: str, name: str, scale: float) -> RowSpec:
    """A row that the configuration distribution's own results give."""
    return RowSpec(
        role, quantity, CONFIGURATION, unit, (Term("configuration", name, None, scale),), optional=True
    )


VOTER_ROWS = [
    RowSpec(
        VOTER,
        "of a core, all brokers ask one voter",
        LOG,
        "%",
        (Term("followers", ASKS, FOLLOWERS, PERCENT),),
        100.0,
    ),
    RowSpec(
        VOTER,
        "bytes a second, all brokers ask one voter",
        LOG,
        "KB",
        (Term("followers", ASK_BYTES, FOLLOWERS, KILO),),
    ),
    RowSpec(
        VOTER,
        "loop stands still for one commit told to all",
        LOG,
        "ms",
        (Term("followers", "one commit", FOLLOWERS, MILLI),),
    ),
    RowSpec(
        VOTER,
        "bytes of one commit told to all",
        LOG,
        "KB",
        (Term("followers", "bytes of one commit", FOLLOWERS, KILO),),
    ),
    _worked(
        VOTER,
        "of a core, commits of a day told to all",
        LOG,
        "%",
        Term("followers", "one commit", FOLLOWERS, PERCENT * ENTRIES / DAY_SECONDS),
    ),
    _worked(
        VOTER,
        "of a core, entries of a day written",
        STORE,
        "%",
        Term("followers", "store", STORED, PERCENT * ENTRIES / STORED / DAY_SECONDS),
    ),
]

MACHINE_ROWS = [
    _worked(
        MACHINE,
        f"of a core, asks of {SHARE:.0f} brokers",
        LOG,
        "%",
        Term("followers", ASKS, SHARE, PERCENT),
        budget=100.0,
    ),
    _worked(
        MACHINE,
        f"bytes a second, asks of {SHARE:.0f} brokers",
        LOG,
        "KB",
        Term("followers", ASK_BYTES, SHARE, KILO),
    ),
    _told(MACHINE, "subscribers of a relay, most", "", "ordinary_day, subscribers_of_a_relay_most", 1),
    _told(
        MACHINE, "bytes a second of a relay, ordinary day", "KB", "ordinary_day, relay_bytes_a_second", KILO
    ),
    _told(
        MACHINE, "bytes in the worst second of a relay", "MB", "zone_returns, relay_worst_second_bytes", MEGA
    ),
    _told(MACHINE, "memory of a relay", "MB", "cost, relay_memory_bytes", MEGA),
]

DISCOVERY_ROWS = [
    _worked(
        DISCOVERY,
        "requests a second, nothing new",
        LIST,
        "",
        Term("exchanges", "watches of a broker, nothing new", None, BROKERS),
    ),
    _worked(
        DISCOVERY,
        "bytes a second, nothing new",
        LIST,
        "KB",
        Term("exchanges", "watch with nothing new", None, BROKERS * KILO, WATCHES),
    ),
    _worked(
        DISCOVERY,
        "bytes a second, changes of an ordinary day",
        LIST,
        "KB",
        Term("exchanges", "watch with one change", None, BROKERS * LIST_CHANGES / DAY_SECONDS * KILO),
    ),
    RowSpec(
        DISCOVERY, "bytes of a full list", LIST, "MB", (Term("listing", "bytes of a full list", NODES, MEGA),)
    ),
    _worked(
        DISCOVERY, "bytes of one changed node", LIST, "bytes", Term("exchanges", "one changed node in a list")
    ),
    _worked(
        DISCOVERY,
        "bytes when all brokers restart",
        LIST,
        "GB",
        Term("listing", "bytes of a full list", NODES, BROKERS * GIGA),
    ),
    _worked(
        DISCOVERY,
        "bytes when a zone's nodes change at once",
        LIST,
        "GB",
        Term("exchanges", "one changed node in a list", None, BROKERS * NODES_OF_A_ZONE * GIGA),
    ),
]

COLD = "slow start of cold nodes"
NODE_ROWS = [
    *(
        RowSpec(
            NODE,
            f"sends a second while cold, by all brokers, {name}",
            COLD,
            "",
            (Term("cold", f"sends to a cold node, {name}", BROKERS),),
        )
        for name in ("ids of the platform", "ids of six bytes")
    ),
    _worked(
        NODE,
        "connections, one of each broker",
        CONNECT,
        "",
        Term("exchanges", "connections of a broker to a node, most", None, BROKERS / 4),
    ),
    _worked(
        NODE,
        "connections, most",
        CONNECT,
        "",
        Term("exchanges", "connections of a broker to a node, most", None, BROKERS),
    ),
    _worked(
        NODE,
        "parts of one broker while a connection may idle",
        CONNECT,
        "",
        Term("exchanges", "idle connection is closed after", None, PARTS_OF_A_BROKER / NODES),
    ),
    _worked(
        NODE,
        "bytes a second, calls and replies",
        CONNECT,
        "MB",
        Term("frames", "call of a part", None, PARTS_OF_A_NODE * MEGA),
        Term("frames", "reply of a part", None, PARTS_OF_A_NODE * MEGA),
    ),
    _worked(
        NODE,
        "trial sends a second while doubted, brokers alone",
        LOAD,
        "",
        Term("exchanges", "trial sends at a doubted node, a broker alone", None, BROKERS),
        budget=2.0,
    ),
    _worked(
        NODE,
        "trial sends a second while doubted, by load totals",
        LOAD,
        "",
        Term("exchanges", "trial sends at a doubted node, all together"),
        budget=2.0,
    ),
    _worked(
        NODE,
        "new connections a second, brokers alone",
        LOAD,
        "",
        Term("exchanges", "new connections to a node, a broker alone", None, BROKERS),
    ),
    _worked(
        NODE,
        "new connections a second, by load totals",
        LOAD,
        "",
        Term("exchanges", "new connections to a node, all together"),
    ),
]


def _fault(name: str, text: str) -> list[RowSpec]:
    after = "until all agree again" if name == "cut" else "until all know"
    return [
        RowSpec(
            FAILURES,
            f"{text}: messages of a broker in the worst second",
            VIEW,
            "",
            (Term("faults", f"{name}: messages in the worst second", BROKERS),),
        ),
        RowSpec(FAILURES, f"{text}: {after}", VIEW, "s", (Term("faults", f"{name}: {after}", BROKERS),)),
    ]


QUALITY, QUALITY_BROKERS = "quality of choice", 64
CHOICE = "least loaded by own count"
WAYS = {
    "random replica": "none",
    "own count": CHOICE,
    "true queues": "none: not to be had",
    "decision module": CHOICE,
}
QUALITY_ROWS = [
    *(
        RowSpec(
            QUALITY,
            f"99th of answers at {QUALITY_BROKERS} brokers, {way}",
            mechanism,
            "ms",
            (Term("quality", f"99th, {way}", QUALITY_BROKERS, MILLI),),
            ANSWER_SECONDS * MILLI,
        )
        for way, mechanism in WAYS.items()
    ),
    *(
        RowSpec(
            QUALITY,
            f"in time at {QUALITY_BROKERS} brokers, {way}",
            mechanism,
            "%",
            (Term("quality", f"in time, {way}", QUALITY_BROKERS, PERCENT),),
        )
        for way, mechanism in WAYS.items()
    ),
    *(
        RowSpec(
            QUALITY,
            f"gain kept at {brokers} brokers, {way}",
            CHOICE,
            "%",
            (Term("quality", f"gain kept, {way}", brokers, PERCENT),),
        )
        for way, mechanism in WAYS.items()
        if mechanism == CHOICE
        for brokers in (8, 16, 32, 64, 128)
    ),
]

FAILURE_ROWS = [
    _worked(
        FAILURES,
        "ordinary day: bytes a second of a broker, news in the view",
        VIEW,
        "bytes",
        Term("exchanges", "news of one member, told on by each", None, BROKER_CHANGES / DAY_SECONDS),
    ),
    _worked(
        FAILURES,
        "ordinary day: bytes a second of a broker, changes of the list",
        LIST,
        "bytes",
        Term("exchanges", "watch with one change", None, LIST_CHANGES / DAY_SECONDS),
    ),
    _worked(
        FAILURES,
        "ordinary day: of a core, changes of the list",
        LIST,
        "%",
        Term("listing", "one change", NODES, LIST_CHANGES / DAY_SECONDS * PERCENT),
    ),
    _worked(
        FAILURES,
        "ordinary day: bytes a second of a broker, log entries",
        LOG,
        "bytes",
        Term("followers", "bytes of one commit", FOLLOWERS, ENTRIES / DAY_SECONDS / FOLLOWERS),
    ),
    _told(
        FAILURES,
        "ordinary day: bytes a second of a broker, configuration",
        "bytes",
        "ordinary_day, broker_bytes_a_second",
        1,
    ),
    _told(
        FAILURES,
        "ordinary day: bytes in a broker's worst second, configuration",
        "KB",
        "ordinary_day, broker_worst_second_bytes",
        KILO,
    ),
    *_fault("rack", "a rack (2% of the brokers)"),
    *_fault("zone", "a zone (260 brokers)"),
    *_fault("cut", "regions cut"),
    _worked(
        FAILURES,
        "a zone's 1,200 nodes, one by one: loop of a broker busy",
        LIST,
        "s",
        Term("listing", "one change", NODES, NODES_OF_A_ZONE),
    ),
    _worked(
        FAILURES,
        "a zone's 1,200 nodes, one by one: bytes to a broker",
        LIST,
        "KB",
        Term("exchanges", "watch with one change", None, NODES_OF_A_ZONE * KILO),
    ),
    _told(
        FAILURES,
        "a zone returns: all at the newest configuration",
        "s",
        "zone_returns, all_returned_at_newest_ms",
        KILO,
    ),
    _told(
        FAILURES,
        "regions cut for an hour: all at the newest after",
        "s",
        "region_cut, all_inside_at_newest_ms",
        KILO,
    ),
]
