"""A broker, holders and clients on one loop in one process, with real sockets and virtual time.

The clock stands still while any socket has data and jumps to the next timer when none has. A test with a
deadline of seconds therefore takes milliseconds and is deterministic.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from quincepath.broker.service import Broker, MakeModule
from quincepath.config.schema import Config
from quincepath.fronts.remote_read.codec import decode_response, encode
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest, ReadResponse
from quincepath.lab.load import Client, QueryPlan, QueryResult
from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.policy import Aggregator
from quincepath.standins.data import BEGIN_MS, END_MS, Store
from quincepath.standins.leaf import Faults, Leaf, Service
from quincepath.standins.record import Writer

MS = 1_000_000
SECOND = 1000 * MS
SHARDS = {
    "s0": ("a", "north.example.org"),
    "s1": ("b", "river.example.org"),
    "s2": ("c", "south.example.org"),
}
ONE_PER_SET = {name: district for name, (_, district) in SHARDS.items()}


def config_values(**more: Any) -> dict[str, Any]:
    """A configuration without holders; ``more`` replaces or adds top-level keys."""
    return {
        "broker": {"seed": 5},
        "asks": {"share_equal": False},
        "shards": {
            "label": "district",
            "unlabelled": "nowhere",
            "map": [{"name": n, "set": s, "values": [d]} for n, (s, d) in SHARDS.items()],
        },
        "classes": [
            {
                "name": "fleet-glance", "target": "1s", "deadline": "2s", "need": "60%",
                "when": [{"label": "__name__", "value": "fuel.*"}],
            },
            {"name": "hours-report", "target": "1s", "deadline": "2s", "recent": "30m"},
        ],
        **more,
    }  # fmt: skip


class World:
    """Two holders per shard, a broker and a client, all on ``loop``."""

    def __init__(
        self,
        folder: Path | None = None,
        make_module: MakeModule = Aggregator,
        service: Service | None = None,
        record: bool = False,
        **more: Any,
    ) -> None:
        self.loop = VirtualLoop()
        self.folder = folder
        self.service = service or Service(work=2 * MS)
        writer = Writer(folder / "holders.jsonl", "holders") if record and folder else None
        self.leaves: dict[str, Leaf] = {}
        for group, district in SHARDS.values():
            for number in "01":
                store = Store(3, [district])
                leaf = Leaf(self.loop, group + number, store, self.service, writer)
                self.leaves[leaf.name] = leaf
        holders = [self.entry(name) for name in self.leaves]
        self.config = Config.model_validate({"holders": holders, **config_values(**more)})
        self.broker = Broker(self.config, self.loop, folder or Path(), make_module)
        self.client = Client(self.loop, self.broker.url)
        self.seen: list[QueryResult] = []
        self.loop.turn(0)

    def entry(self, name: str, **more: Any) -> dict[str, Any]:
        """The configuration entry of a holder."""
        leaf = self.leaves[name]
        shard = next(s for s, (group, _) in SHARDS.items() if group == name[0])
        return {"name": name, "url": leaf.url, "shards": [shard], **more}

    def faults(self, names: str, **faults: Any) -> None:
        """Inject a fault into these holders (names separated by spaces)."""
        for name in names.split():
            self.leaves[name].faults = Faults(**faults)

    def plan(self, kind: str = "hours-report", pattern: str = ".+", **query: Any) -> QueryPlan:
        """A query of one class over the districts that match the pattern."""
        request = read_request(kind, pattern, **query)
        return QueryPlan(kind, [], encode(request), request, 2 * SECOND)

    def ask(self, *plans: QueryPlan, longest: float = 20.0) -> list[QueryResult]:
        """Send queries concurrently and wait until all end; results in the order of the queries."""
        results: dict[int, QueryResult] = {}
        for number, plan in enumerate(plans):
            self.client.ask(f"t{number}-{len(self.seen)}", plan, self._record(results, number))
        assert self.loop.run_until(lambda: len(results) == len(plans), longest), "a query never ended"
        ends = [results[number] for number in range(len(plans))]
        self.seen.extend(ends)
        return ends

    @staticmethod
    def _record(results: dict[int, QueryResult], number: int) -> Callable[[QueryResult], None]:
        def record(seen: QueryResult) -> None:
            assert number not in results, "a second final answer"
            results[number] = seen

        return record

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.loop.at + round(seconds * 1e9)
        self.loop.call_at(end, lambda: None)
        self.loop.run_until(lambda: self.loop.at >= end, seconds + 1)

    def until(self, done: Callable[[], bool], longest: float = 20.0) -> None:
        """Run the loop until a condition is true."""
        assert self.loop.run_until(done, longest)

    def close(self) -> None:
        """Close all sockets."""
        self.client.close()
        self.broker.close()
        for leaf in self.leaves.values():
            leaf.close()
        self.loop.close()


def read_request(
    kind: str = "hours-report", pattern: str = ".+", start: int = BEGIN_MS, end: int = END_MS
) -> ReadRequest:
    """A request with one query."""
    request = ReadRequest()
    query = request.queries.add(start_timestamp_ms=start, end_timestamp_ms=end)
    metric = {"fleet-glance": "fuel_use_liters", "hours-report": "engine_hours"}[kind]
    query.matchers.add(type=LabelMatcher.EQ, name="__name__", value=metric)
    query.matchers.add(type=LabelMatcher.RE, name="district", value=pattern)
    return request


def answer(seen: QueryResult) -> ReadResponse:
    """The decoded answer of a query that got one."""
    assert seen.response is not None and seen.status == 200, (
        seen.status,
        seen.response and seen.response.body,
    )
    return decode_response(seen.response.body, 1 << 30)


def completeness(seen: QueryResult) -> tuple[str, str]:
    """The completeness headers: whole or partial, and received of requested parts."""
    assert seen.response is not None
    return seen.response.headers["quincepath-answer"], seen.response.headers["quincepath-parts"]


SamplesByLabels = dict[tuple[tuple[str, str], ...], dict[int, float]]


def as_dict(response: ReadResponse, index: int = 0) -> SamplesByLabels:
    """One result as plain values: samples by time, grouped by labels."""
    return {
        tuple((label.name, label.value) for label in series.labels): {
            sample.timestamp: sample.value for sample in series.samples
        }
        for series in response.results[index].timeseries
    }
