"""Admission: its bounds, even shares of clients, the worth of classes, and memory pressure."""

import random
import socket
from dataclasses import replace
from pathlib import Path

import pytest

from quincepath.limits.admission import Admission, AdmissionBounds, Cost
from quincepath.limits.gate import SECOND
from quincepath.limits.memory import MemoryPressureMonitor, Pressure
from tests.world import MS, World

BOUNDS = AdmissionBounds(asks=20, work=100, bytes=1000, max_retry_after=10 * SECOND)
ONE = Cost("dashboard", 0, 1.0, 4)
MIB = 1 << 20


def make_admission(**changes: int) -> Admission:
    return Admission(replace(BOUNDS, **changes), 1)


def fill(admission: Admission, count: int, cost: Cost, first: int = 0) -> int:
    """Number of asks admitted, of ``count``."""
    return sum(admission.admit(0, first + number, cost) is None for number in range(count))


def cause(admission: Admission, cost: Cost) -> str:
    rejection = admission.admit(0, 10_000, cost)
    return "" if rejection is None else rejection.cause


@pytest.mark.parametrize(
    ("cost", "bounds", "taken", "why"),
    [
        (replace(ONE, work=1), {}, 20, "too many queries"),
        (ONE, {"asks": 1000}, 25, "too much open"),
        (replace(ONE, work=1, request_bytes=100), {"asks": 1000}, 10, "too many bytes"),
    ],
)
def test_one_client_may_fill_each_bound_and_not_exceed_it(
    cost: Cost, bounds: dict[str, int], taken: int, why: str
) -> None:
    admission = make_admission(**bounds)
    assert fill(admission, 50, cost) == taken
    assert cause(admission, cost) == why and admission.refused[why] == 50 - taken + 1


def test_lingering_parts_of_ended_queries_count_towards_the_bound() -> None:
    admission = make_admission()
    assert admission.admit(0, 1, ONE, lingering=96) is None
    assert admission.admit(0, 2, ONE, lingering=96) is not None


def test_ended_asks_free_their_load_exactly_once() -> None:
    admission = make_admission(asks=1000)
    assert fill(admission, 30, ONE) == 25
    for number in (0, 0, 1, 77):
        admission.ended(number)
    assert (admission.asks, admission.work) == (23, 92)
    assert fill(admission, 30, ONE, first=100) == 2
    for number in [*range(30), *range(100, 130)]:
        admission.ended(number)
    assert (admission.asks, admission.work, admission.bytes, admission.clients()) == (0, 0, 0, 0)


def test_a_quiet_client_is_admitted_while_a_busy_one_asks_for_the_whole_bound() -> None:
    admission = make_admission(asks=1000)
    busy, quiet = replace(ONE, client="busy"), replace(ONE, client="quiet")
    assert fill(admission, 20, busy) == 20  # a client that is alone may exceed half of the bound
    assert admission.admit(0, 100, quiet) is None  # it has no open ask yet
    assert cause(admission, busy) == "its client holds more than its share"
    assert fill(admission, 4, quiet, first=101) == 4
    assert admission.clients() == 2
    for number in range(20):
        admission.ended(number)
    assert (
        fill(admission, 50, busy, first=1000) == 12
    )  # half of the bound, while the quiet client has open asks


def test_clients_with_open_asks_get_even_shares_in_any_order_of_arrival() -> None:
    admission = make_admission(asks=10_000, work=1200)
    draw = random.Random(3)
    held = {name: 0 for name in "abc"}
    rates = [name for name, times in (("a", 10), ("b", 3), ("c", 2)) for _ in range(times)]
    open_: list[tuple[int, str]] = []
    for number in range(6000):
        name = draw.choice(rates)
        if admission.admit(0, number, Cost(name, 0, 1.0, 4)) is None:
            open_.append((number, name))
            held[name] += 1
        if len(open_) > 250:  # asks end at a steady rate, in random order
            ended, whose = open_.pop(draw.randrange(len(open_)))
            admission.ended(ended)
            held[whose] -= 1
    assert held["a"] <= 101  # a third of the bound, though it sends two thirds of the asks
    assert min(held["b"], held["c"]) > 25


def test_worth_of_a_class_counts_only_above_the_threshold() -> None:
    admission = make_admission(asks=1000)
    cheap = replace(ONE, worth=0.0)
    assert fill(admission, 50, cheap) == 17  # 0.7 of 100, in steps of 4
    assert "worth too little" in cause(admission, cheap)
    assert fill(admission, 50, replace(ONE, worth=0.5), first=100) == 4  # up to 0.85
    assert fill(admission, 50, ONE, first=200) == 4


def test_expected_bytes_follow_the_answers_of_a_class() -> None:
    admission = make_admission(asks=1000, work=10_000)
    assert admission.admit(0, 1, ONE) is None and admission.bytes == 0  # no answer of its class is known yet
    admission.ended(1, answer_bytes=100)
    assert fill(admission, 50, ONE, first=10) == 10
    assert cause(admission, replace(ONE, kind=1)) == ""  # another class, without a known answer
    for number in range(10, 60):
        admission.ended(number, answer_bytes=10)
    assert 10 <= admission._expected_bytes(ONE) < 25


def test_memory_pressure_refuses_at_its_thresholds_with_hysteresis() -> None:
    monitor, admission = MemoryPressureMonitor(100 * MIB), make_admission()
    seen = []
    for mib in (10, 74, 76, 70, 66, 99, 101, 95, 89, 60):
        admission.pressure = monitor.sample(mib * MIB)
        seen.append(admission.pressure)
    none, soft, hard = Pressure
    assert seen == [none, none, soft, soft, none, soft, hard, hard, soft, none]
    assert monitor.changes == {"soft": 3, "hard": 1, "none": 2}
    admission.pressure = Pressure.SOFT
    assert cause(admission, ONE) == "" and "worth too little" in cause(admission, replace(ONE, worth=0.9))
    admission.pressure = Pressure.HARD
    assert cause(admission, ONE) == "memory is short"
    assert MemoryPressureMonitor(0).sample(1 << 50) is Pressure.NONE


def test_decisions_depend_on_the_seed_alone_and_retry_delays_differ() -> None:
    def run(seed: int) -> list[int]:
        admission = Admission(replace(BOUNDS, asks=1), seed)
        admission.admit(0, 0, ONE)
        found = []
        for number in range(200):
            rejection = admission.admit(number, number + 1, ONE)
            assert rejection is not None
            found.append(rejection.retry_in)
        return found

    assert run(4) == run(4) != run(5)
    assert len(set(run(4))) > 190


# --- in the running broker ---


def test_a_busy_client_does_not_crowd_out_a_quiet_one(tmp_path: Path) -> None:
    world = World(tmp_path, limits={"max_open": 40})
    world.faults("a0 a1 b0 b1 c0 c1", fault="late", late_ms=600)
    statuses: dict[str, list[int]] = {"busy": [], "quiet": []}

    def send(client: str, number: int) -> None:
        plan = replace(world.plan("hours-report", "north.*"), headers={"X-Scope-OrgID": client})
        world.client.ask(f"{client}{number}", plan, lambda seen: statuses[client].append(seen.status))

    for number in range(3):
        send("quiet", number)
    for number in range(60):
        send("busy", number)
    for number in range(3, 6):
        world.loop.call_in(300 * MS, lambda n=number: send("quiet", n))  # type: ignore[misc]
    world.until(lambda: len(statuses["quiet"]) == 6 and len(statuses["busy"]) == 60)
    assert statuses["busy"].count(503) > 40
    refused = world.broker.dispatcher.intake.admission.refused
    assert refused["its client holds more than its share"] > 0
    assert "its client holds more than its share" in world.broker.metrics.render().decode()
    # Asks of the quiet client were refused only by the decision module, for lack of time, not by admission.
    assert sum(refused.values()) <= statuses["busy"].count(503)
    admission = world.broker.dispatcher.intake.admission
    assert (admission.asks, admission.work, admission.clients()) == (0, 0, 0)
    world.close()


def test_connections_per_address_are_bounded_and_counted(tmp_path: Path) -> None:
    world = World(tmp_path, listen={"max_connections_per_address": 2})
    connections = [socket.create_connection(("127.0.0.1", world.broker.server.port)) for _ in range(3)]
    world.run(0.1)
    assert connections[2].recv(4096).startswith(b"HTTP/1.1 503")
    assert world.broker.server.counts["too_many_of_address"] == 1
    connections[0].close()
    world.run(0.5)
    again = socket.create_connection(("127.0.0.1", world.broker.server.port))
    again.setblocking(False)
    world.run(0.1)
    with pytest.raises(BlockingIOError):
        again.recv(1)  # it is open and waits for a request
    for connection in (*connections[1:], again):
        connection.close()
    world.run(0.5)
    assert not world.broker.server.by_address
    world.close()


def test_memory_pressure_drops_remembered_answers_first_and_then_refuses_all(tmp_path: Path) -> None:
    world = World(tmp_path, limits={"max_memory": "100MiB"})
    held = 10 * MIB
    world.broker.memory.resident = lambda: held
    world.run(0.5)  # the first sample was of this process
    plan = replace(world.plan("hours-report"), headers={"Idempotency-Key": "k"})
    assert world.ask(plan)[0].status == 200
    book = world.broker.dispatcher.intake.registry
    assert book.remembered() == 1
    held = 80 * MIB
    world.run(0.5)
    assert book.remembered() == 0
    assert world.ask(plan)[0].status == 200 and book.remembered() == 0
    held = 101 * MIB
    world.run(0.5)
    [seen] = world.ask(plan)
    assert seen.status == 503 and seen.response is not None and b"memory is short" in seen.response.body
    assert int(seen.response.headers["quincepath-retry-after-ms"]) > 0
    held = 50 * MIB
    world.run(0.5)
    assert world.ask(plan)[0].status == 200 and book.remembered() == 1
    world.close()
