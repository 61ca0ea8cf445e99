"""The decision module alone, in one process: processor time of a query by its parts, and of the node list."""

from benchmarks.capacity.measuring import Measured, fact, repeated, series
from benchmarks.capacity.results import Point
from benchmarks.capacity_probe_module import first_list_seconds, node_change_seconds, part_cost_seconds

PARTS = (16, 32, 65, 130, 260)
REPEATS = 3  # each the least of five of the probe's own
NODES = (600, 1200, 2500, 6000, 12_000)


def measure() -> Measured:
    """A part and a query at five sizes, one changed node and a first list at five."""
    part = repeated(PARTS, part_cost_seconds, REPEATS)
    query = tuple(Point(p.size, tuple(p.size * value for value in p.values)) for p in part)
    change = repeated(NODES, node_change_seconds, REPEATS)
    first = repeated(NODES, first_list_seconds, REPEATS)
    part_at, change_at = ({point.size: point.median for point in points} for points in (part, change))
    return (
        series("part", "s", "parts of a query", part),
        series("query", "s", "parts of a query", query),
        series("change", "s", "nodes", change),
        series("first list", "s", "nodes", first),
    ), (
        fact("a part at 130 parts by one at 16", "times", part_at[130] / part_at[16]),
        fact("a change of 12,000 nodes by one of 1,200", "times", change_at[12_000] / change_at[1200]),
    )
