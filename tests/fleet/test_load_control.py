"""Brokers that exchange load reports, over loopback sockets in virtual time."""

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from quincepath.broker.service import Broker
from quincepath.config.schema import Config
from quincepath.lab.load import Client, QueryResult
from quincepath.standins.data import BEGIN_MS
from tests.world import World, config_values

TIMEOUT_S = 120.0  # seconds of virtual time


def ports(count: int) -> list[int]:
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    found = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return found


class Fleet:
    """Brokers of one fleet in front of the nodes of a world; ``b0`` first. All on one virtual loop."""

    def __init__(
        self, folder: Path, count: int = 3, fleet: dict[str, Any] | None = None, **more: Any
    ) -> None:
        self.world = World(folder)
        self.loop = self.world.loop
        peers = [{"name": f"b{n}", "address": f"127.0.0.1:{port}"} for n, port in enumerate(ports(count))]
        holders = [self.world.entry(name) for name in self.world.leaves]
        self.brokers, self.clients = [], []
        for number, peer in enumerate(peers):
            section = {
                "name": "orchard", "member": peer["name"], "port": int(peer["address"].rpartition(":")[2]),
                "peers": peers, "ledger": {}, "overload": {}, **(fleet or {}),
            }  # fmt: skip
            config = {"holders": holders, **config_values(**more), "fleet": section}
            config["broker"] = {"seed": 5 + number, "number": number, "brokers": count}
            self.brokers.append(Broker(Config.model_validate(config), self.loop, folder))
            self.clients.append(Client(self.loop, self.brokers[-1].url))
        self.results: list[QueryResult] = []
        self.sent_queries = 0

    def metric(self, number: int, name: str, **labels: str) -> float:
        found = self.brokers[number].metrics.registry.get_sample_value(name, labels)
        return 0.0 if found is None else found

    def wait_until(self, true: Any) -> None:
        assert self.loop.run_until(true, TIMEOUT_S), "it did not come about in time"

    def full_coverage(self) -> bool:
        return all(
            self.metric(n, "quincepath_ledger_coverage") == 1.0
            and len(self.live_boots(n)) == len(self.brokers)
            for n in range(len(self.brokers))
        )

    def live_boots(self, number: int) -> dict[str, int]:
        fleet = self.brokers[number].fleet
        assert fleet is not None and fleet.load_service is not None
        return fleet.load_service._live_boots

    def ask(self, number: int, kind: str = "hours-report") -> None:
        self.sent_queries += 1
        self.clients[number].ask(f"q{self.sent_queries}", self.world.plan(kind), self.results.append)

    def close(self) -> None:
        for client in self.clients:
            client.close()
        for broker in self.brokers:
            broker.close()
        self.world.close()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    found = Fleet(tmp_path, fleet={"ledger": {"window": "5s"}})
    yield found
    found.close()


def test_all_brokers_know_the_queries_and_outcomes_of_each(fleet: Fleet) -> None:
    fleet.wait_until(fleet.full_coverage)
    for turn in range(40):
        fleet.ask(0 if turn % 4 else 1)
        fleet.loop.run_until(lambda: False, 0.05)
    fleet.wait_until(lambda: len(fleet.results) == 40)
    assert all(result.status == 200 for result in fleet.results)
    rate = 40 / 5  # all within the window of 5 s
    fleet.wait_until(
        lambda: all(
            fleet.metric(n, "quincepath_ledger_queries", how=how) == pytest.approx(rate, rel=0.25)
            for n in range(3)
            for how in ("taken", "in_time")
        )
    )
    fleet.wait_until(
        lambda: all(fleet.metric(n, "quincepath_ledger_queries", how="taken") == 0 for n in range(3))
    )


def test_a_stopped_broker_leaves_the_sums_and_the_others_continue(fleet: Fleet) -> None:
    fleet.wait_until(fleet.full_coverage)
    fleet.brokers[2].close()
    fleet.wait_until(lambda: all(len(fleet.live_boots(n)) == 2 for n in range(2)))
    fleet.wait_until(lambda: all(fleet.metric(n, "quincepath_ledger_coverage") == 1.0 for n in range(2)))


def test_the_decision_module_gets_its_allowance(fleet: Fleet) -> None:
    fleet.wait_until(lambda: fleet.metric(0, "quincepath_overload_spending", what="trials") > 0)
    module: Any = fleet.brokers[0].driver.module
    fleet.wait_until(lambda: module.fleet_allowance.allowance.until > fleet.loop.now)
    assert module.fleet_allowance.allowance.extras > 0


def test_a_shed_query_reaches_no_node_and_gets_retry_advice(fleet: Fleet) -> None:
    fleet.wait_until(fleet.full_coverage)
    service = fleet.brokers[0].fleet.load_service  # type: ignore[union-attr]
    assert service is not None and service.control.overload is not None
    service.control.overload._fleet_threshold.value = service.control.overload._local_threshold.value = (
        1.0  # everything is below the threshold
    )
    fleet.ask(0)
    fleet.wait_until(lambda: len(fleet.results) == 1)
    result = fleet.results[0]
    assert result.status == 503 and result.response is not None
    assert (
        float(result.response.headers["retry-after"]) > 0
        and b"the fleet is overloaded" in result.response.body
    )
    assert sum(fleet.metric(0, "quincepath_overload_shed_total", why=w) for w in ("fleet", "share")) == 1
    assert sum(leaf.requests for leaf in fleet.world.leaves.values()) == 0
    service.control.overload._fleet_threshold.value = service.control.overload._local_threshold.value = 0.0
    fleet.ask(0)
    fleet.wait_until(lambda: len(fleet.results) == 2)
    assert fleet.results[1].status == 200
    assert (
        sum(leaf.requests for leaf in fleet.world.leaves.values()) >= 3
    )  # the count above would have included it


def test_queries_of_one_address_get_distinct_but_stable_priorities(fleet: Fleet) -> None:
    fleet.wait_until(fleet.full_coverage)
    service = fleet.brokers[0].fleet.load_service  # type: ignore[union-attr]
    assert service is not None and service.control.overload is not None
    places: list[float] = []
    arrive = service.control.on_arrival

    def recorded(now: int, arrival: Any) -> Any:
        places.append(service.control.overload.priority(now, arrival))  # type: ignore[union-attr]
        return arrive(now, arrival)

    service.control.on_arrival = recorded  # type: ignore[method-assign]
    plans = [fleet.world.plan("hours-report", end=BEGIN_MS + 600_000 + n) for n in range(40)]
    for number, plan in enumerate([*plans, *plans]):
        fleet.clients[0].ask(f"p{number}", plan, fleet.results.append)
    fleet.wait_until(lambda: len(fleet.results) == 80)
    assert places[:40] == places[40:] and len(set(places)) == 40
    assert max(places) - min(places) > 0.02  # of 1/32 that queries of one worth and over-share have


@pytest.mark.parametrize("fleet_section", [{"ledger": None, "overload": None}, {"overload": None}])
def test_without_the_sections_nothing_is_shed_or_reported(
    tmp_path: Path, fleet_section: dict[str, Any]
) -> None:
    found = Fleet(tmp_path, 2, fleet_section)
    found.wait_until(lambda: all(b.fleet is not None and not b.fleet.view.unsettled() for b in found.brokers))
    found.ask(0)
    found.wait_until(lambda: len(found.results) == 1)
    module: Any = found.brokers[0].driver.module
    assert found.results[0].status == 200 and module.fleet_allowance.allowance.until == 0
    fleet = found.brokers[0].fleet
    assert fleet is not None and (fleet.load_service is None) == ("ledger" in fleet_section)
    found.close()


def test_queries_turned_away_by_admission_are_counted_once(tmp_path: Path) -> None:
    found = Fleet(tmp_path, 2, limits={"max_asks": 1})
    found.wait_until(found.full_coverage)
    for _ in range(3):
        found.ask(0)
    found.wait_until(lambda: len(found.results) == 3)
    service = found.brokers[0].fleet.load_service  # type: ignore[union-attr]
    assert service is not None
    row = service.control.counter.snapshot(found.loop.now).by_class[0]
    kinds = [sum(r) for r in zip(*service.control.counter.snapshot(found.loop.now).by_class, strict=True)]
    assert kinds[0] == 3 == sum(kinds[1:]), row
    found.close()
