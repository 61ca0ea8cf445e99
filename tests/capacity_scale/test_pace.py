"""What the machine cannot carry at real pace must be named, and played in virtual time instead."""

import pytest

from benchmarks.capacity.scale.load import Profile
from benchmarks.capacity.scale.machine import Machine
from benchmarks.capacity.scale.pace import carried, other_ms, wanted_ms
from benchmarks.capacity.scale.plan import Mechanism, Plan
from benchmarks.capacity.scale.simulated import SimulationError, simulate_ledger, simulate_view

MACHINE = Machine(memory=64 << 30, descriptors=100_000, cores=8)
ALL = tuple(Mechanism)


def plan(brokers: int) -> Plan:
    return Plan(brokers, 0, 1, ALL, 6, 30.0, "nowhere", profile=Profile.TARGET)


def test_three_hundred_brokers_are_carried_whole() -> None:
    assert carried(plan(300), MACHINE) == (ALL, [])


def test_the_dearest_mechanism_goes_first_and_is_named_with_the_cores_it_wants() -> None:
    kept, dropped = carried(plan(900), MACHINE)
    assert kept == (Mechanism.VIEW, Mechanism.LOG, Mechanism.CONFIGURATION)
    assert [one.mechanism for one in dropped] == [Mechanism.LEDGER]
    each = {one: wanted_ms(one, plan(900)) * 0.9 for one in ALL}
    total = sum(each.values()) + other_ms(plan(900)) * 0.9
    assert f"about {each[Mechanism.LEDGER]:.1f} cores wanted" in dropped[0].why
    assert f"{total:.1f} with all else" in dropped[0].why
    assert "4.2 of 8 usable" in dropped[0].why


def test_without_the_view_nothing_is_carried() -> None:
    kept, dropped = carried(plan(2600), MACHINE)
    assert kept == ()
    assert {one.mechanism for one in dropped} == set(ALL)
    assert [one.why for one in dropped if one.mechanism is Mechanism.LOG][0].startswith(
        "left out with the view"
    )
    assert any("about 3.4 cores" in one.why for one in dropped if one.mechanism is Mechanism.VIEW)


def test_the_same_seed_simulates_the_same_messages() -> None:
    first, second = (simulate_ledger(20, 7, 30.0, lambda text: None) for _ in range(2))
    assert (first.messages_a_second, first.bytes_a_second) == (
        second.messages_a_second,
        second.bytes_a_second,
    )
    assert first.messages_a_second > 2  # each reports every half second


def test_a_simulation_ends_when_its_time_is_over() -> None:
    with pytest.raises(SimulationError, match="only at"):
        simulate_ledger(20, 7, 30.0, lambda text: None, longest=0.0)


def test_a_killed_member_is_known_in_virtual_time_and_the_same_each_time() -> None:
    first, second = (simulate_view(30, 7, 0.1, MACHINE, lambda text: None) for _ in range(2))
    figures, event, dropped = first
    assert figures.messages_a_second > 2 and dropped == {}
    assert event.known_after_s is not None and event.known_by == event.of == 27
    assert event == second[1] and figures.bytes_a_second == second[0].bytes_a_second


def test_a_simulation_over_half_of_the_memory_is_refused() -> None:
    with pytest.raises(SimulationError, match="view in virtual time: .* MiB of memory wanted"):
        simulate_view(2600, 7, 0.1, Machine(1 << 30, 100_000, 8), lambda text: None)
