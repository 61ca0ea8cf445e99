"""What a broker tells of itself: its counts, what it believes is out, and what its connections hold."""

from collections import Counter
from typing import Any, Protocol

from quincepath.broker.driver import Driver
from quincepath.net.loop import Loop
from quincepath.net.server import Exchange, HttpServer
from quincepath.platform.nodes import NodePool
from quincepath.platform.targets import TargetTable


class Reported(Protocol):
    """What of a broker is told of."""

    loop: Loop
    driver: Driver
    server: HttpServer
    nodes: NodePool
    targets: TargetTable
    counts: Counter[str]
    open: dict[int, Exchange]


def of(broker: Reported) -> dict[str, Any]:
    """Counts, and the driver's outstanding attempts beside the connections' own, by node."""
    believed: Counter[str] = Counter()
    for part in broker.driver.parts.values():
        for attempt in part.attempts:
            if not attempt.ended:
                believed[attempt.node.decode("ascii", "replace")] += 1
    open_now = {
        node.decode("ascii", "replace"): [
            {
                "address": f"{c.address[0]}:{c.address[1]}", "out": len(c.state.live),
                "given_up": len(c.state.given_up), "dialling": c.dial is not None,
                "retired": c.state.retired,
            }
            for c in held
        ]
        for node, held in broker.nodes.connections.items()
    }  # fmt: skip
    return {
        "counts": dict(broker.counts), "attempts": dict(broker.nodes.counts),
        "clients": len(broker.server.connections),
        "server": dict(broker.server.counts), "open": len(broker.open), "held": broker.driver.open_count(),
        "lingering": broker.driver.lingering_count(), "out": dict(believed), "connections": open_now,
        "list": {
            (name := node.decode("ascii", "replace")): {
                "cell": known.cell, "phase": known.phase.name, "out": believed[name],
                "age_s": round((broker.loop.now - known.since) / 1e9, 1) if known.since else None,
            }
            for node, known in broker.targets.nodes.items()
        },
        "version": broker.targets.version,
    }  # fmt: skip
