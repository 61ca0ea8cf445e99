"""Resources and a script of changes for the worlds: made from a seed, sound by the brokers' own schema."""

import random
from collections.abc import Mapping

from quincepath.fleet.configuration.changes import MAX_EDITS, Change, Edit
from quincepath.fleet.configuration.resources import encode_resource

REMOVED = 0.1  # share of the changes of a node that remove it; the next change of it brings it back
PHASES = ("ready", "draining")


def node_value(number: int, phase: str = "ready") -> bytes:
    """A node as a configuration file would hold it, about 130 bytes."""
    third, fourth = divmod(number, 200)
    url = f"http://10.{third // 200}.{third % 200}.{fourth + 1}:9090/api/v1/read"
    entry = {"name": f"node-{number:05}", "url": url, "zone": f"zone-{number % 10}", "phase": phase}
    return encode_resource({**entry, "shards": [f"shard-{number // 3:04}"]})


def node_name(number: int) -> str:
    """Its resource."""
    return f"node/node-{number:05}"


def initial_change(nodes: int, first: int = 0) -> Change:
    """Nodes that are there from the beginning, up to ``MAX_EDITS`` in one change."""
    numbers = range(first, min(first + MAX_EDITS, nodes))
    edits = tuple(Edit(node_name(number), None, node_value(number)) for number in numbers)
    return Change(f"initial {first}", "world", 0, edits)


class Scenery:
    """What changes next: mostly one node's phase, or it goes; now and then a tenant or a class's limit."""

    def __init__(self, seed: int, nodes: int) -> None:
        """``nodes``: how many there are to change."""
        self.random = random.Random(f"{seed} configuration changes")
        self.nodes = nodes
        self.count = 0

    def change(self, values: Mapping[str, bytes], now_ms: int) -> Change:
        """The next one, on these committed values."""
        self.count += 1
        return next_change(self.random, self.nodes, self.count, values, now_ms)


def next_change(
    chance: random.Random, nodes: int, number: int, values: Mapping[str, bytes], now_ms: int
) -> Change:
    """One change of one resource, by chance."""
    kind = chance.random()
    if kind < 0.8 and nodes:
        chosen = chance.randrange(nodes)
        name = node_name(chosen)
        old = values.get(name)
        ready = node_value(chosen, PHASES[0])
        new: bytes | None = ready if old != ready else node_value(chosen, PHASES[1])
        if old is not None and chance.random() < REMOVED:
            new = None
    elif kind < 0.95:
        tenant = f"team-{chance.randrange(12):02}"
        name = f"tenant/{tenant}"
        old = values.get(name)
        new = encode_resource({"name": tenant, "weight": number % 50 + 1 + chance.random()})
    else:
        name = "class/quick"
        old = values.get(name)
        new = encode_resource({"name": "quick", "target": f"{140 + number}ms", "deadline": "2h"})
    return Change(f"change {number}", "world", now_ms, (Edit(name, old, new),))
