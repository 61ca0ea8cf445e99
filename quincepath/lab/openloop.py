"""The load tool: arrivals drawn ahead and kept to, whatever the answers take, so that no wait is left out.

A query's time counts from the moment at which it was due, not from when this client came to send it
(otherwise a stall would hide the very queries that it hurt). Histograms are HDR, by the library.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from quincepath.fronts.remote_read.codec import encode
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest
from quincepath.lab.load import Client, QueryPlan, QueryResult
from quincepath.net.loop import Loop

US = 1_000  # ns; histograms count microseconds
RETRY_WAIT = 100_000_000  # ns before a retry that was given no advice
LONGEST_US = 600_000_000
PERCENTILES = (50, 90, 99, 99.9)


@dataclass(slots=True, frozen=True)
class QueryMix:
    """One kind of query in the load: its matchers, weight and time range (ms since the epoch)."""

    name: str
    weight: float
    matchers: tuple[LabelMatcher, ...]
    start_ms: int
    end_ms: int
    patience: int  # ns
    headers: tuple[tuple[str, str], ...] = ()

    def plan(self) -> QueryPlan:
        """The query to send; the same bytes each time."""
        request = ReadRequest()
        query = request.queries.add(start_timestamp_ms=self.start_ms, end_timestamp_ms=self.end_ms)
        query.matchers.extend(self.matchers)
        return QueryPlan(self.name, [], encode(request), request, self.patience, dict(self.headers))


def by_tenant(mixes: list[QueryMix], tenants: dict[str, float], header: str) -> list[QueryMix]:
    """Each kind of query for each tenant, by the tenants' weights, named in ``header``."""
    return [
        replace(
            mix,
            name=f"{mix.name} [{tenant}]",
            weight=mix.weight * weight,
            headers=(*mix.headers, (header, tenant)),
        )
        for mix in mixes
        for tenant, weight in tenants.items()
    ]


@dataclass(slots=True)
class Result:
    """What came of a load, by kind of query. ``late_most``: how far it fell behind its schedule (ns)."""

    times: dict[str, HdrHistogram] = field(default_factory=dict)
    outcomes: dict[str, Counter[str]] = field(default_factory=dict)
    sent: int = 0
    unsent: int = 0  # due while ``most_open`` were open: counted, never silently dropped
    max_lag: int = 0
    retried: int = 0

    def rows(self) -> list[dict[str, Any]]:
        """Plain values for tables; times in ms."""
        found = []
        for name, histogram in self.times.items():
            row: dict[str, Any] = {"query": name, **dict(sorted(self.outcomes[name].items()))}
            for percentile in PERCENTILES:
                row[f"p{percentile}_ms"] = round(histogram.get_value_at_percentile(percentile) / 1000, 2)
            row["max_ms"] = round(histogram.get_max_value() / 1000, 2)
            found.append(row)
        return found


class OpenLoop:
    """One load against one address. Bounded by ``seconds`` and ``most_open``."""

    def __init__(
        self,
        loop: Loop,
        url: str,
        mixes: list[QueryMix],
        rate: float,
        seconds: float,
        seed: int,
        most_open: int,
        retries: int = 0,
    ) -> None:
        self.loop, self.mixes, self.most_open, self.retries = loop, mixes, most_open, retries
        self.retrying = 0
        self.client = Client(loop, url)
        self.result = Result(
            {mix.name: HdrHistogram(1, LONGEST_US, 3) for mix in mixes},
            {mix.name: Counter() for mix in mixes},
        )
        random = np.random.default_rng(seed)
        gaps = random.exponential(1e9 / rate, int(rate * seconds * 2) + 100)
        due = np.cumsum(gaps)
        due = due[due < seconds * 1e9]
        weights = np.array([mix.weight for mix in mixes])
        kinds = random.choice(len(mixes), len(due), p=weights / weights.sum())
        self.plans = [mix.plan() for mix in mixes]
        self.begin = loop.clock()
        self.schedule = [(self.begin + int(at), int(kind)) for at, kind in zip(due, kinds, strict=True)]
        self.next = 0
        self._arm()

    def done(self) -> bool:
        """Whether all is sent and ended."""
        return self.next >= len(self.schedule) and not self.client.open and not self.retrying

    def _arm(self) -> None:
        if self.next < len(self.schedule):
            self.loop.call_at(self.schedule[self.next][0], self._send_due)

    def _send_due(self) -> None:
        now = self.loop.clock()
        while self.next < len(self.schedule) and self.schedule[self.next][0] <= now:
            due, kind = self.schedule[self.next]
            self.next += 1
            self.result.max_lag = max(self.result.max_lag, now - due)
            if self.client.open >= self.most_open:
                self.result.unsent += 1
                self.result.outcomes[self.mixes[kind].name]["unsent"] += 1
                continue
            self.result.sent += 1
            name = f"load-{self.next}"
            self.client.ask(name, self.plans[kind], self._ended(due, kind, name))
        self._arm()

    def _ended(self, due: int, kind: int, name: str, tries: int = 0) -> Callable[[QueryResult], None]:
        mix = self.mixes[kind]

        def ended(seen: QueryResult) -> None:
            headers = seen.response.headers if seen.response else {}
            if seen.status == 200:
                self.result.outcomes[mix.name][headers.get("quincepath-answer", "unmarked")] += 1
                took = max((self.loop.clock() - due) // US, 1)
                self.result.times[mix.name].record_value(min(took, LONGEST_US))
                return
            if tries < self.retries:
                self.result.retried += 1
                self.retrying += 1
                wait = int(headers.get("quincepath-retry-after-ms", "0")) * 1000 * US or RETRY_WAIT
                self.loop.call_in(wait, lambda: self._again(due, kind, name, tries + 1))
                return
            bad = {0: "lost", -1: "gave up"}.get(seen.status, str(seen.status))
            self.result.outcomes[mix.name][bad] += 1

        return ended

    def _again(self, due: int, kind: int, name: str, tries: int) -> None:
        """A retry under the same id, marked as one: it must not count as a new ask."""
        self.retrying -= 1
        first = self.plans[kind]
        plan = replace(first, headers={**first.headers, "Retry-Attempt": str(tries)})
        self.client.ask(name, plan, self._ended(due, kind, name, tries))
