"""Metrics by prometheus-client, with one registry per broker."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
    generate_latest,
)

disable_created_metrics()  # type: ignore[no-untyped-call]
DURATION_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Metrics:
    """All metrics of one broker. Label values are bounded: classes, outcomes and causes are fixed sets."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self.answers = Counter(
            "quincepath_queries", "Queries by class and final answer", ["class", "answer"], registry=registry
        )
        self.query_seconds = Histogram(
            "quincepath_query_seconds", "Time from taking a query to its final answer", ["class"],
            buckets=DURATION_BUCKETS_S, registry=registry,
        )  # fmt: skip
        self.resident_bytes = Gauge(
            "quincepath_resident_bytes", "Resident memory of the process", registry=registry
        )
        self.tries = Counter(
            "quincepath_tries", "Requests by the way in which they were answered", ["how"],
            registry=registry,
        )  # fmt: skip
        self.bad_requests = Counter(
            "quincepath_bad_requests",
            "Requests rejected before they became a query, by status",
            ["status"],
            registry=registry,
        )
        self.attempts = Counter(
            "quincepath_attempts", "Attempts ended, by holder and outcome", ["holder", "outcome"],
            registry=registry,
        )  # fmt: skip
        self.contract_breaches = Counter(
            "quincepath_contract_breaches",
            "Contract violations that were contained",
            ["name"],
            registry=registry,
        )
        self.internal_errors = Counter(
            "quincepath_internal_errors", "Queries failed by an internal error", registry=registry
        )
        self.open_queries = Gauge("quincepath_open_queries", "Queries open", registry=registry)
        self.open_parts = Gauge("quincepath_open_parts", "Parts held", registry=registry)
        self.fair_waiting = Gauge(
            "quincepath_fair_waiting", "Slow queries waiting in the fair queue", registry=registry
        )
        self.connections = Gauge("quincepath_connections", "Connections open", ["side"], registry=registry)
        self.rejected = Counter(
            "quincepath_turned_away", "Queries rejected at admission: too much open, or stopping", ["why"],
            registry=registry,
        )  # fmt: skip
        self.holders = Gauge("quincepath_holders", "Holders listed, by phase", ["phase"], registry=registry)
        self.list_errors = Counter(
            "quincepath_list_errors", "Failed reads of the holder list", registry=registry
        )
        self.duplicates = Counter(
            "quincepath_merge_duplicate_samples", "Samples dropped as duplicates", registry=registry
        )
        self.conflicts = Counter(
            "quincepath_merge_conflicts",
            "Dropped duplicate samples with a different value",
            registry=registry,
        )
        self.turn_seconds = Histogram(
            "quincepath_turn_seconds",
            "Processing time per turn of the event loop",
            buckets=DURATION_BUCKETS_S,
            registry=registry,
        )

    def render(self) -> bytes:
        """All metrics in the text exposition format."""
        return generate_latest(self.registry)
