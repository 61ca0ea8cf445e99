"""What a broker tells of itself: its status page, and the line of counters in its log."""

import logging
import os
import time
from collections import Counter
from typing import Any, Protocol

from quincepath.broker.driver import Driver
from quincepath.net.client_connection import Exchange
from quincepath.net.loop import Loop
from quincepath.net.server import HttpServer
from quincepath.orders import StartCall
from quincepath.platform.nodes import NodePool
from quincepath.platform.targets import TargetTable

MS = 1_000_000
FIRST_LOGGED_ATTEMPT = 2  # counted from 0: one further attempt is usual, and the log's rate is limited


class StatusSource(Protocol):
    """What the page needs from a broker."""

    loop: Loop
    driver: Driver
    server: HttpServer
    nodes: NodePool
    targets: TargetTable
    counts: Counter[str]
    exchanges: dict[int, Exchange]
    slowest_turn: int
    max_lateness: int


def resident_kilobytes() -> int:
    """Resident memory of this process; 0 where the system does not tell."""
    try:
        with open("/proc/self/statm") as file:
            pages = int(file.read().split()[1])
    except OSError:
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


def counters_line(broker: StatusSource) -> str:
    """All counters, and the times and sizes since the last such line, as one line of the log."""
    server = broker.server
    return (
        f"counts={dict(broker.counts)} attempts={dict(broker.nodes.counts)} server={dict(server.counts)} "
        f"peers={len(server.connections)} nodes={broker.nodes.open_count()} parts={len(broker.driver.parts)} "
        f"turn_ms={broker.slowest_turn / MS:.1f} late_ms={broker.max_lateness / MS:.1f} "
        f"sockets_ms={broker.loop.longest_sockets / MS:.1f} cpu_s={time.process_time():.2f} "
        f"rss_kb={resident_kilobytes()} input_kb={server.input_memory.total // 1024}"
    )


def log_retries(log: logging.Logger, call: StartCall) -> int:
    """Log attempts from a part's third on; returns the number of those after its first."""
    further = 0
    for order in call.attempts:
        further += order.attempt > 0
        if order.attempt >= FIRST_LOGGED_ATTEMPT:
            log.info(
                "query=%s shard=%d attempt=%d node=%s earlier: %s", order.query_name, order.shard,
                order.attempt, call.node.decode("ascii", "replace"), order.reason,
            )  # fmt: skip
    return further


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
