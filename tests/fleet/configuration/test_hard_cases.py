"""Hard cases in virtual time, at small sizes.

Changes are in force everywhere within 7 s; no revision goes back or is applied partly.
"""

from collections.abc import Callable
from functools import partial

import pytest

from quincepath.lab.fleet.configuration_world import cases
from quincepath.lab.fleet.configuration_world.cases import LIMIT_MS, Row

SMALL: dict[str, Callable[..., Row]] = {
    "calm": partial(cases.calm, 40, 10),
    "leader killed": partial(cases.leader_killed, 40, 4),
    "relay killed, connections end": partial(cases.relay_killed, 40, 4),
    "relay vanishes": partial(cases.relay_killed, 40, 4, told=False),
    "relay silent": partial(cases.relay_silent, 40, 4),
    "relay lags": partial(cases.relay_lags, 40, 24),
    "reconnected to a laggard": partial(cases.reconnected_to_laggard, 40, 10),
    "twice and conflicting": partial(cases.twice_and_conflicting, 40, 6),
    "burst": partial(cases.burst, 40, 100),
    "zone returns": partial(cases.zone_returns, 60, 20),
    "region cut": partial(cases.region_cut, 40, 20, seconds=60),
    "far region cut": partial(cases.region_cut, 40, 20, seconds=60, region=2),
    "loss": partial(cases.loss, 40, 15),
}


@pytest.mark.parametrize("name", SMALL)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_hard_case_ends_in_time_with_equal_brokers(name: str, seed: int) -> None:
    row = SMALL[name](seed=seed, check=True)
    assert row.changes and row.violations == [] and row.unequal == 0
    assert row.most_ms <= LIMIT_MS, row
