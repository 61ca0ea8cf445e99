"""The target's configuration meets these limits, by name; a new or lifted one must change the page."""

from collections.abc import Iterable

from benchmarks.capacity.limits import below_target, found_limits, largest
from benchmarks.capacity.results import LimitFound, load

EXPECTED = {
    "members in a configuration": 1000,
    "members in one exchange of views": 1000,
    "members in a fault script": 500,
    "followers told of commits": 1000,
    "connections to one member": 1200,
    "replica sets in load reports": 1024,
    "replica sets remembered as failing": 1024,
    "bytes of a full list": 1024 * 1024,
    "nodes remembered as drained or gone": 1024,
    "connections to nodes of one process": 400,
    "brokers' samples gathered": 1024,
    "regions told apart": 1,
}
HOLD = {"bytes of one exchange of views": 512 * 1024, "members summed up in one place": 256}


def test_each_limit_that_ends_below_the_target_is_named() -> None:
    found = found_limits()
    assert {limit.name: limit.limit for limit in found if limit.factor > 1} == EXPECTED
    assert {limit.name: limit.limit for limit in found if limit.factor <= 1} == HOLD
    assert below_target(found) == [limit.name for limit in found if limit.name in EXPECTED]


def test_the_page_lists_the_limits_that_the_code_has_now() -> None:
    def figures(limits: Iterable[LimitFound]) -> list[tuple[str, str, float, float]]:
        return [(limit.name, limit.mechanism, limit.limit, limit.needed) for limit in limits]

    assert figures(load().limits) == figures(found_limits())


def test_the_largest_that_is_taken_is_found() -> None:
    assert largest(lambda count: count <= 700, 2600) == 700
    assert largest(lambda count: True, 2600) == 2600 and largest(lambda count: False, 2600) == 0
