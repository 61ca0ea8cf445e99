"""The status page of a broker: its counters, the attempts it believes in flight, and its connections."""

from collections import Counter
from typing import Any, Protocol

from quincepath.broker.driver import Driver
from quincepath.net.client_connection import Exchange
from quincepath.net.loop import Loop
from quincepath.net.server import HttpServer
from quincepath.platform.nodes import NodePool
from quincepath.platform.targets import TargetTable


class StatusSource(Protocol):
    """What the page needs from a broker."""

    loop: Loop
    driver: Driver
    server: HttpServer
    nodes: NodePool
    targets: TargetTable
    counts: Counter[str]
    exchanges: dict[int, Exchange]


def status_page(broker: StatusSource) -> dict[str, Any]:
    """Counters, and by node the driver's unfinished attempts beside those on the connections."""
    believed: Counter[str] = Counter()
    for part in broker.driver.parts.values():
        for attempt in part.attempts:
            if not attempt.ended:
                believed[attempt.node.decode("ascii", "replace")] += 1
    connections = {
        node.decode("ascii", "replace"): [
            {
                "address": f"{c.address[0]}:{c.address[1]}", "out": len(c.state.in_flight),
                "given_up": len(c.state.cancelled), "dialling": c.dial is not None,
                "retired": c.state.retired,
            }
            for c in held
        ]
        for node, held in broker.nodes.connections.items()
    }  # fmt: skip
    return {
        "counts": dict(broker.counts), "attempts": dict(broker.nodes.counts),
        "clients": len(broker.server.connections), "input_bytes": broker.server.input_memory.total,
        "server": dict(broker.server.counts), "open": len(broker.exchanges),
        "held": broker.driver.open_count(), "lingering": broker.driver.lingering_count(),
        "out": dict(believed), "connections": connections,
        "list": {
            (name := node.decode("ascii", "replace")): {
                "cell": listed.cell, "phase": listed.phase.name, "out": believed[name],
                "age_s": round((broker.loop.now - listed.since) / 1e9, 1) if listed.since else None,
            }
            for node, listed in broker.targets.nodes.items()
        },
        "version": broker.targets.version,
    }  # fmt: skip
