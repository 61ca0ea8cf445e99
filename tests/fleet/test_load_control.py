"""Brokers that tell each other of their load, over sockets of loopback in virtual time."""

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from quincepath.broker.service import Broker
from quincepath.config.schema import Config
from quincepath.lab.load import Client, Seen
from quincepath.standins.data import BEGIN_MS
from tests.world import World, config_values

WAITS = 120.0  # seconds of virtual time that something may take at most


def ports(count: int) -> list[int]:
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    found = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return found


class Fleet:
    """Brokers of one fleet around the holders of a world; ``b0`` first. All on one virtual loop."""

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
        self.ends: list[Seen] = []
        self.asked = 0

    def metric(self, number: int, name: str, **labels: str) -> float:
        found = self.brokers[number].metrics.registry.get_sample_value(name, labels)
        return 0.0 if found is None else found

    def until(self, true: Any) -> None:
        assert self.loop.run_until(true, WAITS), "it did not come about in time"

    def all_known(self) -> bool:
        return all(
            self.metric(n, "quincepath_ledger_coverage") == 1.0 and len(self.living(n)) == len(self.brokers)
            for n in range(len(self.brokers))
        )

    def living(self, number: int) -> dict[str, int]:
        fleet = self.brokers[number].fleet
        assert fleet is not None and fleet.load_service is not None
        return fleet.load_service._live_boots

    def ask(self, number: int, kind: str = "hours-report") -> None:
        self.asked += 1
        self.clients[number].ask(f"q{self.asked}", self.world.plan(kind), self.ends.append)

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


def test_all_know_what_one_took_and_what_became_of_it(fleet: Fleet) -> None:
    fleet.until(fleet.all_known)
    for turn in range(40):
        fleet.ask(0 if turn % 4 else 1)
        fleet.loop.run_until(lambda: False, 0.05)
    fleet.until(lambda: len(fleet.ends) == 40)
    assert all(end.status == 200 for end in fleet.ends)
    rate = 40 / 5  # all within the window of 5 s
    fleet.until(
        lambda: all(
            fleet.metric(n, "quincepath_ledger_queries", how=how) == pytest.approx(rate, rel=0.25)
            for n in range(3)
            for how in ("taken", "in_time")
        )
    )
    fleet.until(lambda: all(fleet.metric(n, "quincepath_ledger_queries", how="taken") == 0 for n in range(3)))


def test_a_broker_that_ends_leaves_the_sums_and_the_others_go_on(fleet: Fleet) -> None:
    fleet.until(fleet.all_known)
    fleet.brokers[2].close()
    fleet.until(lambda: all(len(fleet.living(n)) == 2 for n in range(2)))
    fleet.until(lambda: all(fleet.metric(n, "quincepath_ledger_coverage") == 1.0 for n in range(2)))


def test_the_module_is_told_what_it_may_spend_and_before_that_nothing(fleet: Fleet) -> None:
    fleet.until(lambda: fleet.metric(0, "quincepath_overload_spending", what="trials") > 0)
    module: Any = fleet.brokers[0].driver.module
    fleet.until(lambda: module.fleet_allowance.allowance.until > fleet.loop.now)
    assert module.fleet_allowance.allowance.extras > 0


def test_a_query_that_is_shed_reaches_no_holder_and_is_told_when_to_come_back(fleet: Fleet) -> None:
    fleet.until(fleet.all_known)
    shared = fleet.brokers[0].fleet.load_service  # type: ignore[union-attr]
    assert shared is not None and shared.control.overload is not None
    shared.control.overload._fleet_threshold.value = shared.control.overload._local_threshold.value = (
        1.0  # all is below the line
    )
    fleet.ask(0)
    fleet.until(lambda: len(fleet.ends) == 1)
    end = fleet.ends[0]
    assert end.status == 503 and end.response is not None
    assert float(end.response.headers["retry-after"]) > 0 and b"the fleet is overloaded" in end.response.body
    assert sum(fleet.metric(0, "quincepath_overload_shed_total", why=w) for w in ("fleet", "share")) == 1
    assert sum(leaf.requests for leaf in fleet.world.leaves.values()) == 0
    shared.control.overload._fleet_threshold.value = shared.control.overload._local_threshold.value = 0.0
    fleet.ask(0)
    fleet.until(lambda: len(fleet.ends) == 2)
    assert fleet.ends[1].status == 200
    assert sum(leaf.requests for leaf in fleet.world.leaves.values()) >= 3  # what the count above would see


def test_queries_of_one_address_are_spread_over_the_order_and_one_stays_where_it_is(fleet: Fleet) -> None:
    fleet.until(fleet.all_known)
    shared = fleet.brokers[0].fleet.load_service  # type: ignore[union-attr]
    assert shared is not None and shared.control.overload is not None
    places: list[float] = []
    arrive = shared.control.on_arrival

    def noted(now: int, arrival: Any) -> Any:
        places.append(shared.control.overload.priority(now, arrival))  # type: ignore[union-attr]
        return arrive(now, arrival)

    shared.control.on_arrival = noted  # type: ignore[method-assign]
    plans = [fleet.world.plan("hours-report", end=BEGIN_MS + 600_000 + n) for n in range(40)]
    for number, plan in enumerate([*plans, *plans]):
        fleet.clients[0].ask(f"p{number}", plan, fleet.ends.append)
    fleet.until(lambda: len(fleet.ends) == 80)
    assert places[:40] == places[40:] and len(set(places)) == 40
    assert max(places) - min(places) > 0.02  # of 1/32 that queries of one worth and share have


@pytest.mark.parametrize("fleet_section", [{"ledger": None, "overload": None}, {"overload": None}])
def test_without_its_sections_nothing_is_shed_or_told(tmp_path: Path, fleet_section: dict[str, Any]) -> None:
    found = Fleet(tmp_path, 2, fleet_section)
    found.until(lambda: all(b.fleet is not None and not b.fleet.view.unsettled() for b in found.brokers))
    found.ask(0)
    found.until(lambda: len(found.ends) == 1)
    module: Any = found.brokers[0].driver.module
    assert found.ends[0].status == 200 and module.fleet_allowance.allowance.until == 0
    fleet = found.brokers[0].fleet
    assert fleet is not None and (fleet.load_service is None) == ("ledger" in fleet_section)
    found.close()


def test_what_admission_turns_away_is_counted_once(tmp_path: Path) -> None:
    found = Fleet(tmp_path, 2, limits={"max_asks": 1})
    found.until(found.all_known)
    for _ in range(3):
        found.ask(0)
    found.until(lambda: len(found.ends) == 3)
    shared = found.brokers[0].fleet.load_service  # type: ignore[union-attr]
    assert shared is not None
    row = shared.control.counter.snapshot(found.loop.now).by_class[0]
    kinds = [sum(r) for r in zip(*shared.control.counter.snapshot(found.loop.now).by_class, strict=True)]
    assert kinds[0] == 3 == sum(kinds[1:]), row
    found.close()
