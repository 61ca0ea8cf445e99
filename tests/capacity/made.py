"""Made-up results with known rows."""

from benchmarks.capacity.results import Fact, Group, LimitFound, Point, Results, Series
from benchmarks.capacity.rows import RowSpec, Term

SIZES = (100, 200, 500, 1000)
LINEAR = Series(
    "bytes", "bytes", "brokers", "simulated", tuple(Point(size, (2.0 * size + 10,)) for size in SIZES), 1.5
)
SQUARE = Series(
    "work", "s", "parts", "measured on sockets", tuple(Point(size, (1e-6 * size**2,)) for size in SIZES), 1.5
)
PRICE = Fact("price", "bytes", 7.0, "measured on sockets")
LIMIT = LimitFound("members", "messages.py", "view", 1000, 2600, "members", "dropped")
HOLDS = LimitFound("groups", "tree.py", "totals", 1024, 256, "groups", "enough")
RESULTS = Results(
    groups={
        "made": Group(
            "2026-12-02T05:00:00Z", 1.5, "3.11.7", "x86_64", 8, (4.0, 5.0), (LINEAR, SQUARE), (PRICE,)
        )
    },
    limits=(LIMIT, HOLDS),
)
BYTES = RowSpec("broker", "bytes a second", "view", "KB", (Term("made", "bytes", 2600, 1e-3),), 3.0)
WORK = RowSpec("broker", "work", "module", "s", (Term("made", "work", 1000),), 0.5)
SUM = RowSpec(
    "voter",
    "both",
    "log",
    "bytes",
    (Term("made", "bytes", 500), Term("made", "price", None, 2)),
    worked_out=True,
)
NOTHING = RowSpec(
    "broker", "time in force", "configuration", "s", (Term("later", "seconds"),), 7.0, optional=True
)
SPECS = (BYTES, WORK, SUM, NOTHING)


def seconds(value: float) -> Fact:
    """What the mechanism that is optional needs."""
    return Fact("seconds", "s", value, "simulated")
