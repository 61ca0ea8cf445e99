"""The state that a relay keeps of each subscriber, and its bounded summary."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from quincepath.fleet.configuration.messages import (
    MAX_LISTED_LAGGARDS,
    MAX_LISTED_REFUSALS,
    MAX_LISTED_REVISIONS,
    Laggard,
    Nack,
    Refusal,
    RevisionCount,
    Summary,
)
from quincepath.fleet.configuration.relay_preference import MS, SECOND

INITIAL_RESEND_TIMEOUT_NS = 400 * MS  # for the acknowledgement of deltas; doubled twice
MAX_RESEND_DOUBLINGS = 2
SUBSCRIBER_TIMEOUT_NS = 10 * SECOND  # without a message of the subscriber


@dataclass(slots=True)
class SubscriberRecord:
    """One subscriber. Times in ns of the relay's clock; ``sent`` is the last revision in flight, 0: none."""

    name: str
    boot: int
    last_heard_at: int
    next_heartbeat_at: int
    revision: int = 0
    received: int = 0
    sent: int = 0
    resend_at: int = 0
    resends: int = 0
    paused_until: int = 0
    wants_snapshot: bool = False
    behind_since: int | None = None
    refusal: Nack | None = None

    def apply_ack(self, revision: int, received: int, newest: int, now: int) -> None:
        """Apply a cumulative acknowledgement: an older one that arrives late does not lower the revision."""
        self.last_heard_at = now
        self.received = received
        if received >= self.sent:
            self.sent, self.resends = 0, 0
        self.revision = max(self.revision, revision)
        if self.refusal is not None and self.revision >= self.refusal.refused:
            self.refusal = None
        self.update_behind_since(newest, now)

    def update_behind_since(self, newest: int, now: int) -> None:
        """Update since when the subscriber is behind the newest revision."""
        if self.revision >= newest:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now

    def mark_sent(self, revision: int, now: int) -> None:
        """Deltas up to a revision were sent."""
        self.sent = revision
        self.resend_at = now + (INITIAL_RESEND_TIMEOUT_NS << min(self.resends, MAX_RESEND_DOUBLINGS))
        self.resends += 1


def summarise(
    records: Iterable[SubscriberRecord], newest: int, age_ms: int, waiting: int, now: int
) -> Summary:
    """Subscribers by revision, those furthest behind, and refusals; bounded for any number of subscribers."""
    all_records = list(records)
    counts = Counter(record.revision for record in all_records)
    listed = sorted(counts, reverse=True)[:MAX_LISTED_REVISIONS]
    behind = sorted(
        (since, one.name, one.revision) for one in all_records if (since := one.behind_since) is not None
    )
    refusing_records = sorted(
        (record for record in all_records if record.refusal is not None), key=lambda one: one.name
    )
    return Summary(
        newest=newest,
        age=age_ms,
        subscribers=len(all_records),
        counts=tuple(RevisionCount(revision, counts[revision]) for revision in listed),
        older=len(all_records) - sum(counts[revision] for revision in listed),
        laggards=tuple(
            Laggard(name, revision, (now - since) // MS)
            for since, name, revision in behind[:MAX_LISTED_LAGGARDS]
        ),
        behind=len(behind),
        refusals=tuple(map(_refusal_of, refusing_records[:MAX_LISTED_REFUSALS])),
        refused=len(refusing_records),
        waiting=waiting,
    )


def _refusal_of(record: SubscriberRecord) -> Refusal:
    nack = record.refusal
    assert nack is not None
    return Refusal(record.name, record.revision, nack.refused, nack.resource, nack.reason)
