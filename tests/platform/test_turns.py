"""The loop returns to its wait whatever the module does; requests that cannot be served are answered."""

from collections.abc import Iterable

import pytest

from quincepath.interface import Action, Event, Query, SetTimer
from quincepath.platform.service import MAX_ROUNDS_PER_TURN
from quincepath.policy import Aggregator
from tests.standins.platform import Client, PlatformHarness, platform_settings


class BusyModule(Aggregator):
    """Asks to be called again at once, ``left`` times."""

    left = 0

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        self.left -= 1
        again = [SetTimer(now, 1 << 40)] if self.left > 0 else []
        return [*super().handle(now, events), *again]


def test_a_module_that_is_rarely_done_does_not_keep_the_loop_from_its_sockets() -> None:
    harness = PlatformHarness(BusyModule)
    module = harness.broker.driver.module
    assert isinstance(module, BusyModule)
    module.left = 10 * MAX_ROUNDS_PER_TURN
    left = []
    client = Client(harness)
    client.stream.write(harness.request("all", (0,)))
    while not client.status:
        before = module.left
        harness.loop.turn(1)
        left.append(before - module.left)
    assert client.status == 200 and 0 < max(left) <= MAX_ROUNDS_PER_TURN


class QueryRecorder(Aggregator):
    """The real module; records the queries it received."""

    recorded_queries: list[Query]

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        events = list(events)
        self.recorded_queries = [
            *getattr(self, "recorded_queries", []),
            *(one for one in events if isinstance(one, Query)),
        ]
        return super().handle(now, events)


CLASSES, TENANTS = ([one["name"] for one in platform_settings()[key]] for key in ("classes", "tenants"))


@pytest.mark.parametrize("kind", CLASSES)
@pytest.mark.parametrize("tenant", TENANTS)
def test_each_class_and_each_tenant_reaches_the_module_under_its_own_index(kind: str, tenant: str) -> None:
    harness = PlatformHarness(QueryRecorder)
    assert harness.ask(kind, (0, 1), Req_Owner=tenant).status == 200
    module = harness.broker.driver.module
    assert isinstance(module, QueryRecorder)
    at = (
        [c["name"] for c in platform_settings()["classes"]].index(kind),
        [t["name"] for t in platform_settings()["tenants"]].index(tenant),
    )
    assert [(one.kind, one.tenant) for one in module.recorded_queries] == [at]


@pytest.mark.parametrize("gone", ["listed nowhere", "refused", "turned away"])
def test_a_request_of_which_nothing_ran_is_refused_and_not_failed(gone: str) -> None:
    """Both are priced as a refusal where nothing was forwarded, but only a refusal tells the client so."""
    harness = PlatformHarness()
    if gone == "listed nowhere":
        harness.discovery.publish(*(harness.entry(number, "DELETED") for number in range(4)))
    elif gone == "refused":
        for node in harness.nodes:
            node.listener.close()
    harness.set_behavior("later")
    harness.run(0.05)
    for kind in ("any", "once"):
        assert harness.ask(kind, (0, 1)).status in (429, 503)
