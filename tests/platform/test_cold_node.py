"""Warm-up of a node: from its start time in discovery to the parts sent to it. Virtual time."""

import math
from typing import Any

import pytest

from tests.standins.platform import MS, SECOND, WORK_NS, Client, PlatformHarness, platform_settings

INSTANCES = 20  # brokers of the fleet; each must keep to its share of the node's capacity
CORES = 2  # assumed for a node of the stand-in's size
STEP_NS = 100 * MS
FACTS: dict[str, float] = platform_settings()["rules"]


def allowed(begin: int, since: int) -> float:
    """Requests of mean work that all brokers together may send in a window that begins at ``begin``."""
    over, share = FACTS["overloadFor"], FACTS["coldShare"]
    age = (begin + over / 2 - since) / FACTS["rampTime"]
    warmth = min(1.0, share + (1 - share) * age)
    most = FACTS["fallMultiple"] * CORES * warmth * over / WORK_NS
    return most + 3 * math.sqrt(most) + 3


MIN_SHARE = {"by a change": 0.3, "before it serves": 0.3, "from the first moment": 0.05}
# least fraction of that share; a new process has not yet learned how little work a part is


@pytest.mark.parametrize("moment", MIN_SHARE)
def test_a_warming_node_gets_at_most_this_brokers_share_in_any_window(moment: str) -> None:
    harness = PlatformHarness(instances=INSTANCES)
    harness.discovery.publish(harness.entry(2, "DELETED"))  # one replica is left for shard 0
    for _ in range(60):
        harness.ask("all", (0,))
    since = harness.loop.at - 500 * MS
    start: dict[str, Any] = {"started_ms": since // MS}
    if moment == "before it serves":
        harness.discovery.publish(harness.entry(0, "DRAINING", **start))
    harness.discovery.publish(harness.entry(0, **start))
    if moment == "from the first moment":
        harness.restart(harness.known())
    harness.run(0.05)
    begin, node = harness.loop.at, harness.nodes[0]
    counts = [len(node.received)]
    clients: list[Client] = []
    while harness.loop.at < begin + 8 * SECOND:
        for _ in range(8):  # per step; far more than the share
            clients.append(Client(harness))
            clients[-1].stream.write(harness.request("all", (0,), Req_Deadline_Ms="900"))
        harness.run(STEP_NS / SECOND)
        counts.append(len(node.received))
        for client in [one for one in clients if one.status or one.ended]:
            client.stream.close()
            clients.remove(client)
    width = int(FACTS["overloadFor"] / STEP_NS)
    windows = [(begin + at * STEP_NS, counts[at + width] - counts[at]) for at in range(len(counts) - width)]
    shares = [sent * INSTANCES / allowed(at, since) for at, sent in windows]
    assert max(shares) <= 1.0, "this many brokers together would overload it"
    assert max(shares) > MIN_SHARE[moment], "it must not be starved either"
