"""Metrics by prometheus-client, on a registry of one broker."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
    generate_latest,
)

disable_created_metrics()  # type: ignore[no-untyped-call]
TIMES = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Metrics:
    """All series of one broker. Labels are bounded: classes, outcomes and causes come from fixed sets."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self.answers = Counter(
            "quincepath_queries", "Queries by class and final answer", ["class", "answer"], registry=registry
        )
        self.query_seconds = Histogram(
            "quincepath_query_seconds", "Time from taking a query to its final answer", ["class"],
            buckets=TIMES, registry=registry,
        )  # fmt: skip
        self.resident_bytes = Gauge(
            "quincepath_resident_bytes", "Memory that the process holds", registry=registry
        )
        self.tries = Counter(
            "quincepath_tries", "Requests that were owed an answer, by how they came to it", ["how"],
            registry=registry,
        )  # fmt: skip
        self.bad_requests = Counter(
            "quincepath_bad_requests",
            "Requests that became no query, by status",
            ["status"],
            registry=registry,
        )
        self.attempts = Counter(
            "quincepath_attempts", "Attempts ended, by holder and outcome", ["holder", "outcome"],
            registry=registry,
        )  # fmt: skip
        self.contract_breaches = Counter(
            "quincepath_contract_breaches", "Broken contracts made harmless", ["name"], registry=registry
        )
        self.internal_errors = Counter(
            "quincepath_internal_errors", "Queries failed by a fault of this program", registry=registry
        )
        self.open_queries = Gauge("quincepath_open_queries", "Queries open", registry=registry)
        self.open_parts = Gauge("quincepath_open_parts", "Parts held", registry=registry)
        self.fair_waiting = Gauge(
            "quincepath_fair_waiting", "Slow queries that wait for their turn", registry=registry
        )
        self.connections = Gauge("quincepath_connections", "Connections open", ["side"], registry=registry)
        self.rejected = Counter(
            "quincepath_turned_away", "Queries refused at the door: too much open, or stopping", ["why"],
            registry=registry,
        )  # fmt: skip
        self.holders = Gauge("quincepath_holders", "Holders listed, by phase", ["phase"], registry=registry)
        self.list_errors = Counter(
            "quincepath_list_errors", "Reads of the list that failed", registry=registry
        )
        self.duplicates = Counter(
            "quincepath_merge_duplicate_samples", "Samples dropped as duplicates", registry=registry
        )
        self.conflicts = Counter(
            "quincepath_merge_conflicts", "Dropped duplicates that differed", registry=registry
        )
        self.turn_seconds = Histogram(
            "quincepath_turn_seconds", "Time of one turn's work on the loop", buckets=TIMES, registry=registry
        )

    def render(self) -> bytes:
        """The text format."""
        return generate_latest(self.registry)
