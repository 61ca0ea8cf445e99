"""A broker of the platform at the planned size: settings, a list of nodes, queries. All made up."""

import json
from collections.abc import Sequence
from typing import Any

from benchmarks.capacity.target import BROKERS, NODES, PARTS
from quincepath.platform.config import Configuration, read_configuration

MS = 1_000_000
SECOND = 1000 * MS
REPLICAS = 3  # nodes of one replica set; the operators name no number
SETS = NODES // REPLICAS
ZONE_NAMES = [f"zone-{number}" for number in range(10)]
QUERY_TEXT = "c41e77d0" * 8  # 64 bytes
VALUE = "x" * 64  # a node's value for one part


def settings(sets: int = SETS, target: int = 140 * MS) -> dict[str, Any]:
    """As the platform nests them: one class that needs all of its parts, within ``target`` ns."""
    return {
        "instances": BROKERS, "me": 0, "az": 0, "tick": 5 * MS, "discovery": "push", "zones": ZONE_NAMES,
        "kinds": ["m2"],
        "classes": [
            {"name": "all", "effect": "read_like", "deadline": 5 * SECOND, "target": target, "lateWorth": 0.1}
        ],
        "tenants": [{"name": "acme"}],
        "limits": {
            "tryLimit": 4, "mayCancel": True, "mayDuplicate": False, "retryAfter": False,
            "maxRetryAfter": SECOND, "dialTimeout": 250 * MS, "idleClose": 15 * SECOND, "maxOpen": 20_000,
            "maxStreams": 100,
        },
        "rules": {
            "coldShare": 0.2, "rampTime": 16 * SECOND, "fallMultiple": 4, "overloadFor": 3 * SECOND,
            "drainGrace": SECOND, "countedOver": 10 * SECOND, "freeResends": 20, "repeatRatio": 1.0,
        },
        "specifics": {"places": sets, "inARow": 1, "shards": sets, "batch": 1, "needByClass": [1]},
        "report": {"how": "piggyback", "fields": ["inflight"]},
    }  # fmt: skip


def configuration(
    listen: str = "127.0.0.1:20001",
    discovery: str = "127.0.0.1:20002",
    sets: int = SETS,
    sockets: int = 1024,
    target: int = 140 * MS,
) -> Configuration:
    """As a broker reads it at its start."""
    told = {
        "name": "b0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": sockets}, "settings": settings(sets, target),
    }  # fmt: skip
    return read_configuration(json.dumps(told).encode(), {})


def node_entry(number: int, sets: int = SETS, address: str = "", started_ms: int = 0) -> dict[str, Any]:
    """One node as discovery tells it."""
    return {
        "id": f"s-{number:08x}", "state": "SERVING",
        "addr": address or f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9000",
        "zone": ZONE_NAMES[number % len(ZONE_NAMES)], "kind": "m2", "cell": number % sets, "weight": 1.0,
        "started_ms": started_ms,
    }  # fmt: skip


def list_body(entries: Sequence[dict[str, Any]], version: int = 1, full: bool = True) -> bytes:
    """A list, or the changes since one, as discovery sends it."""
    body = {"version": version, "full": full, "servers": list(entries)}
    return json.dumps(body, separators=(",", ":")).encode()


def query_body(parts: int = PARTS) -> bytes:
    """A client's query to the first so many shards."""
    ranges = [{"range": shard, "portion": 1 / parts} for shard in range(parts)]
    return json.dumps({"ranges": ranges, "predicate": QUERY_TEXT}).encode()


def query_request(name: str, body: bytes) -> bytes:
    """The same as a whole request."""
    lines = [
        "POST /all HTTP/1.1", "Host: api", f"Req-Id: {name}", "Req-Kind: all", "Req-Owner: acme",
        "Req-Deadline-Ms: 5000", f"Content-Length: {len(body)}", "", "",
    ]  # fmt: skip
    return "\r\n".join(lines).encode() + body
