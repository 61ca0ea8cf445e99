"""Aggregates the summaries of all relays for ``quincepath fleet config status``: brokers by revision.

A voter receives a summary of each relay every two seconds. A broker that has just switched relays may be
counted in both summaries until the first relay receives its Unsubscribe, or no message of it for ten seconds.
"""

from collections import Counter
from dataclasses import dataclass, field

from quincepath.fleet.configuration.messages import (
    MAX_LISTED_LAGGARDS,
    MAX_LISTED_REFUSALS,
    MAX_LISTED_REVISIONS,
    Laggard,
    Refusal,
    RevisionCount,
    Summary,
)
from quincepath.fleet.configuration.relay_preference import MS, SECOND

MAX_RELAYS = 100  # whose summaries are kept; further ones are ignored
SUMMARY_TIMEOUT_NS = 10 * SECOND  # an older summary is listed, but not counted


@dataclass(slots=True, frozen=True)
class RelayStatus:
    """One relay. ``age_ms``: of its newest revision; ``heard_ms``: since its last summary arrived."""

    name: str
    newest: int
    age_ms: int
    subscribers: int
    behind: int
    waiting: int
    heard_ms: int
    counted: bool


@dataclass(slots=True, frozen=True)
class FleetStatus:
    """``expected`` brokers should be subscribed; ``missing`` of them are in no current summary.

    ``oldest_behind_ms``: the longest time that a broker has been behind the newest revision.
    """

    newest: int
    expected: int
    subscribed: int
    missing: int
    in_force: int  # brokers at the newest revision
    behind: int
    refused: int
    oldest_behind_ms: int
    counts: tuple[RevisionCount, ...]
    older: int
    laggards: tuple[Laggard, ...]
    refusals: tuple[Refusal, ...]
    relays: tuple[RelayStatus, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every expected broker has the newest revision in force."""
        return self.in_force >= self.expected and not self.behind

    def lines(self) -> list[str]:
        """Readable lines for the command line."""
        lines = [
            f"revision {self.newest}: in force at {self.in_force} of {self.expected} brokers, "
            f"{self.behind} behind, {self.refused} refuse, {self.missing} at no relay"
        ]
        lines += [f"  at revision {one.revision}: {one.subscribers}" for one in self.counts]
        lines += [f"  at older revisions: {self.older}"] if self.older else []
        lines += [
            f"  behind: {one.name} at {one.revision} for {one.behind / 1000:.1f} s" for one in self.laggards
        ]
        lines += [
            f"  refuses {one.refused}: {one.name}, stays at {one.revision}: {one.resource}: {one.reason}"
            for one in self.refusals
        ]
        return lines + [_relay_line(one) for one in self.relays]


def _relay_line(relay: RelayStatus) -> str:
    if not relay.counted:
        return f"  relay {relay.name}: not heard for {relay.heard_ms / 1000:.1f} s, not counted"
    return (
        f"  relay {relay.name}: revision {relay.newest}, {relay.age_ms / 1000:.1f} s old, "
        f"{relay.subscribers} brokers, {relay.behind} behind, {relay.waiting} wait for a snapshot"
    )


@dataclass(slots=True)
class RelaySummaries:
    """The newest summary of each relay, and when it arrived."""

    latest: dict[str, tuple[int, Summary]] = field(default_factory=dict)

    def record(self, relay: str, summary: Summary, now: int) -> bool:
        """Store a relay's summary; false where the limit of relays is reached."""
        if relay not in self.latest and len(self.latest) >= MAX_RELAYS:
            return False
        self.latest[relay] = (now, summary)
        return True

    def forget(self, relay: str) -> None:
        """Drop a relay that is no longer configured."""
        self.latest.pop(relay, None)

    def status(self, newest: int, expected: int, now: int) -> FleetStatus:
        """Aggregate. ``newest``: the committed revision; ``expected``: brokers that should be subscribed."""
        fresh = [one for at, one in self.latest.values() if now < at + SUMMARY_TIMEOUT_NS]
        at_revision: Counter[int] = Counter()
        for summary in fresh:
            for count in summary.counts:
                at_revision[count.revision] += count.subscribers
        subscribed = sum(summary.subscribers for summary in fresh)
        in_force = sum(count for revision, count in at_revision.items() if revision >= newest)
        listed = sorted(at_revision, reverse=True)[:MAX_LISTED_REVISIONS]
        laggards = sorted(
            (one for summary in fresh for one in summary.laggards), key=lambda one: (-one.behind, one.name)
        )
        refusals = sorted((one for summary in fresh for one in summary.refusals), key=lambda one: one.name)
        return FleetStatus(
            newest=newest,
            expected=expected,
            subscribed=subscribed,
            missing=max(expected - subscribed, 0),
            in_force=in_force,
            behind=subscribed - in_force,
            refused=sum(summary.refused for summary in fresh),
            oldest_behind_ms=laggards[0].behind if laggards else 0,
            counts=tuple(RevisionCount(revision, at_revision[revision]) for revision in listed),
            older=subscribed - sum(at_revision[revision] for revision in listed),
            laggards=tuple(laggards[:MAX_LISTED_LAGGARDS]),
            refusals=tuple(refusals[:MAX_LISTED_REFUSALS]),
            relays=tuple(self._relay(name, now) for name in sorted(self.latest)),
        )

    def _relay(self, name: str, now: int) -> RelayStatus:
        at, summary = self.latest[name]
        since = (now - at) // MS
        return RelayStatus(
            name,
            summary.newest,
            summary.age + since,
            summary.subscribers,
            summary.behind,
            summary.waiting,
            since,
            now < at + SUMMARY_TIMEOUT_NS,
        )
