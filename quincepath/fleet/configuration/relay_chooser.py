"""Chooses the relay that serves a subscriber, watches it by a timeout, and replaces it by a better one.

A relay that answers is kept until it is silent for ``RELAY_TIMEOUT_NS``, its connection is lost, or it shuts
down. While it is not good enough (its data are stale, it is behind this subscriber, or it is not the first
in this subscriber's order), it goes on serving while others are tried, one at a time, and the subscriber
switches only to a better one. So the brokers of a region that is cut off keep their relays, and no broker is
without a relay while it searches.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from quincepath.fleet.configuration.relay_preference import MS, SECOND, backoff

RELAY_TIMEOUT_NS = 3 * SECOND  # without a message from the relay, until the subscriber leaves it
SUBSCRIBE_TIMEOUT_NS = 600 * MS  # for the first heartbeat of a relay after a Subscribe
STALE_AGE_MS = 2500  # age of a relay's newest revision beyond which another relay is searched for
SEARCH_INTERVAL_NS = 30 * SECOND  # after all other relays were tried and none is better
FAILBACK_INTERVAL_NS = 60 * SECOND  # between attempts to return to the preferred relay
START_JITTER_NS = 200 * MS  # spreads subscribers that lose one relay together, before they try the next


@dataclass(slots=True, frozen=True)
class SubscribeTo:
    """Send a Subscribe to this relay."""

    relay: str


@dataclass(slots=True, frozen=True)
class UnsubscribeFrom:
    """Send an Unsubscribe to this relay."""

    relay: str
    reason: str


Action = SubscribeTo | UnsubscribeFrom


class RelayChooser:
    """``current`` serves; ``candidate`` was sent a Subscribe and has not answered. Empty: none."""

    def __init__(self, order: Sequence[str], rng: random.Random, now: int) -> None:
        """``order``: the relays as ``relay_preference.rank_relays`` ranks them, at least one."""
        if not order:
            raise ValueError("relays: none; expected at least one")
        self.order = tuple(order)
        self.current = ""
        self.candidate = ""
        self.newest = 0  # newest revision that the current relay reports
        self.age_ms = 0
        self.switches = 0  # how often a relay became the current one
        self._rng = rng
        self._last_heard_at = now
        self._tried_at = now
        self._next_try_at = now + rng.randrange(START_JITTER_NS)
        self._failback_at = now
        self._position = 0  # of the next candidate in the order
        self._tried = 0  # number of candidates since the search began
        self._good_enough = True

    @property
    def preferred_serves(self) -> bool:
        """Whether the preferred relay, the first in the order, serves."""
        return self.current == self.order[0]

    @property
    def due(self) -> int:
        """When ``poll`` has something to do, if no message arrives before."""
        times = [self._tried_at + SUBSCRIBE_TIMEOUT_NS] if self.candidate else []
        if self.current:
            times.append(self._last_heard_at + RELAY_TIMEOUT_NS)
        if not self.candidate:
            if not self.current or not self._good_enough:
                times.append(self._next_try_at)
            elif not self.preferred_serves:
                times.append(max(self._failback_at, self._next_try_at))
        return min(times)

    def silent_ns(self, now: int) -> int:
        """ns since the last message of the current relay."""
        return now - self._last_heard_at

    # --- messages ---

    def on_message(self, relay: str, now: int) -> bool:
        """Note a message; returns whether its sender is the current relay or the candidate."""
        if relay == self.current:
            self._last_heard_at = now
        return relay in (self.current, self.candidate)

    def on_heartbeat(self, relay: str, newest: int, age_ms: int, revision: int, now: int) -> list[Action]:
        """Apply a heartbeat: a relay's newest revision and its age; ``revision`` is this subscriber's own."""
        good = age_ms <= STALE_AGE_MS and newest >= revision
        if relay == self.candidate:
            return self._on_candidate_answered(newest, age_ms, good, now)
        if relay == self.current:
            if self._good_enough and not good:
                self._start_search(now)
            self._good_enough, self.newest, self.age_ms = good, newest, age_ms
        return []

    def _on_candidate_answered(self, newest: int, age_ms: int, good: bool, now: int) -> list[Action]:
        relay, previous = self.candidate, self.current
        if previous and not good:
            self._on_candidate_failed(now)
            return [UnsubscribeFrom(relay, "no better than the one that serves")]
        self.current, self.candidate = relay, ""
        self.newest, self.age_ms, self._good_enough, self._last_heard_at = newest, age_ms, good, now
        self.switches += 1
        self._failback_at = now + FAILBACK_INTERVAL_NS // 2 + self._rng.randrange(FAILBACK_INTERVAL_NS)
        self._start_search(now)
        return [UnsubscribeFrom(previous, f"{relay} serves better")] if previous else []

    def _start_search(self, now: int) -> None:
        """Start to look for another relay."""
        self._tried = 0
        self._position = (self.order.index(self.current) + 1) % len(self.order) if self.current else 0
        self._next_try_at = now + self._rng.randrange(START_JITTER_NS)

    # --- failures ---

    def on_lost(self, relay: str, now: int, next_relay: str = "") -> bool:
        """A relay's connection ended, or it stopped serving. ``next_relay``: the one it redirects to.

        Returns whether it was the current relay.
        """
        if relay == self.candidate:
            self._on_candidate_failed(now)
            return False
        if relay != self.current:
            return False
        self._start_search(now)
        self.current = ""
        if next_relay in self.order:
            self._position = self.order.index(next_relay)
        return True

    def _on_candidate_failed(self, now: int) -> None:
        """The candidate does not serve: try the next one; the backoff grows with each round of all relays."""
        if self.candidate == self.order[0] and self._good_enough and self.current:
            self._failback_at = now + FAILBACK_INTERVAL_NS // 2 + self._rng.randrange(FAILBACK_INTERVAL_NS)
        self.candidate = ""
        rounds = self._tried // len(self.order)
        self._next_try_at = now + backoff(rounds, self._rng)
        if self.current and self._tried >= len(self.order) - 1:
            self._tried = 0
            self._next_try_at = now + SEARCH_INTERVAL_NS // 2 + self._rng.randrange(SEARCH_INTERVAL_NS)

    # --- timers ---

    def poll(self, now: int) -> list[Action]:
        """Handle the timers that are due."""
        actions: list[Action] = []
        if self.current and now >= self._last_heard_at + RELAY_TIMEOUT_NS:
            actions.append(UnsubscribeFrom(self.current, f"silent for {self.silent_ns(now) // MS} ms"))
            self.on_lost(self.current, now)
        if self.candidate and now >= self._tried_at + SUBSCRIBE_TIMEOUT_NS:
            actions.append(UnsubscribeFrom(self.candidate, "no answer in time"))
            self._on_candidate_failed(now)
        relay = self._next_candidate(now)
        if relay:
            self.candidate, self._tried_at = relay, now
            self._tried += 1
            actions.append(SubscribeTo(relay))
        return actions

    def _next_candidate(self, now: int) -> str:
        """The relay to try now; empty: none."""
        if self.candidate or now < self._next_try_at:
            return ""
        if self.current and self._good_enough:
            return "" if self.preferred_serves or now < self._failback_at else self.order[0]
        for _ in self.order:
            relay = self.order[self._position]
            self._position = (self._position + 1) % len(self.order)
            if relay != self.current:
                return relay
        self._next_try_at = now + SEARCH_INTERVAL_NS
        return ""
