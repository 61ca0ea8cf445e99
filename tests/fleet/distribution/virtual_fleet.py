"""Complete brokers on one virtual loop and an in-memory network: three voters, two relays, and others."""

import json
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, cast
from urllib.parse import quote

import msgspec

from quincepath.broker.service import Broker
from quincepath.config.schema import Config
from quincepath.fleet.configuration.messages import MARK
from quincepath.fleet.configuration.subscriber import Subscriber
from quincepath.fleet.distribution import Distribution
from quincepath.fleet.replicated_log import ReplicatedLog
from quincepath.fleet.service import Fleet
from quincepath.lab.demo import demo_config
from quincepath.lab.virtual_loop import ExactLoop
from quincepath.net.client_connection import Exchange
from quincepath.net.http1 import Request

SHARDS = {"a": ["s0", "s1"], "b": ["s2", "s3"], "c": ["s4", "s5"]}
REGIONS = ("east", "west")
VOTERS = ["m0", "m1", "m2"]
RELAYS = ["m3", "m4"]
MAX_WAIT_S = 60.0  # seconds of virtual time


def node(name: str, replica_set: str, port: int, **more: Any) -> dict[str, Any]:
    """A node as a configuration file lists it."""
    url = f"http://127.0.0.1:{port}/read"
    return {"name": name, "url": url, "shards": SHARDS[replica_set], **more}


def region_of(name: str) -> str:
    """The region of a member: a relay has its own, the others alternate."""
    return dict(zip(RELAYS, REGIONS, strict=True)).get(name, REGIONS[int(name[1:]) % 2])


def complete_list() -> dict[str, Any]:
    """Two nodes of each replica set, by resource name."""
    found = {}
    for at, replica_set in enumerate(SHARDS):
        for number in range(2):
            name = f"{replica_set}{number}"
            found[f"node/{name}"] = node(name, replica_set, 9000 + 10 * at + number)
    return found


class FakeExchange:
    """Replaces an HTTP exchange: the request, and the response that it got."""

    def __init__(self, method: str, path: str, body: bytes = b"") -> None:
        self.request = Request(method, path, {}, body)
        self.status = 0
        self.content: dict[str, Any] = {}

    def respond(self, status: int, headers: dict[str, str], body: bytes = b"") -> bool:
        self.status, self.content = status, json.loads(body)
        return True


def sender_of(data: bytes) -> str:
    """The sender of a message of the log or of the distribution, at the same position in both envelopes."""
    envelope: list[Any] = msgspec.msgpack.decode(data.removeprefix(MARK))
    return str(envelope[3])


class VirtualFleet:
    """``members`` brokers m0, m1, ...; the first three are voters, m3 and m4 relays."""

    def __init__(self, folder: Path, members: int = 8, seed: int = 1) -> None:
        self.loop = ExactLoop(seed)
        self.folder, self.members = folder, members
        self.names = [f"m{number}" for number in range(members)]
        self.brokers: dict[str, Broker] = {}
        self.revisions: dict[str, list[int]] = {name: [] for name in self.names}
        self.cut: set[tuple[str, str]] = set()  # (from, to): messages of log and distribution are lost
        self.log_cut: set[tuple[str, str]] = set()  # those of the log alone
        for name in self.names:
            self.start(name)

    def config(self, name: str) -> Config:
        number = self.names.index(name)
        files = [node(f"f{n}", replica_set, 8000 + n) for n, replica_set in enumerate(SHARDS)]
        values = demo_config(0, holders=files)
        values["broker"] = {"number": number, "brokers": self.members, "seed": number + 1}
        peers = [{"name": n, "address": f"127.0.0.1:{7000 + at}"} for at, n in enumerate(self.names)]
        relays = [{"name": relay, "region": region} for relay, region in zip(RELAYS, REGIONS, strict=True)]
        values["limits"]["fair"] = {"slots": 12, "quick_slots": 3}
        values["tenants"] = [{"name": "desk", "weight": 5}]
        values["fleet"] = {
            "name": "orchard", "member": name, "port": 7000 + number, "peers": peers, "keepers": VOTERS,
            "configuration": {"region": region_of(name), "relays": relays},
        }  # fmt: skip
        if name in VOTERS:
            values["fleet"]["store"] = f"store-{name}"
        return Config.model_validate(values)

    def start(self, name: str) -> None:
        self.brokers[name] = Broker(self.config(name), self.loop, self.folder)
        distribution, seen = self.distribution(name), self.revisions[name]
        applied = distribution._apply

        def noted(revision: int, edits: Any) -> None:
            applied(revision, edits)
            seen.append(revision)

        distribution._apply = noted  # type: ignore[method-assign]
        edge = self.fleet(name).transport
        heard = edge.on_log_message
        assert heard is not None

        def gate(data: bytes) -> None:
            pair = (sender_of(data), name)
            lost = pair in self.cut or (pair in self.log_cut and not data.startswith(MARK))
            if not lost:
                heard(data)

        edge.on_log_message = gate

    def kill(self, name: str) -> None:
        """Stop at once: it sends nothing any more."""
        fleet = self.fleet(name)
        fleet.transport.close()
        self.brokers.pop(name).close()

    def cut_off(self, one: Iterable[str], others: Iterable[str]) -> None:
        """Drop all messages between two groups, in both directions."""
        self.cut |= {pair for a in one for b in others for pair in ((a, b), (b, a))}

    def served_by(self, relay: str) -> list[str]:
        """The brokers that this relay serves."""
        return [name for name in self.brokers if self.subscriber(name).chooser.current == relay]

    def subscriber(self, name: str) -> Subscriber:
        return self.distribution(name).subscriber

    def replicated_log(self, name: str) -> ReplicatedLog:
        found = self.fleet(name).replicated_log
        assert found is not None
        return found

    def fleet(self, name: str) -> Fleet:
        found = self.brokers[name].fleet
        assert found is not None
        return found

    def distribution(self, name: str) -> Distribution:
        found = self.fleet(name).distribution
        assert found is not None
        return found

    def nodes(self, name: str) -> set[str]:
        """The nodes of a broker's list that are in service."""
        facts = self.brokers[name].holders.source.state.holders.values()
        return {fact.name for fact in facts if fact.phase.name == "READY"}

    def weights(self, name: str) -> dict[str, float]:
        """The weights of tenants in a broker's fair scheduler."""
        room = self.brokers[name].fair_queue
        assert room is not None
        return room.scheduler.queues.weights

    def revision(self, name: str) -> int:
        return self.subscriber(name).applier.revision

    @property
    def leader(self) -> str:
        """The voter that is leader; empty: none."""
        leading = [name for name in VOTERS if name in self.brokers and self._leads(name)]
        return leading[0] if len(leading) == 1 else ""

    def _leads(self, name: str) -> bool:
        return self.replicated_log(name).is_leader

    # --- requests ---

    def ask(self, name: str, method: str, path: str, order: dict[str, Any] | None = None) -> FakeExchange:
        """Send a request under /fleet/config/ and wait for the response."""
        exchange = self._begin(name, method, path, order)
        self.until(lambda: bool(exchange.status))
        return exchange

    def begin(self, name: str, what: str, order: dict[str, Any]) -> FakeExchange:
        """Send a change without waiting for the response."""
        return self._begin(name, "POST", what, order)

    def raw(self, name: str, what: str, body: bytes) -> FakeExchange:
        """Send an arbitrary body and wait for the response."""
        exchange = self._send(name, "POST", what, body)
        self.until(lambda: bool(exchange.status))
        return exchange

    def _begin(self, name: str, method: str, path: str, order: dict[str, Any] | None) -> FakeExchange:
        return self._send(name, method, path, b"" if order is None else json.dumps(order).encode())

    def _send(self, name: str, method: str, path: str, body: bytes) -> FakeExchange:
        exchange = FakeExchange(method, f"/fleet/config/{path}", body)
        assert self.fleet(name).request(cast(Exchange, exchange))
        return exchange

    def propose(self, at: str, id: str, revision: int, **order: Any) -> FakeExchange:
        return self.ask(at, "POST", "propose", {"id": id, "by": "ann", "revision": revision, **order})

    def show(self, at: str, name: str) -> FakeExchange:
        return self.ask(at, "GET", f"show/{quote(name, safe='')}")

    # --- time ---

    def until(self, condition: Callable[[], bool], timeout: float = MAX_WAIT_S) -> None:
        assert self.loop.run_until(condition, timeout), "the condition did not become true in time"

    def until_all_at(self, revision: int, timeout: float = MAX_WAIT_S) -> None:
        self.until(lambda: all(self.revision(name) == revision for name in self.brokers), timeout)

    def rest(self, seconds: float) -> None:
        self.loop.run_until(lambda: False, seconds)

    def close(self) -> None:
        for name in list(self.brokers):
            self.kill(name)
        self.loop.close()


@contextmanager
def running(folder: Path, members: int = 8, seed: int = 1) -> Iterator[VirtualFleet]:
    """A fleet that has a leader, and where every broker has a relay."""
    world = VirtualFleet(folder, members, seed)
    try:
        world.until(lambda: bool(world.leader))
        names = world.names
        world.until(lambda: all(world.subscriber(name).chooser.current for name in names))
        yield world
    finally:
        world.close()
