"""A node's start, told in wall time over discovery, to the parts that its sockets then get. Virtual time."""

import math
from typing import Any

import pytest

from tests.standins.platform import MS, SECOND, WORK, Client, World, site

INSTANCES = 20  # brokers of the fleet; each is to keep to its share of what the node can take
CORES = 2  # what a node of the stand-in's size is taken to have
STEP = 100 * MS
FACTS: dict[str, float] = site()["rules"]


def allowed(begin: int, since: int) -> float:
    """Requests of mean work that all brokers may send in a window from ``begin`` on."""
    over, share = FACTS["overloadFor"], FACTS["coldShare"]
    age = (begin + over / 2 - since) / FACTS["rampTime"]
    warmth = min(1.0, share + (1 - share) * age)
    most = FACTS["fallMultiple"] * CORES * warmth * over / WORK
    return most + 3 * math.sqrt(most) + 3


LEAST = {"by a change": 0.3, "before it serves": 0.3, "from the first moment": 0.05}
# of that share: a new process has not learned yet how little work a part is


@pytest.mark.parametrize("told", LEAST)
def test_a_cold_node_gets_this_brokers_share_of_what_it_may_get_in_any_window(told: str) -> None:
    world = World(instances=INSTANCES)
    world.discovery.tell(world.entry(2, "DELETED"))  # one replica is left for shard 0
    for _ in range(60):
        world.ask("all", (0,))
    since = world.loop.at - 500 * MS
    start: dict[str, Any] = {"started_ms": since // MS}
    if told == "before it serves":
        world.discovery.tell(world.entry(0, "DRAINING", **start))
    world.discovery.tell(world.entry(0, **start))
    if told == "from the first moment":
        world.restart(world.known())
    world.run(0.05)
    begin, node = world.loop.at, world.nodes[0]
    counts = [len(node.seen)]
    clients: list[Client] = []
    while world.loop.at < begin + 8 * SECOND:
        for _ in range(8):  # a step; far more than the share
            clients.append(Client(world))
            clients[-1].stream.write(world.request("all", (0,), Req_Deadline_Ms="900"))
        world.run(STEP / SECOND)
        counts.append(len(node.seen))
        for client in [one for one in clients if one.status or one.ended]:
            client.stream.close()
            clients.remove(client)
    width = int(FACTS["overloadFor"] / STEP)
    windows = [(begin + at * STEP, counts[at + width] - counts[at]) for at in range(len(counts) - width)]
    shares = [sent * INSTANCES / allowed(at, since) for at, sent in windows]
    assert max(shares) <= 1.0, "the sum of so many brokers would push it over"
    assert max(shares) > LEAST[told], "and it is not starved"
