"""When a member compares its whole view with another's, and the state of each such exchange.

One line (a TCP connection) is one exchange: the caller sends ``Compare``; the answer is ``Same``, or ``Full``
with all beliefs, which the caller answers with its own. Bounds: ``OWN_MOST`` called and ``TAKEN_MOST`` taken
at once; a further caller is hung up on, and comes back at its next turn. A line may also carry one ping of a
probe that datagrams did not answer: ``PROBES_MOST`` at once; one more is not opened, and its probe goes on by
datagrams and helpers alone.
"""

import random
from dataclasses import dataclass

from quincepath.fleet.view.facts import SECOND, ViewSettings

NEVER = 1 << 62
OWN_MOST = 4
TAKEN_MOST = 64
PROBES_MOST = 8
FRUITLESS_FOR = 30 * SECOND  # so long a difference that an exchange did not mend is left alone
QUIET = SECOND  # so long a view must have stood before its difference from another's means anything
JOIN_EVERY = SECOND // 2


@dataclass(slots=True)
class ExchangeConnection:
    """One exchange that goes on; ``peer`` is empty while the caller has not said who it is."""

    peer: str
    until: int
    mine: bool
    probe: int = 0  # the number of the probe that it is opened for; 0: an exchange


class Exchanges:
    """Which exchanges are open and when the next one is due."""

    def __init__(self, settings: ViewSettings, source: random.Random, now: int) -> None:
        self.settings, self.random = settings, source
        self.lines: dict[int, ExchangeConnection] = {}
        self.opened_count = 0
        self.next_at = now
        self.heal_at = now
        self.done = self.failed = self.turned_away = self.unasked = 0
        self.fruitless: dict[str, int] = {}  # by peer, until when its difference is left alone
        self.differs: dict[str, int] = {}  # by peer, since when its digest is another one
        self.said: dict[str, int] = {}  # of those in `differs`, when it was last heard or asked about
        self.asked_at = now
        self.agreed: dict[str, int] = {}  # by peer, when it was last the same

    def call(self, peer: str, now: int) -> int:
        """The number of a line that this member opens."""
        self.opened_count += 1
        self.lines[self.opened_count] = ExchangeConnection(peer, now + self.settings.exchange_time, True)
        return self.opened_count

    def ask(self, peer: str, probe: int, until: int) -> int:
        """The number of a line for one ping; 0 without room."""
        if sum(line.probe > 0 for line in self.lines.values()) >= PROBES_MOST:
            self.unasked += 1
            return 0
        self.opened_count += 1
        self.lines[self.opened_count] = ExchangeConnection(peer, until, True, probe)
        return self.opened_count

    def take(self, number: int, now: int) -> bool:
        """Another member's call; whether there is room."""
        if sum(not line.mine for line in self.lines.values()) >= TAKEN_MOST:
            self.turned_away += 1
            return False
        self.lines[number] = ExchangeConnection("", now + self.settings.exchange_time, False)
        return True

    def room(self, peer: str) -> bool:
        """Whether a further one may be called."""
        mine = [line for line in self.lines.values() if line.mine and not line.probe]
        return len(mine) < OWN_MOST and all(line.peer != peer for line in mine)

    def schedule_next(self, now: int, joining: bool) -> None:
        """Set the time of the next regular one."""
        wait = JOIN_EVERY if joining else self.settings.exchange
        self.next_at = now + int(wait * (0.5 + self.random.random()))

    def compare(self, peer: str, same: bool, now: int, changed_at: int) -> bool:
        """A digest was seen; whether it should be asked about at once."""
        if same:
            self.forget(peer)
            self.agreed[peer] = now
            return False
        self.differs.setdefault(peer, now)
        self.said[peer] = now
        quiet = now >= changed_at + QUIET and now >= self.differs[peer] + QUIET
        if not quiet or now < self.heal_at or now < self.fruitless.get(peer, 0) or not self.room(peer):
            return False
        self.heal_at = now + self.settings.heal
        return True

    def forget(self, peer: str) -> None:
        """No other digest is held by it any more, or it has gone."""
        self.differs.pop(peer, None)
        self.said.pop(peer, None)

    def ask_at(self) -> int:
        """When one of those that held another view is to be asked whether it still does.

        In a large fleet a member speaks to this one once in a minute: what it said while news were on their
        way would stand for as long. One a ``recheck``, each at most once a second.
        """
        if not self.said or not self.settings.recheck:
            return NEVER
        return max(self.asked_at + self.settings.recheck, min(self.said.values()) + QUIET)

    def to_ask(self, now: int) -> str:
        """The one that was heard or asked longest ago."""
        name = min(self.said, key=self.said.__getitem__)
        self.said[name] = self.asked_at = now
        return name

    def ended(self, peer: str, now: int, fruitful: bool) -> None:
        """One of this member's own came to its end."""
        self.done += 1
        if fruitful:
            self.fruitless.pop(peer, None)
        else:
            self.fruitless[peer] = now + FRUITLESS_FOR

    def next_due(self) -> int:
        """When a line has lasted too long, or the next regular exchange is due."""
        return min([self.next_at, self.ask_at(), *(line.until for line in self.lines.values())])
