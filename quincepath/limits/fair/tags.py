"""Whose turn it is: start-time fair queueing over slot time, SFQ(D), with service elsewhere (dSFQ).

Virtual time is slot time by weight (virtual ns). A tenant's tag is its last finish tag: where the start tag
of its next query lies. When a queue that was empty gets its first query, its tag is at least virtual time:
what was not used while it was idle is not saved up (but for ``credit_most``). The queue with the smallest
tag is next; virtual time is the largest start tag that was ever served. At the start the high guess of the
cost is added to the tag; while the query runs beyond it, what it uses more; at its end the tag is put right
by what it did cost.

Lag. Take two tenants f and g that both have had something waiting that may start since time s, with tags
that were equal at s, D slots, no news. Let U be the slot time used since s by queries charged to a tenant,
and l the largest of guess or use of one of its queries. Each start needs a free slot, so at most D queries
run; what is charged and not yet used, or still to be given back, is at most D*l of a tenant. Then at any
time after s

    |U_f/w_f - U_g/w_g| <= D * (l_f/w_f + l_g/w_g)

(f's last start was made with tag_f <= tag_g; after it f uses at most D*l_f more than tag_f said, and tag_g is
above what g used by at most D*l_g.) Caps on large queries take a tenant out of those that may start.

News of service elsewhere raises tags only: it can make a tenant wait, never let it run sooner than alone.
What news added to a tag is kept apart until virtual time has caught up with it. It is at most what all
brokers are heard to serve while news fade (``remote_usage_fades``), and this bound falls to nothing as the
news age to that: so when news end, shares return to those of this broker alone within that time and with no
step. After a silence only the last such span of what was served counts. In one news nobody can have used
more than all slots of ``brokers`` other brokers since the last.
"""

from collections.abc import Iterable, Mapping

from quincepath.limits.fair.queues import Lane, Queue, Queues, Waiting
from quincepath.limits.fair.types import SECOND, FairSettings

SLOWEST = 0.02  # of its even speed: how slowly a queue is thought to move at least
NEWS_MOST = 4  # times ``tenants_most``: names of one news that are read; the others as not named


class Tags:
    """Virtual time and the tags of all queues of a broker."""

    def __init__(self, settings: FairSettings, queues: Queues) -> None:
        self.settings, self.queues = settings, queues
        self.virtual = 0
        self._heard: dict[str, int] = {}
        self._heard_at: int | None = None
        self._as_of = 0  # when what was heard was true
        self._rate = 0.0  # slots that all others are heard to use
        self._speed = 0.0  # of virtual time, from news to news
        self._virtual_then = 0

    def before_enqueue(self, queue: Queue) -> None:
        """Called before a query is put into the queue."""
        if not queue.waiting:
            credit = int(self.settings.credit_most / queue.weight)
            queue.tag = max(queue.tag, self.virtual - credit)

    def next(self, open_lanes: Iterable[Lane]) -> Waiting | None:
        """The query whose turn it is among those that may start."""
        lanes = tuple(open_lanes)
        best: tuple[int, int] | None = None
        found: Waiting | None = None
        for queue in self.queues.backlogged.values():
            if best is None or queue.tag <= best[0]:
                one = queue.first(lanes)
                if one is not None and (best is None or (queue.tag, one.order) < best):
                    best, found = (queue.tag, one.order), one
        return found

    def query_started(self, queue: Queue, cost: int) -> None:
        """A query of it starts and is charged ``cost``."""
        self.virtual = max(self.virtual, queue.tag)
        queue.running += 1
        self.charge(queue, cost)

    def charge(self, queue: Queue, cost: int) -> None:
        """More, or with a minus what is given back (ns of slots)."""
        queue.tag += int(cost / queue.weight)

    def query_ended(self, queue: Queue, put_right: int) -> None:
        """A query has ended; ``put_right``: what its charge was off by."""
        queue.running -= 1
        self.charge(queue, put_right)

    def add_remote_usage(self, now: int, served: Mapping[str, int], age: int) -> None:
        """News.

        Slot time of each tenant at all other brokers, since ever. What runs backwards starts anew.
        """
        settings = self.settings
        fades = settings.remote_usage_fades
        counts = max(0.0, 1 - max(0, age) / fades)
        since = fades if self._heard_at is None else max(1, now - self._heard_at)
        most = since * settings.slow_slots * settings.brokers
        counts *= min(1.0, fades / since)
        before, self._heard, self._heard_at = self._heard, {}, now
        self._as_of = now - max(0, age)
        names_most = NEWS_MOST * settings.tenants_most
        names = (
            served
            if len(served) <= names_most
            else sorted(served, key=lambda t: (-served[t], t))[:names_most]
        )
        owed: dict[str, int] = {}
        for tenant in names:
            total = self._heard[tenant] = served[tenant]
            more = min(most, total - before.get(tenant, total))
            if more > 0:
                owed[tenant] = int(more * counts)
        weight = min(1.0, since / SECOND)
        self._rate += weight * (min(most, sum(owed.values())) / since - self._rate)
        self._speed += weight * ((self.virtual - self._virtual_then) / since - self._speed)
        self._virtual_then = self.virtual
        for tenant, more in owed.items():
            self._owe(tenant, more)
        for name, queue in self.queues.own.items():
            queue.news_speed += weight * (owed.get(name, 0) / queue.weight / since - queue.news_speed)
        self.fade_remote_usage(now)

    def expected_wait(self, now: int, queue: Queue) -> int:
        """Wait (ns) of a query that would come to the end of the queue now.

        Its start tag is reached at the speed of virtual time, less that at which news push the tag on.
        Without fresh news virtual time goes at the slots by the weights that wait.
        """
        slots, waiting = self.settings.slow_slots, self.queues.backlogged
        if not waiting or len(waiting) == 1 and queue.waiting:
            return queue.queued // slots
        weights = sum(one.weight for one in waiting.values()) + (0 if queue.waiting else queue.weight)
        speed = alone = slots / weights
        if self._as_of > now - self.settings.remote_usage_fades and self._speed:
            speed = max(self._speed - queue.news_speed, SLOWEST * alone)
        ahead = max(0, queue.tag - self.virtual) + queue.queued / queue.weight
        return int(ahead / speed)

    def _owe(self, tenant: str, more: int) -> None:
        """A tenant that would share a queue is left out: its news is not the others' fault."""
        queue = self.queues.queue_of(tenant)
        if queue.key == "=" + tenant:
            behind = int(more / queue.weight)
            queue.tag = max(queue.tag, self.virtual) + behind
            queue.news += behind

    def fade_remote_usage(self, now: int) -> None:
        """What news added is no more than virtual time has not caught up with, and than its bound by now."""
        if self._heard_at is None:
            return
        fades = self.settings.remote_usage_fades
        left = max(0.0, 1 - (now - self._as_of) / fades)
        most = int(left * fades * (self.settings.slow_slots + self._rate))
        for queue in self.queues.own.values():
            if queue.news:
                queue.news = max(0, min(queue.news, queue.tag - self.virtual))
                over = queue.news - int(most / queue.weight)
                if over > 0:
                    queue.news -= over
                    queue.tag -= over
