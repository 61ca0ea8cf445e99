"""Counted bytes of what goes between brokers, discovery and nodes, and allowances that brokers share.

No process stands for discovery or for a node at the planned size: rows are worked out from these.
"""

from benchmarks.capacity.frames import IP_AND_TCP
from benchmarks.capacity.limits import broker_names
from benchmarks.capacity.measuring import Measured, fact
from benchmarks.capacity.site import SETS, list_body, node_entry, settings
from benchmarks.capacity.target import BROKERS, NODES
from quincepath.fleet.messages import MemberState, encoded_size
from quincepath.fleet.overload.types import OverloadSettings
from quincepath.fleet.view.facts import ViewSettings
from quincepath.net.http1 import request_bytes, response_head
from quincepath.platform.descriptors import MAX_CONNECTIONS_PER_NODE
from quincepath.platform.list_timing import PULL_WATCH_MS

HEADERS = {"Content-Type": "application/json"}
HOST = "10.0.0.1:8500"
MILLI = 1000


def _answer_bytes(body: bytes) -> int:
    return len(response_head(200, HEADERS, len(body), True)) + len(body) + IP_AND_TCP


def _request_bytes() -> int:
    target = f"/api/targets?since=1234567&timeout_ms={PULL_WATCH_MS}"
    return len(request_bytes("GET", target, HOST, {}, b"")) + IP_AND_TCP


def _news_bytes() -> int:
    """One piece of news of a member, as often as each member tells it on."""
    view = ViewSettings("fleet", "broker-0000", ())
    state = MemberState(
        broker_names(BROKERS)[-1], (1 << 61) + 1, 3, 3, 1000, (), False, "zone-1", "0.2.0", "c41e"
    )
    return encoded_size(state) * view.max_transmits(BROKERS)


def measure() -> Measured:
    """All counted, nothing timed."""
    empty = list_body([], 1_234_567, full=False)
    delta = list_body([node_entry(11_999, started_ms=1_790_000_000_000)], 1_234_567, full=False)
    overload = OverloadSettings()
    idle = settings()["limits"]["idleClose"] / 1e9
    return (), (
        fact("nodes", "nodes", NODES),
        fact("replica sets", "sets", SETS),
        fact("watches of a broker, nothing new", "a second", MILLI / PULL_WATCH_MS),
        fact("watch with nothing new", "bytes", _request_bytes() + _answer_bytes(empty)),
        fact("watch with one change", "bytes", _request_bytes() + _answer_bytes(delta)),
        fact("one changed node in a list", "bytes", len(delta) - len(empty)),
        fact("connections of a broker to a node, most", "connections", MAX_CONNECTIONS_PER_NODE),
        fact("idle connection is closed after", "s", idle),
        fact("trial sends at a doubted node, a broker alone", "a second", overload.alone_trials),
        fact("trial sends at a doubted node, all together", "a second", overload.trial_rate),
        fact("new connections to a node, a broker alone", "a second", overload.alone_dials),
        fact("new connections to a node, all together", "a second", overload.dial_rate),
        fact("news of one member, told on by each", "bytes", _news_bytes()),
    )
