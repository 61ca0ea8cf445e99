"""A hollow broker that sends something else than a real one would make every figure of a scale run wrong.

A fleet of eight, once all hollow and once all processes of the program, with the same queries: over a whole
fleet each has the same voters, leader and senders of sums, so that the means can be compared.
"""

from typing import Any

import pytest

from tests.capacity_scale.runs import played

APART = 0.05  # share by which means may differ
OPTIONS = ("--brokers", "8", "--duration", "15", "--queries", "5", "--mechanisms", "view,ledger,log")


def apart(one: float, other: float) -> float:
    """By which share of the larger one they differ."""
    return abs(one - other) / max(one, other)


@pytest.fixture(scope="module")
def hollow(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Any]:
    """By mechanism, of the fleet of hollow brokers."""
    result = played(tmp_path_factory.mktemp("hollow"), *OPTIONS)
    assert (result["hollow"], result["real"]) == (8, 0)
    return dict(result["by_mechanism"])


@pytest.fixture(scope="module")
def real(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Any]:
    """By mechanism, of the fleet of processes."""
    result = played(tmp_path_factory.mktemp("real"), *OPTIONS, "--real", "8")
    assert (result["hollow"], result["real"]) == (0, 8)
    return dict(result["real_brokers"]["by_mechanism"])


@pytest.mark.parametrize("what", ["messages_a_second", "bytes_a_second"])
@pytest.mark.parametrize("mechanism", ["view", "ledger", "log"])
def test_hollow_brokers_send_what_real_ones_send(
    hollow: dict[str, Any], real: dict[str, Any], mechanism: str, what: str
) -> None:
    one, other = hollow[mechanism][what], real[mechanism][what]
    assert apart(one, other) <= APART, f"{mechanism} {what}: hollow {one}, real {other}"


def test_a_difference_of_six_in_a_hundred_is_seen() -> None:
    assert apart(100.0, 106.0) > APART > apart(100.0, 104.0)
