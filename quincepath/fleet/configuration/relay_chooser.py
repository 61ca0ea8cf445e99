"""Chooses the relay that serves a subscriber, watches it by a timeout, and replaces it by a better one.

A relay that answers is kept until it is silent for ``RELAY_TIMEOUT_NS``, its connection is lost, or it shuts
down. While it serves but is not good enough (its data are stale, it is behind this subscriber, or it is not
the first in this subscriber's order), others are tried in parallel, one at a time, and the subscriber
switches only to a better one. So the brokers of a region that is cut off keep their relays, and no broker is
without a relay while it searches.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from quincepath.fleet.configuration.relay_preference import MS, SECOND, backoff

RELAY_TIMEOUT_NS = 3 * SECOND  # without a word of the relay, until it is left
SUBSCRIBE_TIMEOUT_NS = 600 * MS  # by a relay that is asked to serve
STALE_AGE_MS = 2500  # age of a relay's newest revision beyond which another is looked for
SEARCH_INTERVAL_NS = 30 * SECOND  # when all others were asked and none is better
FAILBACK_INTERVAL_NS = 60 * SECOND  # between attempts to go back to the first relay in the order
START_JITTER_NS = 200 * MS  # a herd that loses one relay does not ask the next in one moment


@dataclass(slots=True, frozen=True)
class SubscribeTo:
    """Subscribe at this relay."""

    relay: str


@dataclass(slots=True, frozen=True)
class UnsubscribeFrom:
    """Unsubscribe from this relay."""

    relay: str
    why: str


Action = SubscribeTo | UnsubscribeFrom


class RelayChooser:
    """``current`` serves, ``candidate`` was asked and has not answered. Empty: none."""

    def __init__(self, order: Sequence[str], chance: random.Random, now: int) -> None:
        """``order``: the relays as ``relay_preference.rank_relays`` ranks them, at least one."""
        if not order:
            raise ValueError("relays: none; expected at least one")
        self.order = tuple(order)
        self.current = ""
        self.candidate = ""
        self.newest = 0  # as the current relay says
        self.age_ms = 0
        self.changes = 0  # of the current relay
        self._chance = chance
        self._heard_at = now
        self._asked_at = now
        self._next_at = now + chance.randrange(START_JITTER_NS)
        self._home_at = now
        self._place = 0  # in the order, of the next candidate
        self._asked = 0  # candidates since there was reason to look
        self._good = True

    @property
    def home(self) -> bool:
        """Whether the first relay in the order serves."""
        return self.current == self.order[0]

    @property
    def due(self) -> int:
        """When ``poll`` has something to do, if nothing is heard before."""
        times = [self._asked_at + SUBSCRIBE_TIMEOUT_NS] if self.candidate else []
        if self.current:
            times.append(self._heard_at + RELAY_TIMEOUT_NS)
        if not self.candidate:
            if not self.current or not self._good:
                times.append(self._next_at)
            elif not self.home:
                times.append(max(self._home_at, self._next_at))
        return min(times)

    def silent_ns(self, now: int) -> int:
        """ns since the current relay was heard."""
        return now - self._heard_at

    # --- what is heard ---

    def on_message(self, relay: str, now: int) -> bool:
        """A message; whether it is of a relay that was asked."""
        if relay == self.current:
            self._heard_at = now
        return relay in (self.current, self.candidate)

    def on_heartbeat(self, relay: str, newest: int, age_ms: int, revision: int, now: int) -> list[Action]:
        """How new a relay is; ``revision`` is this subscriber's own."""
        good = age_ms <= STALE_AGE_MS and newest >= revision
        if relay == self.candidate:
            return self._answered(newest, age_ms, good, now)
        if relay == self.current:
            if self._good and not good:
                self._look_around(now)
            self._good, self.newest, self.age_ms = good, newest, age_ms
        return []

    def _answered(self, newest: int, age_ms: int, good: bool, now: int) -> list[Action]:
        relay, before = self.candidate, self.current
        if before and not good:
            self._failed(now)
            return [UnsubscribeFrom(relay, "no better than the one that serves")]
        self.current, self.candidate = relay, ""
        self.newest, self.age_ms, self._good, self._heard_at = newest, age_ms, good, now
        self.changes += 1
        self._home_at = now + FAILBACK_INTERVAL_NS // 2 + self._chance.randrange(FAILBACK_INTERVAL_NS)
        self._look_around(now)
        return [UnsubscribeFrom(before, f"{relay} serves better")] if before else []

    def _look_around(self, now: int) -> None:
        """From now on there is, or may be, reason to ask others."""
        self._asked = 0
        self._place = (self.order.index(self.current) + 1) % len(self.order) if self.current else 0
        self._next_at = now + self._chance.randrange(START_JITTER_NS)

    # --- what goes wrong ---

    def on_lost(self, relay: str, now: int, next_relay: str = "") -> bool:
        """A relay's connection ended, or it serves no more. ``next_relay``: whom it names instead."""
        if relay == self.candidate:
            self._failed(now)
            return False
        if relay != self.current:
            return False
        self._look_around(now)
        self.current = ""
        if next_relay in self.order:
            self._place = self.order.index(next_relay)
        return True

    def _failed(self, now: int) -> None:
        """The candidate is none: on to the next, more slowly with each whole round."""
        if self.candidate == self.order[0] and self._good and self.current:
            self._home_at = now + FAILBACK_INTERVAL_NS // 2 + self._chance.randrange(FAILBACK_INTERVAL_NS)
        self.candidate = ""
        rounds = self._asked // len(self.order)
        self._next_at = now + backoff(rounds, self._chance)
        if self.current and self._asked >= len(self.order) - 1:
            self._asked = 0
            self._next_at = now + SEARCH_INTERVAL_NS // 2 + self._chance.randrange(SEARCH_INTERVAL_NS)

    # --- time ---

    def poll(self, now: int) -> list[Action]:
        """What the time asks for."""
        found: list[Action] = []
        if self.current and now >= self._heard_at + RELAY_TIMEOUT_NS:
            found.append(UnsubscribeFrom(self.current, f"silent for {self.silent_ns(now) // MS} ms"))
            self.on_lost(self.current, now)
        if self.candidate and now >= self._asked_at + SUBSCRIBE_TIMEOUT_NS:
            found.append(UnsubscribeFrom(self.candidate, "no answer in time"))
            self._failed(now)
        relay = self._next(now)
        if relay:
            self.candidate, self._asked_at = relay, now
            self._asked += 1
            found.append(SubscribeTo(relay))
        return found

    def _next(self, now: int) -> str:
        """Whom to ask now; empty: nobody."""
        if self.candidate or now < self._next_at:
            return ""
        if self.current and self._good:
            return "" if self.home or now < self._home_at else self.order[0]
        for _ in self.order:
            relay = self.order[self._place]
            self._place = (self._place + 1) % len(self.order)
            if relay != self.current:
                return relay
        self._next_at = now + SEARCH_INTERVAL_NS
        return ""
