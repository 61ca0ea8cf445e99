"""The sums of all relays' summaries, for ``quincepath fleet config status``: who is at which revision.

A voter hears a summary of each relay every two seconds. A broker that has just gone from one relay to another
may stand in two of them until the first has heard that it left, or has not heard it for ten seconds.
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

MAX_RELAYS = 100  # of which summaries are kept; one more is not counted
SUMMARY_TIMEOUT_NS = 10 * SECOND  # a relay's summary that is older is shown as old and not counted


@dataclass(slots=True, frozen=True)
class RelayStatus:
    """One relay. ``age_ms``: of its newest revision; ``heard_ms``: since its summary came."""

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
    """``expected`` brokers should be subscribed, ``missing`` of them are at no relay that is heard.

    ``oldest_behind_ms``: of the broker that is behind the newest revision for longest.
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
        """For people."""
        found = [
            f"revision {self.newest}: in force at {self.in_force} of {self.expected} brokers, "
            f"{self.behind} behind, {self.refused} refuse, {self.missing} at no relay"
        ]
        found += [f"  at revision {one.revision}: {one.subscribers}" for one in self.counts]
        found += [f"  at older revisions: {self.older}"] if self.older else []
        found += [
            f"  behind: {one.name} at {one.revision} for {one.behind / 1000:.1f} s" for one in self.laggards
        ]
        found += [
            f"  refuses {one.refused}: {one.name}, stays at {one.revision}: {one.resource}: {one.reason}"
            for one in self.refusals
        ]
        return found + [_relay_line(one) for one in self.relays]


def _relay_line(relay: RelayStatus) -> str:
    if not relay.counted:
        return f"  relay {relay.name}: not heard for {relay.heard_ms / 1000:.1f} s, not counted"
    return (
        f"  relay {relay.name}: revision {relay.newest}, {relay.age_ms / 1000:.1f} s old, "
        f"{relay.subscribers} brokers, {relay.behind} behind, {relay.waiting} wait for a snapshot"
    )


@dataclass(slots=True)
class RelaySummaries:
    """The newest summary of each relay, and when it came."""

    newest_of: dict[str, tuple[int, Summary]] = field(default_factory=dict)

    def record(self, relay: str, summary: Summary, now: int) -> bool:
        """Take one in; False where there is no room for one more relay."""
        if relay not in self.newest_of and len(self.newest_of) >= MAX_RELAYS:
            return False
        self.newest_of[relay] = (now, summary)
        return True

    def forget(self, relay: str) -> None:
        """A relay that is configured no more."""
        self.newest_of.pop(relay, None)

    def status(self, newest: int, expected: int, now: int) -> FleetStatus:
        """All sums. ``newest``: the committed revision; ``expected``: brokers that should be subscribed."""
        fresh = [one for at, one in self.newest_of.values() if now < at + SUMMARY_TIMEOUT_NS]
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
            relays=tuple(self._relay(name, now) for name in sorted(self.newest_of)),
        )

    def _relay(self, name: str, now: int) -> RelayStatus:
        at, summary = self.newest_of[name]
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
