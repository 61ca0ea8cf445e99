"""The relay that serves a subscriber: found, watched by a deadline, left for a better one, replaced.

A relay that answers is kept until it is silent for ``SILENT``, lost, or gone. While it serves and is not good
enough (its own news are old, it is behind this subscriber, or it is not the first in this subscriber's order)
others are asked beside it, one at a time, and it is left only for one that is better. So a region that is cut
off keeps its relays, and nobody is without one for asking.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from quincepath.fleet.configuration.choice import MS, SECOND, backoff

SILENT = 3 * SECOND  # without a word of the relay, until it is left
ANSWER_WITHIN = 600 * MS  # by a relay that is asked to serve
STALE_MS = 2500  # age of a relay's newest revision beyond which another is looked for
LOOK_AGAIN = 30 * SECOND  # when all others were asked and none is better
HOME_AGAIN = 60 * SECOND  # between attempts to go back to the first relay in the order
START_JITTER = 200 * MS  # a herd that loses one relay does not ask the next in one moment


@dataclass(slots=True, frozen=True)
class Ask:
    """Subscribe at this relay."""

    relay: str


@dataclass(slots=True, frozen=True)
class Leave:
    """Unsubscribe from this relay."""

    relay: str
    why: str


Step = Ask | Leave


class RelayChooser:
    """``current`` serves, ``candidate`` was asked and has not answered. Empty: none."""

    def __init__(self, order: Sequence[str], chance: random.Random, now: int) -> None:
        """``order``: the relays as ``choice.preference`` ranks them, at least one."""
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
        self._next_at = now + chance.randrange(START_JITTER)
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
        times = [self._asked_at + ANSWER_WITHIN] if self.candidate else []
        if self.current:
            times.append(self._heard_at + SILENT)
        if not self.candidate:
            if not self.current or not self._good:
                times.append(self._next_at)
            elif not self.home:
                times.append(max(self._home_at, self._next_at))
        return min(times)

    def silence(self, now: int) -> int:
        """ns since the current relay was heard."""
        return now - self._heard_at

    # --- what is heard ---

    def heard(self, relay: str, now: int) -> bool:
        """A message; whether it is of a relay that was asked."""
        if relay == self.current:
            self._heard_at = now
        return relay in (self.current, self.candidate)

    def heartbeat(self, relay: str, newest: int, age_ms: int, revision: int, now: int) -> list[Step]:
        """How new a relay is; ``revision`` is this subscriber's own."""
        good = age_ms <= STALE_MS and newest >= revision
        if relay == self.candidate:
            return self._answered(newest, age_ms, good, now)
        if relay == self.current:
            if self._good and not good:
                self._look_around(now)
            self._good, self.newest, self.age_ms = good, newest, age_ms
        return []

    def _answered(self, newest: int, age_ms: int, good: bool, now: int) -> list[Step]:
        relay, before = self.candidate, self.current
        if before and not good:
            self._failed(now)
            return [Leave(relay, "no better than the one that serves")]
        self.current, self.candidate = relay, ""
        self.newest, self.age_ms, self._good, self._heard_at = newest, age_ms, good, now
        self.changes += 1
        self._home_at = now + HOME_AGAIN // 2 + self._chance.randrange(HOME_AGAIN)
        self._look_around(now)
        return [Leave(before, f"{relay} serves better")] if before else []

    def _look_around(self, now: int) -> None:
        """From now on there is, or may be, reason to ask others."""
        self._asked = 0
        self._place = (self.order.index(self.current) + 1) % len(self.order) if self.current else 0
        self._next_at = now + self._chance.randrange(START_JITTER)

    # --- what goes wrong ---

    def lost(self, relay: str, now: int, next_relay: str = "") -> bool:
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
            self._home_at = now + HOME_AGAIN // 2 + self._chance.randrange(HOME_AGAIN)
        self.candidate = ""
        rounds = self._asked // len(self.order)
        self._next_at = now + backoff(rounds, self._chance)
        if self.current and self._asked >= len(self.order) - 1:
            self._asked = 0
            self._next_at = now + LOOK_AGAIN // 2 + self._chance.randrange(LOOK_AGAIN)

    # --- time ---

    def poll(self, now: int) -> list[Step]:
        """What the time asks for."""
        found: list[Step] = []
        if self.current and now >= self._heard_at + SILENT:
            found.append(Leave(self.current, f"silent for {self.silence(now) // MS} ms"))
            self.lost(self.current, now)
        if self.candidate and now >= self._asked_at + ANSWER_WITHIN:
            found.append(Leave(self.candidate, "no answer in time"))
            self._failed(now)
        relay = self._next(now)
        if relay:
            self.candidate, self._asked_at = relay, now
            self._asked += 1
            found.append(Ask(relay))
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
        self._next_at = now + LOOK_AGAIN
        return ""
