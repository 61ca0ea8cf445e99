"""What a relay knows of each subscriber, and the bounded sum of it."""

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

INITIAL_RESEND_TIMEOUT_NS = 400 * MS  # until deltas that are not acknowledged are sent again; doubled twice
MAX_RESEND_DOUBLINGS = 2
SUBSCRIBER_TIMEOUT_NS = 10 * SECOND  # without a word


@dataclass(slots=True)
class SubscriberRecord:
    """One subscriber. Times in ns of the relay's clock; ``sent`` 0: nothing is on its way."""

    name: str
    boot: int
    heard_at: int
    heartbeat_at: int
    revision: int = 0
    received: int = 0
    sent: int = 0
    resend_at: int = 0
    resends: int = 0
    paused_until: int = 0
    wants_snapshot: bool = False
    behind_since: int | None = None
    refusal: Nack | None = None

    def acknowledged(self, revision: int, received: int, newest: int, now: int) -> None:
        """Cumulative: an older acknowledgement that comes late takes no revision back."""
        self.heard_at = now
        self.received = received
        if received >= self.sent:
            self.sent, self.resends = 0, 0
        self.revision = max(self.revision, revision)
        if self.refusal is not None and self.revision >= self.refusal.refused:
            self.refusal = None
        self.look(newest, now)

    def look(self, newest: int, now: int) -> None:
        """Note since when it is behind the newest revision."""
        if self.revision >= newest:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now

    def now_sent(self, revision: int, now: int) -> None:
        """Deltas up to a revision are on their way."""
        self.sent = revision
        self.resend_at = now + (INITIAL_RESEND_TIMEOUT_NS << min(self.resends, MAX_RESEND_DOUBLINGS))
        self.resends += 1


def summarise(
    records: Iterable[SubscriberRecord], newest: int, age_ms: int, waiting: int, now: int
) -> Summary:
    """How many are at which revision, who is furthest behind, who refuses; bounded whatever their number."""
    found = list(records)
    counts = Counter(record.revision for record in found)
    listed = sorted(counts, reverse=True)[:MAX_LISTED_REVISIONS]
    behind = sorted(
        (since, one.name, one.revision) for one in found if (since := one.behind_since) is not None
    )
    refusing = sorted((record for record in found if record.refusal is not None), key=lambda one: one.name)
    return Summary(
        newest=newest,
        age=age_ms,
        subscribers=len(found),
        counts=tuple(RevisionCount(revision, counts[revision]) for revision in listed),
        older=len(found) - sum(counts[revision] for revision in listed),
        laggards=tuple(
            Laggard(name, revision, (now - since) // MS)
            for since, name, revision in behind[:MAX_LISTED_LAGGARDS]
        ),
        behind=len(behind),
        refusals=tuple(map(_refusal, refusing[:MAX_LISTED_REFUSALS])),
        refused=len(refusing),
        waiting=waiting,
    )


def _refusal(record: SubscriberRecord) -> Refusal:
    nack = record.refusal
    assert nack is not None
    return Refusal(record.name, record.revision, nack.refused, nack.resource, nack.reason)
